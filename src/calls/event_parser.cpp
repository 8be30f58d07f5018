#include "hibiscuswall/calls/event_parser.hpp"

#include <algorithm>
#include <charconv>

namespace hibiscuswall {
namespace {

auto parse_event(std::string text) -> stream_event
{
    auto event = stream_event{};
    auto remaining = std::string_view{text};
    while (!remaining.empty()) {
        auto const end = std::min(remaining.find('\n'), remaining.size() - 1);
        auto line = remaining.substr(0, end);
        remaining.remove_prefix(end + 1);
        auto const colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0) continue;
        auto value = line.substr(colon + 1);
        if (value.starts_with(' ')) value.remove_prefix(1);
        if (line.substr(0, colon) == "event") event.type = std::string{value};
        if (line.substr(0, colon) != "id") continue;
        auto number = 0LL;
        auto const [stop, status] = std::from_chars(value.data(), value.data() + value.size(), number);
        if (status == std::errc{} && stop == value.data() + value.size()) event.id = number;
    }
    event.text = std::move(text);
    return event;
}

} // namespace

auto event_parser::feed(std::string_view bytes) -> std::vector<stream_event>
{
    // The end of an event may be split between two pieces, so the last buffered byte is searched again.
    auto const searched = buffer_.empty() ? 0 : buffer_.size() - 1;
    // Lines may end with "\r\n"; they are relayed with "\n".
    for (auto const c : bytes)
        if (c != '\r') buffer_ += c;
    auto events = std::vector<stream_event>{};
    auto start = std::size_t{0};
    while (true) {
        auto const end = buffer_.find("\n\n", std::max(start, searched));
        if (end == std::string::npos) break;
        events.push_back(parse_event(buffer_.substr(start, end + 2 - start)));
        start = end + 2;
    }
    buffer_.erase(0, start);
    return events;
}

} // namespace hibiscuswall
