#include "hibiscuswall/serving/event_splitter.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hibiscuswall {
namespace {

constexpr auto id_field = std::string_view{"id:"};

// Returns the position after the last empty line, or 0 if there is none. Lines end in "\n" or "\r\n". The
// bytes begin at a line, which may be empty, too.
auto end_of_complete_events(std::string_view bytes, std::size_t from) -> std::size_t
{
    auto end = std::size_t{0};
    for (auto at = bytes.find('\n', from); at != std::string_view::npos; at = bytes.find('\n', at + 1)) {
        auto const before = at > 0 && bytes[at - 1] == '\r' ? at - 1 : at;
        if (before == 0 || bytes[before - 1] == '\n') end = at + 1;
    }
    return end;
}

// Decodes the id in a line, if the line has one.
auto id_in(std::string_view line) -> std::optional<std::string>
{
    if (!line.starts_with(id_field)) return std::nullopt;
    line.remove_prefix(id_field.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    return std::string{line};
}

auto to_number(std::string_view text) -> std::optional<std::uint64_t>
{
    auto value = std::uint64_t{0};
    auto const [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

// Ids that are not numbers have no order; the event must only be another one.
auto follows(std::string_view id, std::string_view previous) -> bool
{
    auto const number = to_number(id);
    auto const previous_number = to_number(previous);
    if (!number || !previous_number) return id != previous;
    return *number > *previous_number;
}

} // namespace

auto event_splitter::begin_response() -> void
{
    buffer_.clear();
    must_continue_ = last_id_.has_value();
    continues_ = true;
}

auto event_splitter::feed(std::string_view bytes) -> std::string
{
    // The empty line may span two inputs: "\n\r\n" starts at most two bytes before the new input.
    auto const from = buffer_.size() < 2 ? 0 : buffer_.size() - 2;
    buffer_ += bytes;
    auto const end = end_of_complete_events(buffer_, from);
    auto complete_events = buffer_.substr(0, end);
    buffer_.erase(0, end);
    complete_events.resize(record(complete_events));
    return complete_events;
}

// Returns the size of the events before the first one that does not continue the stream.
auto event_splitter::record(std::string_view events) -> std::size_t
{
    auto const size = events.size();
    auto recorded = std::size_t{0};
    auto has_field = false;
    auto id = optional_id{};
    while (continues_ && !events.empty()) {
        auto const end = std::min(events.find('\n'), events.size() - 1);
        auto line = events.substr(0, end);
        if (line.ends_with('\r')) line.remove_suffix(1);
        if (line.empty() && std::exchange(has_field, false) && !record_event(std::exchange(id, {}))) break;
        events.remove_prefix(end + 1);
        if (line.empty()) recorded = size - events.size();
        if (line.empty() || line.starts_with(':')) continue;
        has_field = true;
        if (auto found = id_in(line)) id = std::move(found);
    }
    return recorded;
}

auto event_splitter::record_event(optional_id id) -> bool
{
    if (std::exchange(must_continue_, false)) continues_ = id && follows(*id, *last_id_);
    if (!continues_) return false;
    ++count_;
    last_event_has_id_ = id.has_value();
    if (!id) return true;
    if (!first_id_) first_id_ = id;
    last_id_ = std::move(id);
    return true;
}

} // namespace hibiscuswall
