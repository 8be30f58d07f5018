#include "hibiscuswall/api/ctl_session.hpp"

#include "hibiscuswall/core/random_source.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>
#include <random>
#include <thread>

namespace hibiscuswall {
namespace {

constexpr auto request_timeout = milliseconds{15'000}; // above the entry's own limit for resolving a write
constexpr auto apply_rounds = 3;                       // over all entries
constexpr auto apply_pause = milliseconds{500};

auto fetch_into(http_client& client, address where, http_request request,
                std::optional<result<http_response>>& out) -> asio::awaitable<void>
{
    auto options = http_call_options{};
    options.timeout = request_timeout;
    out.emplace(co_await client.fetch(where, std::move(request), options));
}

auto unsettled(result_code code) -> bool { return describe(code).outcome == ran::unknown; }

} // namespace

ctl_session::ctl_session(std::vector<address> entries) : client_{io_, nullptr}, entries_{std::move(entries)}
{
}

auto ctl_session::ask(address const& where, http_request const& request) -> result<nlohmann::json>
{
    auto answer = std::optional<result<http_response>>{};
    asio::co_spawn(io_, fetch_into(client_, where, request, answer), asio::detached);
    io_.restart();
    while (!answer)
        io_.run_one();
    if (!*answer) return answer->error();
    auto body = nlohmann::json::parse(answer->value().body, nullptr, false);
    if (answer->value().status == 200 && body.is_object()) return body;
    if (!body.is_object() || !body.contains("code") || !body["code"].is_number_integer())
        return fail(result_code::unexpected_status,
                    where.text() + ": status " + std::to_string(answer->value().status));
    return fail(result_code_from_number(body["code"].get<int>()), body.value("message", ""));
}

auto ctl_session::get(std::string const& target) -> result<nlohmann::json>
{
    auto last = fail(result_code::connect_failed, "no entry given");
    for (auto const& where : entries_) {
        auto answer = ask(where, {"GET", target});
        if (answer) return answer;
        last = answer.error();
        auto const number = static_cast<int>(last.code);
        if (number < 1500 && last.code != result_code::configuration_missing) return last; // the entry's word
    }
    return last;
}

auto ctl_session::apply(nlohmann::json request) -> result<nlohmann::json>
{
    if (!request.contains("write_id")) request["write_id"] = random_source{std::random_device{}()}.id();
    auto const message = http_request{"POST", "/v1/apply", {}, request.dump()};
    auto maybe_written = false;
    auto last = fail(result_code::connect_failed, "no entry given");
    for (auto round = 0; round < apply_rounds; ++round) {
        for (auto const& where : entries_) {
            auto answer = ask(where, message);
            if (answer) return answer;
            last = answer.error();
            maybe_written = maybe_written || unsettled(last.code);
            auto const refused =
                last.code == result_code::resource_invalid || last.code == result_code::resource_not_found ||
                last.code == result_code::request_malformed || last.code == result_code::revision_conflict;
            // The entry looks for the write id before it refuses, so this settles earlier attempts as well.
            if (refused) return last;
        }
        if (!maybe_written) return last;
        pause(apply_pause);
    }
    return fail(result_code::write_outcome_unknown,
                last.message + "; repeat the command, or look for write " +
                    request["write_id"].get<std::string>() + " in status");
}

auto ctl_session::pause(milliseconds duration) -> void { std::this_thread::sleep_for(duration); }

} // namespace hibiscuswall
