#include "hibiscuswall/serving/event_splitter.hpp"

#include <algorithm>
#include <utility>

namespace hibiscuswall {
namespace {

constexpr auto id_field = std::string_view{"id:"};

// Returns the position after the last empty line, or 0 if there is none. Lines end in "\n" or "\r\n".
auto end_of_complete_events(std::string_view bytes, std::size_t from) -> std::size_t
{
    auto end = std::size_t{0};
    for (auto at = bytes.find('\n', from); at != std::string_view::npos; at = bytes.find('\n', at + 1)) {
        auto const before = at > 0 && bytes[at - 1] == '\r' ? at - 1 : at;
        if (before > 0 && bytes[before - 1] == '\n') end = at + 1;
    }
    return end;
}

} // namespace

auto event_splitter::feed(std::string_view bytes) -> std::string
{
    // The empty line may span two inputs: "\n\r\n" starts at most two bytes before the new input.
    auto const from = buffer_.size() < 2 ? 0 : buffer_.size() - 2;
    buffer_ += bytes;
    auto const end = end_of_complete_events(buffer_, from);
    auto complete_events = buffer_.substr(0, end);
    buffer_.erase(0, end);
    record(complete_events);
    return complete_events;
}

auto event_splitter::record(std::string_view events) -> void
{
    auto has_field = false;
    while (!events.empty()) {
        auto const end = std::min(events.find('\n'), events.size() - 1);
        auto line = events.substr(0, end);
        events.remove_prefix(end + 1);
        if (line.ends_with('\r')) line.remove_suffix(1);
        if (line.empty() && std::exchange(has_field, false)) ++count_;
        if (line.empty() || line.starts_with(':')) continue;
        has_field = true;
        record_id(line);
    }
}

auto event_splitter::record_id(std::string_view line) -> void
{
    if (!line.starts_with(id_field)) return;
    line.remove_prefix(id_field.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    if (!first_id_) first_id_ = std::string{line};
    last_id_ = std::string{line};
}

} // namespace hibiscuswall
