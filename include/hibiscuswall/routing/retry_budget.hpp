#pragma once
// Token bucket that limits retries to a fraction of the requests, so that retries do not amplify an overload.
// window_retry_budget, in contrast, gives one entry its share of a bound on retries within a time window.
//
//   budget.on_request(view->policy.retry_budget_ratio);
//   if (budget.try_spend()) retry();

#include <algorithm>

namespace hibiscuswall {

class retry_budget {
public:
    // reserve: greatest number of retries that can accumulate; the budget starts with this many.
    explicit retry_budget(double reserve) : reserve_{reserve}, available_{reserve} {}

    // Adds `ratio` of a retry to the budget, up to the reserve.
    auto on_request(double ratio) -> void { available_ = std::min(reserve_, available_ + ratio); }

    // Spends one retry; false, with no change, when less than one is available.
    auto try_spend() -> bool
    {
        if (available_ < 1.0) return false;
        available_ -= 1.0;
        return true;
    }

    [[nodiscard]] auto available() const -> double { return available_; }

private:
    double reserve_;
    double available_;
};

} // namespace hibiscuswall
