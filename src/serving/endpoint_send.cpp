// One send of a call to one endpoint: the request out, the answer in, events relayed as they come.
#include "hibiscuswall/serving/endpoint_response_parser.hpp"
#include "hibiscuswall/serving/call_relay.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto keep_alive_margin = milliseconds{1'000}; // a kept connection is not used in its last second

auto request_text(relayed_call const& call, http_headers const& headers) -> std::string
{
    auto const& request = call.request;
    auto text = std::string{};
    text.reserve(1024 + request.body.size());
    text += request.method;
    text += ' ';
    text += request.target;
    text += " HTTP/1.1\r\n";
    for (auto const& each : headers.all()) {
        text += each.name;
        text += ": ";
        text += each.value;
        text += "\r\n";
    }
    auto const has_body = !request.body.empty() || request.method == "POST" || request.method == "PUT";
    if (has_body) text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n";
    text += request.body;
    return text;
}

auto end_name(link_end end) -> std::string
{
    switch (end) {
    case link_end::closed:
        return "closed";
    case link_end::reset:
        return "reset";
    case link_end::late:
        return "late";
    }
    return "unknown";
}

// Time that the endpoint keeps an idle connection, from "timeout=N" of its Keep-Alive header.
auto idle_time(http_headers const& headers, milliseconds fallback) -> milliseconds
{
    auto const text = headers.find("Keep-Alive");
    auto const at = text.find("timeout=");
    if (at == std::string_view::npos) return fallback;
    auto const stated = seconds{std::atoi(std::string{text.substr(at + 8)}.c_str())};
    return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(stated) - keep_alive_margin);
}

auto note_events(relayed_call& call, time_point now) -> void
{
    if (call.first_event_at == time_point{})
        call.first_event_at = now;
    else
        call.longest_gap = std::max(call.longest_gap, now - call.last_event_at);
    call.last_event_at = now;
}

} // namespace

auto call_relay::send(relayed_call& call) -> asio::awaitable<send_outcome>
{
    auto const now = clock::now();
    auto const record = call.endpoint->record;
    // A kept connection may have been closed by the endpoint in this moment; whether a call that was sent on
    // it ran could then not be told.
    auto link = link_ptr{};
    if (call.route->may_repeat()) link = pool_.take(record.id, now);
    if (link == nullptr) {
        auto const time = std::min(settings_.connect_timeout,
                                   std::chrono::duration_cast<milliseconds>(call.deadline - now));
        link = co_await pool_.connect(record.where, time);
    }
    if (link == nullptr) co_return send_unsent{"no connection"};
    if (call.caller_gone) co_return send_unsent{"caller left"};
    call.link = link;
    call.abandoned = false;
    call.sent_at = clock::now();
    call.last_bytes_at = {};
    ++call.arrivals;
    auto outcome = co_await exchange(call);
    if (call.link != nullptr) call.link->close();
    call.link = nullptr;
    co_return outcome;
}

auto call_relay::exchange(relayed_call& call) -> asio::awaitable<send_outcome>
{
    auto const& record = call.endpoint->record;
    auto fields = platform::send_fields{};
    fields.time_left = std::chrono::duration_cast<milliseconds>(call.deadline - clock::now());
    if (fields.time_left.count() <= 0) co_return send_unsent{"deadline"};
    fields.endpoint_id = record.id;
    if (call.account != nullptr) fields.account = call.account->name;
    if (call.service->engine) {
        auto const lowest = fleet_.lowest_version(call.service->engine->model, clock::now());
        // Only near the bound: an engine that has just changed its weights would refuse for nothing.
        if (lowest > 0 && call.endpoint->weights())
            fields.weights_version = call.endpoint->weights()->version;
    }
    if (call.answering && call.events.last_id()) fields.resume_after = *call.events.last_id();
    auto const text = request_text(call, platform::encode_send(call.request.headers, fields));
    auto const link = call.link;
    // An endpoint may answer and reset before it has read the whole request: what came is read in any case.
    [[maybe_unused]] auto const sent = co_await link->send(text, call.deadline);
    auto parser = answer_parser{call.request.method == "HEAD"};
    co_return co_await read_answer(call, parser);
}

