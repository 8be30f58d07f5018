#pragma once
// Bounds retries to a share of the requests, so that an overload is not multiplied by its own retries.
//
//   budget.on_request(view->policy.retry_budget_ratio);
//   if (budget.try_spend()) retry();

#include <algorithm>

namespace hibiscuswall {

class retry_budget {
public:
    // reserve: retries that can be saved up; the budget starts with all of them.
    explicit retry_budget(double reserve) : reserve_{reserve}, available_{reserve} {}

    auto on_request(double ratio) -> void { available_ = std::min(reserve_, available_ + ratio); }

    // False when the budget is used up.
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
