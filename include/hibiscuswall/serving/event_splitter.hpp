#pragma once
// Splits a stream of server-sent events at event boundaries and passes every byte on unchanged.
//
//   auto events = splitter.feed(bytes); // events completed by these bytes, possibly empty
//   splitter.last_id();                 // id of the last complete event
//   splitter.pending();                 // bytes of the incomplete event
//   splitter.begin_response();          // another endpoint continues the stream
//
// The first event of a response that continues the stream has an id above that of the last event, or the
// response does not continue it: feed() returns nothing more of it.

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

    // Whether another response can continue the stream: there is no event yet, or the last one has an id.
    [[nodiscard]] auto can_resume() const -> bool { return count_ == 0 || last_event_has_id_; }

    // Whether the response continues the events before it.
    [[nodiscard]] auto continues() const -> bool { return continues_; }

    // Called at the start of each response. Discards the incomplete event of an earlier one.
    auto begin_response() -> void;

private:
    using optional_id = std::optional<std::string>;

    auto record(std::string_view events) -> std::size_t;
    auto record_event(optional_id id) -> bool;

    std::string buffer_;
    std::size_t count_ = 0;
    bool last_event_has_id_ = false;
    bool must_continue_ = false; // no event of this response yet, but some of an earlier one
    bool continues_ = true;
    std::optional<std::string> first_id_;
    std::optional<std::string> last_id_;
};

} // namespace hibiscuswall
