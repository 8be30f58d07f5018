#pragma once
// Admission control of one endpoint: combines the concurrency limit, the limits of each class, the rate limit
// that the endpoint names, and the fair queue.
//
//   for (auto const& decision : control.submit(request, now)) notify(decision);
//   for (auto const& decision : control.finish(id, {outcome, latency}, now)) notify(decision);
//
// A decision with code ok starts its request; any other code rejects it as not run. Every call returns all
// decisions that it caused, also those about other requests; a request without a decision keeps waiting.

#include "hibiscuswall/admission/call_rate.hpp"
#include "hibiscuswall/admission/concurrency_limit.hpp"
#include "hibiscuswall/admission/fair_queue.hpp"
#include "hibiscuswall/core/result_code.hpp"

#include <array>
#include <map>

namespace hibiscuswall {

struct admission_decision {
    std::uint64_t id = 0;               // id of the request
    result_code code = result_code::ok; // ok: start the request now; any other code: reject it as not run
    milliseconds retry_after{0};        // delay until a retry makes sense; set when the request is shed
};

enum class completion_outcome {
    succeeded,  // the request succeeded: its latency indicates the load of the endpoint
    overloaded, // the endpoint rejected or failed the request
    no_signal,  // the request was cancelled or malformed: it says nothing about the load of the endpoint
};

struct completion_sample {
    completion_outcome outcome = completion_outcome::no_signal; // how the request ended
    microseconds latency{0};                                    // until the first byte of the response
};

class admission_controller {
public:
    using decisions = std::vector<admission_decision>;

    explicit admission_controller(admission_settings settings);

    // Applies the limits of the Service resource. A raised limit may start waiting requests; overdue ones are
    // rejected.
    auto configure(service_resource const& service, time_point now) -> decisions;

    auto submit(admission_request request, time_point now) -> decisions;
    auto finish(std::uint64_t id, completion_sample sample, time_point now) -> decisions;

    // Removes a request because its caller disconnected or its deadline passed; no effect unless it is
    // waiting.
    auto withdraw(std::uint64_t id) -> void;

    // Rejects all waiting requests with this code; running requests continue.
    auto reject_waiting(result_code reason) -> decisions;

    // Sets the calls per second that the endpoint takes, or none. Waiting requests that cannot start in time
    // are rejected.
    auto set_rate_limit(std::optional<double> calls_per_second, time_point now) -> decisions;
    [[nodiscard]] auto is_rate_limited() const -> bool { return rate_.is_limited(); }

    // When a waiting request may start that only the rate limit holds up; resume() then starts it.
    [[nodiscard]] auto resumes_at(time_point now) const -> time_point { return rate_.startable_at(1, now); }
    auto resume(time_point now) -> decisions;

    // To be called when the endpoint is cold. Running requests continue; waiting ones start only while fewer
    // than the cold limit run.
    auto reset_to_cold() -> void { limit_.reset_to_cold(); }
    // Stops the growth of the limit while the endpoint reports that it is cold.
    auto hold_growth(bool held) -> void { limit_.hold_growth(held); }

    [[nodiscard]] auto limit() const -> int { return limit_.value(); }
    // Requests that can run at a time: not more than the endpoint takes in a second, if it limits the rate.
    [[nodiscard]] auto usable_limit() const -> int;
    [[nodiscard]] auto cold_limit() const -> int { return limit_.cold_limit(); }
    [[nodiscard]] auto in_flight() const -> std::size_t { return running_.size(); }
    [[nodiscard]] auto waiting() const -> std::size_t { return queue_.size(); }

    // Greatest number of requests of this class and lower ones that may run at a time.
    [[nodiscard]] auto limit_for_class(request_class priority) const -> std::size_t;

private:
    struct running_request {
        std::string account;
        request_class priority = request_class::drafting;
    };

    auto start_waiting(time_point now, decisions& out) -> void;
    [[nodiscard]] auto min_startable_class() const -> std::optional<request_class>;
    auto shed_unstartable(time_point now, decisions& out) -> void;
    [[nodiscard]] auto retry_after(time_point now) const -> milliseconds;

    admission_settings settings_;
    concurrency_limit limit_;
    call_rate rate_;
    fair_queue queue_;
    std::map<std::uint64_t, running_request> running_;
    std::array<std::size_t, 3> running_by_class_{};
    microseconds mean_latency_{0}; // moving average over the requests of all classes
};

} // namespace hibiscuswall
