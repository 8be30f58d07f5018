#pragma once
// Follows all keys under one prefix of the platform's store, through outages and lost history.
//
//   auto mirror = prefix_mirror{store, random, "config/", settings, {.all = ..., .change = ...}};
//   asio::co_spawn(io, mirror.run(), asio::detached);
//   mirror.confirmed_at();         // when the store last answered

#include "hibiscuswall/core/random_source.hpp"
#include "platform/key_value_client.hpp"

#include <functional>
#include <string>

namespace hibiscuswall {

struct mirror_settings {
    milliseconds wait{2'500};         // of one watch: a connection that went silent is noticed after it
    milliseconds first_wait{300};     // the same after a failure: the store may still be going down and up
    int first_watches = 8;            // with the shorter wait
    milliseconds gather{0};           // pause after a change, so that changes close together cost one call
    milliseconds shortest_pause{100}; // after a failed call
    milliseconds longest_pause{500};
};

struct mirror_events {
    // The whole content. store_was_away: the calls before this one failed.
    std::function<void(store_range const&, bool store_was_away)> all;
    std::function<void(store_change const&, bool store_was_away)> change;
};

class prefix_mirror {
public:
    prefix_mirror(key_value_client& store, random_source& random, std::string prefix,
                  mirror_settings settings, mirror_events events)
        : store_{store}, random_{random}, prefix_{std::move(prefix)}, settings_{settings}, events_{std::move(
                                                                                               events)}
    {
    }

    // Until the io_context stops.
    auto run() -> asio::awaitable<void>;

    [[nodiscard]] auto confirmed_at() const -> time_point { return confirmed_at_; }
    [[nodiscard]] auto is_away() const -> bool { return failures_ > 0; }

private:
    auto read_all() -> asio::awaitable<result<void>>;
    auto follow() -> asio::awaitable<result<void>>;
    auto note_answer() -> void;
    auto note_failure(error const& why) -> asio::awaitable<void>;
    [[nodiscard]] auto was_away(time_point now) const -> bool;

    key_value_client& store_;
    random_source& random_;
    std::string prefix_;
    mirror_settings settings_;
    mirror_events events_;
    std::uint64_t revision_ = 0;
    bool complete_ = false; // the whole content was read
    int failures_ = 0;      // in a row
    int short_watches_ = 0; // still to come
    time_point confirmed_at_;
    time_point back_at_; // when the store answered again after failures
};

} // namespace hibiscuswall
