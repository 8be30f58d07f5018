#include "hibiscuswall/calls/forward_request.hpp"

namespace hibiscuswall {
namespace {

constexpr auto max_deadline_ms = 24LL * 3'600 * 1'000;

} // namespace

auto read_forward_request(http_request const& request, time_point now, milliseconds default_deadline)
    -> result<forward_request>
{
    auto const& headers = request.headers;
    for (auto const* name : {"Hw-Call-Id", "Hw-Class", "Hw-Method", "Hw-Target"})
        if (headers.find(name).empty())
            return fail(result_code::request_malformed, std::string{name} + ": header is missing");
    auto const priority = request_class_from_text(headers.find("Hw-Class"));
    if (!priority)
        return fail(result_code::request_malformed, "Hw-Class: expected booking, status or drafting");
    if (!headers.find("Hw-Target").starts_with('/'))
        return fail(result_code::request_malformed, "Hw-Target: expected a path that starts with '/'");

    auto read = forward_request{};
    read.call_id = headers.find("Hw-Call-Id");
    read.account = headers.find("Hw-Account");
    read.priority = *priority;
    auto const remaining_ms =
        std::min(headers.number("Hw-Deadline-Ms", default_deadline.count()), max_deadline_ms);
    read.deadline = now + milliseconds{remaining_ms};
    read.method = headers.find("Hw-Method");
    read.target = headers.find("Hw-Target");
    // A call without the header is treated as one that must not run twice.
    read.idempotent = headers.find("Hw-Idempotent") == "1";
    read.incarnation = static_cast<std::uint64_t>(headers.number("Hw-Agent-Incarnation", 0));
    read.version = headers.find("Hw-Weights-Version");
    read.last_event_id = headers.find("Last-Event-ID");
    read.content_type = headers.find("Content-Type");
    return read;
}

} // namespace hibiscuswall
