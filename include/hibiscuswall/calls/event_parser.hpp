#pragma once
// Splits the bytes of a stream of server-sent events into whole events.
//
//   for (auto& event : parser.feed(piece)) relay(event.text);
//   if (parser.too_long()) give_up();     // the sender does not end its event

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

constexpr auto max_event_bytes = std::size_t{1024 * 1024}; // bounds the memory that one stream can take

struct stream_event {
    std::optional<long long> id; // from "id:"; none when absent or not a number
    std::string type;            // from "event:"; empty for a plain one
    std::string text;            // the whole event with its closing empty line
};

class event_parser {
public:
    auto feed(std::string_view bytes) -> std::vector<stream_event>;

    // Bytes of an event that is not whole yet.
    [[nodiscard]] auto pending() const -> std::size_t { return buffer_.size(); }

    [[nodiscard]] auto too_long() const -> bool { return pending() > max_event_bytes; }

private:
    std::string buffer_;
};

} // namespace hibiscuswall
