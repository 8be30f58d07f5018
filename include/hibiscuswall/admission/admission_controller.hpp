#pragma once
// Admission control of one endpoint: concurrency limit, class shares and fair queue together.
//
//   for (auto const& event : control.submit(request, now)) tell(event);    // ok: start; else refuse "not
//   run" for (auto const& event : control.finish(id, {outcome, latency}, now)) tell(event);
//
// Every call returns the decisions that it caused, for any request; a request without one waits.

#include "hibiscuswall/admission/concurrency_limit.hpp"
#include "hibiscuswall/admission/fair_queue.hpp"
#include "hibiscuswall/core/result_code.hpp"

#include <array>
#include <map>

namespace hibiscuswall {

struct admission_decision {
    std::uint64_t id = 0;               // request
    result_code code = result_code::ok; // ok: start it now; anything else: refuse it, it did not run
    milliseconds retry_after{0};        // with a refusal for load
};

enum class completion_outcome {
    succeeded,  // latency tells about the endpoint's load
    overloaded, // the endpoint refused or failed it
    no_signal,  // cancelled or malformed: tells nothing
};

struct completion_sample {
    completion_outcome outcome = completion_outcome::no_signal; // how it ended
    microseconds latency{0};                                    // to the first byte of the answer
};

class admission_controller {
public:
    using decisions = std::vector<admission_decision>;

    explicit admission_controller(admission_settings settings);

    // Bounds from the Service resource.
    auto configure(service_resource const& service, time_point now) -> decisions;

    auto submit(admission_request request, time_point now) -> decisions;
    auto finish(std::uint64_t id, completion_sample sample, time_point now) -> decisions;

    // The caller of a waiting request went away or its deadline passed.
    auto withdraw(std::uint64_t id) -> void;

    // Refuses everything that waits.
    auto reject_waiting(result_code reason) -> decisions;

    // The endpoint is cold. Running requests go on; new ones wait until fewer than the cold limit run.
    auto reset_to_cold() -> void { limit_.reset_to_cold(); }
    auto hold_growth(bool held) -> void { limit_.hold_growth(held); }

    [[nodiscard]] auto limit() const -> int { return limit_.value(); }
    [[nodiscard]] auto cold_limit() const -> int { return limit_.cold(); }
    [[nodiscard]] auto in_flight() const -> std::size_t { return running_.size(); }
    [[nodiscard]] auto waiting() const -> std::size_t { return queue_.size(); }

    // How many requests of this class and below may run at a time.
    [[nodiscard]] auto share_of_limit(request_class priority) const -> std::size_t;

private:
    struct running_request {
        std::string account;
        request_class priority = request_class::drafting;
    };

    auto start_waiting(time_point now, decisions& out) -> void;
    [[nodiscard]] auto lowest_startable() const -> std::optional<request_class>;
    [[nodiscard]] auto retry_after() const -> milliseconds;

    admission_settings settings_;
    concurrency_limit limit_;
    fair_queue queue_;
    std::map<std::uint64_t, running_request> running_;
    std::array<std::size_t, 3> running_by_class_{};
    microseconds usual_latency_{0}; // moving average over all classes
};

} // namespace hibiscuswall
