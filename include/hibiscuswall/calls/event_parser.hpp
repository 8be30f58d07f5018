#pragma once
// Splits the bytes of a stream of server-sent events into whole events.
//
//   for (auto& event : parser.feed(piece)) relay(event.text);
//   parser.pending();                     // bytes of an event that is not whole yet

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

struct stream_event {
    std::optional<long long> id; // from "id:"; none when absent or not a number
    std::string type;            // from "event:"; empty for a plain one
    std::string text;            // the whole event with its closing empty line
};

class event_parser {
public:
    auto feed(std::string_view bytes) -> std::vector<stream_event>;
    [[nodiscard]] auto pending() const -> std::size_t { return buffer_.size(); }

private:
    std::string buffer_;
};

} // namespace hibiscuswall
