#include "hibiscuswall/api/status_report.hpp"

#include "hibiscuswall/core/sleep.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <tuple>

namespace hibiscuswall {
namespace {

constexpr auto ask_timeout = milliseconds{1'000};
constexpr auto askers = std::size_t{32}; // questions in flight; bounds connections at large fleets

auto unsigned_field(nlohmann::json const& body, char const* key) -> std::uint64_t
{
    auto const found = body.find(key);
    return found != body.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

} // namespace

auto convergence_of(std::uint64_t revision, std::vector<member_answer> const& answers) -> nlohmann::json
{
    auto domains = nlohmann::json::object();
    auto unconfirmed_domains = nlohmann::json::array();
    auto unconfirmed_hosts = nlohmann::json::array();
    for (auto const& answer : answers) {
        auto const& who = answer.who;
        auto& domain = domains[who.failure_domain];
        if (domain.is_null())
            domain = {{"region", who.region},
                      {"hosts", 0},
                      {"confirmed", 0},
                      {"unconfirmed", nlohmann::json::array()}};
        domain["hosts"] = domain["hosts"].get<int>() + 1;
        auto const known = answer.answered ? unsigned_field(answer.body, "revision") : who.config_revision;
        if (answer.answered && known >= revision && !answer.body.value("paused", false)) {
            domain["confirmed"] = domain["confirmed"].get<int>() + 1;
            continue;
        }
        auto host = nlohmann::json{{"name", who.name},
                                   {"failure_domain", who.failure_domain},
                                   {"state", member_state_text(who.state)},
                                   {"revision", known},
                                   {"reason", answer.answered ? "holds an older revision" : answer.problem}};
        domain["unconfirmed"].push_back(who.name);
        unconfirmed_hosts.push_back(std::move(host));
    }
    for (auto const& [name, domain] : domains.items())
        if (!domain["unconfirmed"].empty()) unconfirmed_domains.push_back(name);
    return {{"revision", revision},
            {"converged", unconfirmed_hosts.empty()},
            {"failure_domains", domains},
            {"unconfirmed_failure_domains", unconfirmed_domains},
            {"unconfirmed_hosts", unconfirmed_hosts}};
}

auto merge_timelines(std::vector<member_answer> const& answers) -> nlohmann::json
{
    auto events = std::vector<nlohmann::json>{};
    auto unreachable = nlohmann::json::array();
    for (auto const& answer : answers) {
        if (!answer.answered) {
            unreachable.push_back(answer.who.name);
            continue;
        }
        auto const list = answer.body.find("events");
        if (list == answer.body.end() || !list->is_array()) continue;
        for (auto event : *list) {
            if (!event.is_object()) continue;
            event["process"] = answer.who.name;
            events.push_back(std::move(event));
        }
    }
    auto const order = [](nlohmann::json const& event) {
        return std::tuple{unsigned_field(event, "counter"), unsigned_field(event, "wall_ms"),
                          event["process"].get<std::string>()};
    };
    std::stable_sort(events.begin(), events.end(),
                     [&](auto const& left, auto const& right) { return order(left) < order(right); });
    return {{"events", events}, {"unreachable", unreachable}};
}

// One question to all members: workers take them in turn and the last one to end wakes the asker.
struct status_report::round {
    question what = question::config_revision;
    std::vector<member_answer> answers;
    std::size_t next = 0;
    std::size_t workers = 0;
};

auto status_report::ask(question what, member peer) -> asio::awaitable<result<nlohmann::json>>
{
    if (what == question::config_revision) {
        auto params = nlohmann::json{{"have_revision", config_.state().revision()}};
        co_return co_await rpc_call(context_.client, peer.control_address, "config.fetch", std::move(params),
                                    ask_timeout);
    }
    if (what == question::weights)
        co_return co_await rpc_call(context_.client, peer.control_address, "weights.status",
                                    nlohmann::json::object(), ask_timeout);
    auto options = http_call_options{};
    options.timeout = ask_timeout;
    options.connect_timeout = ask_timeout;
    options.purpose = "operators";
    auto request = http_request{"GET", "/timeline"};
    auto answer = co_await context_.client.fetch(peer.control_address, std::move(request), options);
    if (!answer) co_return answer.error();
    auto body = nlohmann::json::parse(answer.value().body, nullptr, false);
    if (!body.is_object()) co_return fail(result_code::response_malformed, "time line is not JSON");
    co_return body;
}

auto status_report::ask_worker(std::shared_ptr<round> work) -> asio::awaitable<void>
{
    while (work->next < work->answers.size()) {
        auto const index = work->next++;
        auto peer = work->answers[index].who;
        auto got = co_await ask(work->what, std::move(peer));
        auto& answer = work->answers[index];
        answer.answered = got.has_value() && got.value().is_object();
        if (got)
            answer.body = std::move(got).value();
        else
            answer.problem = got.error().message;
    }
    --work->workers;
}

auto status_report::ask_all(question what) -> asio::awaitable<std::vector<member_answer>>
{
    auto work = std::make_shared<round>();
    work->what = what;
    for (auto& peer : members_.members()) {
        if (what == question::weights && peer.role != member_role::agent) continue;
        auto answer = member_answer{};
        answer.who = std::move(peer);
        work->answers.push_back(std::move(answer));
    }
    work->workers = std::min(askers, work->answers.size());
    for (auto i = std::size_t{0}, count = work->workers; i < count; ++i)
        asio::co_spawn(context_.io, ask_worker(work), asio::detached);
    while (work->workers > 0)
        co_await sleep_for(milliseconds{2});
    co_return std::move(work->answers);
}

auto status_report::convergence() -> asio::awaitable<nlohmann::json>
{
    auto answers = co_await ask_all(question::config_revision);
    // Read after the answers: a member may have brought a newer revision meanwhile.
    auto own = member_answer{};
    own.who = context_.self;
    own.answered = true;
    auto const now = clock::now();
    own.body = {{"revision", config_.state().revision()}, {"paused", config_.state().paused(now)}};
    answers.push_back(own);
    auto const& state = config_.state();
    auto report = convergence_of(state.revision(), answers);
    report["write_id"] = state.document() ? state.document()->write_id : "";
    report["confirmed_age_ms"] = state.document() ? state.confirmed_age(now).count() : -1;
    report["skipped_resources"] = state.skipped();
    co_return report;
}

auto status_report::weights() -> asio::awaitable<nlohmann::json>
{
    auto const answers = co_await ask_all(question::weights);
    auto hosts = nlohmann::json::array();
    for (auto const& answer : answers) {
        auto host = nlohmann::json{{"name", answer.who.name},
                                   {"failure_domain", answer.who.failure_domain},
                                   {"service", answer.who.service}};
        if (answer.answered)
            host["status"] = answer.body;
        else
            host["error"] = answer.problem;
        hosts.push_back(std::move(host));
    }
    co_return nlohmann::json{{"hosts", hosts}};
}

auto status_report::timeline() -> asio::awaitable<nlohmann::json>
{
    auto answers = co_await ask_all(question::timeline);
    auto own = member_answer{};
    own.who = context_.self;
    own.answered = true;
    own.body = nlohmann::json::parse(context_.events.json());
    answers.push_back(std::move(own));
    co_return merge_timelines(answers);
}

auto status_report::members() const -> nlohmann::json
{
    auto list = nlohmann::json::array({to_json(context_.self)});
    for (auto const& peer : members_.members())
        list.push_back(to_json(peer));
    return {{"members", list}};
}

} // namespace hibiscuswall