auto call_relay::read_answer(relayed_call& call, answer_parser& parser) -> asio::awaitable<send_outcome>
{
    auto const link = call.link;
    while (true) {
        while (parser.state() != answer_state::whole && parser.state() != answer_state::broken) {
            auto const is_ours =
                parser.has_head() &&
                platform::decode_answer(parser.status(), parser.headers()).call_id == call.fields.call_id;
            if (is_ours && parser.status() == 200 && call.is_stream())
                co_return co_await relay_events(call, parser);
            auto const bytes = co_await link->receive(call.deadline);
            if (bytes.empty()) {
                if (call.abandoned) co_return send_failed{"silent"};
                if (link->end() == link_end::late) co_return send_failed{"late"};
                parser.end_of_input(link->end() == link_end::closed);
                if (parser.state() == answer_state::broken)
                    co_return send_failed{parser.has_begun() ? "cut" : end_name(link->end())};
                break;
            }
            call.last_bytes_at = clock::now();
            parser.feed(bytes);
        }
        if (parser.state() == answer_state::broken) co_return send_failed{"no valid answer"};
        auto const said = platform::decode_answer(parser.status(), parser.headers());
        if (said.call_id.empty() || said.call_id == call.fields.call_id) break;
        // A late answer to another call stands before ours.
        measures_.count("answers_of_other_calls");
        parser.restart();
    }
    auto const said = platform::decode_answer(parser.status(), parser.headers());
    if (said.not_run || said.wrong_endpoint) {
        keep_link(call, parser);
        co_return send_refused{parser.status()};
    }
    auto const success = parser.status() >= 200 && parser.status() < 300;
    if (success && !said.signed_answer) co_return send_failed{"no signature"};
    if (success && call.is_stream()) co_return co_await relay_events(call, parser);
    auto answer =
        send_answered{parser.status(), platform::relayed_headers(parser.headers()), parser.take_body()};
    keep_link(call, parser);
    co_return answer;
}

auto call_relay::begin_stream(relayed_call& call, answer_parser& parser) -> asio::awaitable<bool>
{
    if (call.answering) co_return true;
    call.answering = true;
    co_return co_await call.out.start(parser.status(), platform::relayed_headers(parser.headers()));
}

// The header goes to the caller with the first whole event: until then the call can go elsewhere unseen.
auto call_relay::relay_events(relayed_call& call, answer_parser& parser) -> asio::awaitable<send_outcome>
{
    auto const link = call.link;
    if (!platform::decode_answer(parser.status(), parser.headers()).signed_answer)
        co_return send_failed{"no signature"};
    call.events.drop_pending();
    auto const cut = [&](std::string reason) -> send_outcome {
        if (call.answering) return send_interrupted{std::move(reason)};
        return send_failed{std::move(reason)};
    };
    while (true) {
        auto const whole = call.events.feed(parser.take_body());
        if (!whole.empty()) {
            note_events(call, clock::now());
            call.note_read();
            if (!co_await begin_stream(call, parser)) co_return cut("caller left");
            if (!co_await call.out.write(whole)) co_return cut("caller left");
        }
        if (parser.state() == answer_state::broken) co_return cut("no valid answer");
        if (parser.state() == answer_state::whole) break;
        auto const bytes = co_await link->receive(call.deadline);
        if (bytes.empty()) {
            if (call.abandoned) co_return cut("silent");
            if (link->end() == link_end::late) co_return cut("late");
            parser.end_of_input(link->end() == link_end::closed);
            if (parser.state() == answer_state::broken) co_return cut("cut");
            continue;
        }
        call.last_bytes_at = clock::now();
        parser.feed(bytes);
    }
    if (call.events.pending() > 0) co_return cut("ended within an event");
    if (!co_await begin_stream(call, parser)) co_return cut("caller left");
    keep_link(call, parser);
    co_await call.out.finish();
    co_return send_streamed{};
}

auto call_relay::keep_link(relayed_call& call, answer_parser& parser) -> void
{
    if (!parser.keeps_connection() || parser.excess() > 0) return;
    auto const time = idle_time(parser.headers(), settings_.idle_time);
    if (time.count() > 0)
        pool_.give_back(call.endpoint->record.id, std::exchange(call.link, nullptr), time, clock::now());
}

} // namespace hibiscuswall
