#pragma once
// Splits a stream of server-sent events at event boundaries and passes every byte on unchanged.
//
//   auto events = splitter.feed(bytes); // events completed by these bytes, possibly empty
//   splitter.last_id();                 // id of the last complete event
//   splitter.pending();                 // bytes of the incomplete event

#include <optional>
#include <string>
#include <string_view>

namespace hibiscuswall {

class event_splitter {
public:
    auto feed(std::string_view bytes) -> std::string;

    // Empty before the first event with an id.
    [[nodiscard]] auto last_id() const -> std::optional<std::string> const& { return last_id_; }
    [[nodiscard]] auto first_id() const -> std::optional<std::string> const& { return first_id_; }

    // Complete events so far. Blocks of comments are none.
    [[nodiscard]] auto count() const -> std::size_t { return count_; }
    [[nodiscard]] auto pending() const -> std::size_t { return buffer_.size(); }

    // Discards an incomplete event after its endpoint disconnected.
    auto discard_partial_event() -> void { buffer_.clear(); }

private:
    auto record(std::string_view events) -> void;
    auto record_id(std::string_view line) -> void;

    std::string buffer_;
    std::size_t count_ = 0;
    std::optional<std::string> first_id_;
    std::optional<std::string> last_id_;
};

} // namespace hibiscuswall
