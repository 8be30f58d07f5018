#pragma once
// What the entry tells operators about all processes: which failure domains and hosts have confirmed the
// configuration, progress of the weights, and the merged time line.
//
//   auto report = co_await status.convergence();    // {"revision", "converged", "failure_domains", ...}

#include "hibiscuswall/config/config_service.hpp"
#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/membership/member_source.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hibiscuswall {

// What a process answered when it was asked, or why there is no answer.
struct member_answer {
    member who;
    bool answered = false;
    nlohmann::json body; // valid when answered
    std::string problem; // otherwise
};

// Plain function over the answers, so that a test can give any.
[[nodiscard]] auto convergence_of(std::uint64_t revision, std::vector<member_answer> const& answers)
    -> nlohmann::json;

// Events of all processes by Lamport counter, then wall clock.
[[nodiscard]] auto merge_timelines(std::vector<member_answer> const& answers) -> nlohmann::json;

class status_report {
public:
    status_report(process_context& context, config_service& config, member_source& members)
        : context_{context}, config_{config}, members_{members}
    {
    }

    auto convergence() -> asio::awaitable<nlohmann::json>;
    auto weights() -> asio::awaitable<nlohmann::json>;
    auto timeline() -> asio::awaitable<nlohmann::json>;
    [[nodiscard]] auto members() const -> nlohmann::json;

private:
    enum class question {
        config_revision,
        weights,
        timeline,
    };
    struct round;

    auto ask_all(question what) -> asio::awaitable<std::vector<member_answer>>;
    auto ask_worker(std::shared_ptr<round> work) -> asio::awaitable<void>;
    auto ask(question what, member peer) -> asio::awaitable<result<nlohmann::json>>;

    process_context& context_;
    config_service& config_;
    member_source& members_;
};

} // namespace hibiscuswall
