#pragma once
// Decisions about the copy of the configuration that a process holds: which revision is in force, how long
// ago the store confirmed it, and whether a pause of the process lies behind it. Knows no transport.
//
//   auto state = config_state{pause_threshold};
//   if (state.adopt(document, confirmed_at)) announce(state.current());   // false: not newer
//   state.tick(now);                                                       // every 100 ms
//   state.confirmed(now);                                                  // may new work start?

#include "hibiscuswall/config/config_document.hpp"

#include <deque>
#include <optional>

namespace hibiscuswall {

using config_document_ptr = std::shared_ptr<config_document const>;

class config_state {
public:
    explicit config_state(milliseconds pause_threshold) : pause_threshold_{pause_threshold} {}

    // Takes a newer document; a lower or equal revision changes nothing but the confirmation. True when it is
    // newer than the current one or the first.
    auto adopt(config_document document, time_point confirmed_at) -> bool;

    // The store, or a peer through the chain of peers, had this revision as the newest at that time. A
    // revision other than the current one confirms nothing.
    auto confirm(std::uint64_t revision, time_point at) -> void;

    // Called every tick; true when this tick shows that the process was paused.
    auto tick(time_point now) -> bool;

    // A peer or the store confirmed the revision after the pause.
    auto end_pause(time_point requested_at) -> void;

    [[nodiscard]] auto current() const -> config_view_ptr { return view_; }
    [[nodiscard]] auto document() const -> config_document_ptr { return document_; }
    [[nodiscard]] auto revision() const -> std::uint64_t { return document_ ? document_->revision : 0; }
    [[nodiscard]] auto paused(time_point now) const -> bool;
    [[nodiscard]] auto confirmed(time_point now) const -> bool;
    [[nodiscard]] auto confirmed_age(time_point now) const -> milliseconds;

    // A recent document, for a delta; null when it is too old.
    [[nodiscard]] auto recent(std::uint64_t revision) const -> config_document_ptr;

    // Names of resources in the current document that this build cannot read.
    [[nodiscard]] auto skipped() const -> std::vector<std::string> const& { return skipped_; }

private:
    milliseconds pause_threshold_;
    config_document_ptr document_;
    config_view_ptr view_;
    std::vector<std::string> skipped_;
    std::deque<config_document_ptr> history_; // newest first, without the current one
    time_point confirmed_at_{};
    std::optional<time_point> last_tick_;
    std::optional<time_point> paused_since_; // end of the gap, until a confirmation asked for after it
};

} // namespace hibiscuswall
