#pragma once
// State of this process's copy of the configuration: which revision is in force, how long ago the store
// confirmed it, and whether the process was paused since. Does no I/O.
//
//   auto state = config_state{pause_threshold};
//   if (state.adopt(document, confirmed_at)) notify(state.current());   // false: the document is not newer
//   state.tick(now);                                                       // every 100 ms
//   state.confirmed(now);                                                  // whether new work may start

#include "hibiscuswall/config/config_document.hpp"

#include <deque>
#include <optional>

namespace hibiscuswall {

using config_document_ptr = std::shared_ptr<config_document const>;

class config_state {
public:
    explicit config_state(milliseconds pause_threshold) : pause_threshold_{pause_threshold} {}

    // Puts the document in force if it is the first or newer than the current one, and returns true.
    // Otherwise only the confirmation is updated, if the revisions are equal.
    auto adopt(config_document document, time_point confirmed_at) -> bool;

    // Records that the revision was the newest at the given time, according to the store or to a peer whose
    // own confirmation goes back to the store. A revision other than the current one confirms nothing.
    auto confirm(std::uint64_t revision, time_point at) -> void;

    // Must be called every tick. Returns true if the gap since the last tick shows that the process was
    // paused.
    auto tick(time_point now) -> bool;

    // Ends the pause if the confirmation was requested after it; older requests confirm only the state before
    // the pause.
    auto end_pause(time_point requested_at) -> void;

    [[nodiscard]] auto current() const -> config_view_ptr { return view_; }
    [[nodiscard]] auto document() const -> config_document_ptr { return document_; }
    [[nodiscard]] auto revision() const -> std::uint64_t { return document_ ? document_->revision : 0; }
    [[nodiscard]] auto paused(time_point now) const -> bool;
    [[nodiscard]] auto confirmed(time_point now) const -> bool;
    [[nodiscard]] auto confirmed_age(time_point now) const -> milliseconds;

    // Returns a recent document as the base of a delta; null if the revision is not in the history.
    [[nodiscard]] auto recent(std::uint64_t revision) const -> config_document_ptr;

    // Names of resources in the current document that this version cannot parse.
    [[nodiscard]] auto skipped() const -> std::vector<std::string> const& { return skipped_; }

private:
    milliseconds pause_threshold_;
    config_document_ptr document_;
    config_view_ptr view_;
    std::vector<std::string> skipped_;
    std::deque<config_document_ptr> history_; // newest first, without the current document
    time_point confirmed_at_{};
    std::optional<time_point> last_tick_;
    std::optional<time_point>
        paused_since_; // end of the detected gap; reset by a confirmation requested after it
};

} // namespace hibiscuswall
