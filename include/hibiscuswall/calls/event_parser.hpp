#pragma once
// Splits the bytes of a stream of server-sent events into complete events.
//
//   for (auto& event : parser.feed(piece)) relay(event.text);
//   if (parser.too_long()) give_up();     // more than max_event_bytes without the end of an event

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

constexpr auto max_event_bytes = std::size_t{1024 * 1024}; // Bounds the memory used per stream.

struct stream_event {
    std::optional<long long> id; // From "id:"; none: absent or not a number.
    std::string type;            // From "event:"; empty: absent.
    std::string text;            // The complete event with its terminating empty line.
};

class event_parser {
public:
    auto feed(std::string_view bytes) -> std::vector<stream_event>;

    // Bytes of the incomplete event.
    [[nodiscard]] auto pending() const -> std::size_t { return buffer_.size(); }

    [[nodiscard]] auto too_long() const -> bool { return pending() > max_event_bytes; }

private:
    std::string buffer_;
};

} // namespace hibiscuswall
