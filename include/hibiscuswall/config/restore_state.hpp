#pragma once
// Whether the store was restored from a copy so lately that the other processes may not have written again
// what it lost. No network, no clock.
//
//   auto state = restore_state{};
//   state.on_era(store.era(), now);                                    // often, and after a first response
//   if (state.must_ask(now)) state.on_settled(co_await settled_era());    // config/settled_era.hpp
//   if (state.may_lack_writes(now)) reject();                          // an absent key may have been lost
//   if (state.must_record(now)) record_settled_era();
//
// A process sees a restore as an era that rises. One that starts afterwards has known no earlier era; the
// store's own record tells it whether the era is new to the others.

#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <optional>

namespace hibiscuswall {

class restore_state {
public:
    // Records the store's era; 0: it has named none. Returns whether the store was restored since the era
    // before.
    auto on_era(std::uint64_t era, time_point now) -> bool;

    // Records the era that the store names as settled; 0: none.
    auto on_settled(std::uint64_t era) -> void;

    // Whether this process knows what the store held before its latest restore.
    [[nodiscard]] auto knows_before() const -> bool { return knows_before_; }

    // Whether only the store's record can tell if the era is new to the other processes.
    [[nodiscard]] auto must_ask(time_point now) const -> bool;

    // Whether lost writes may not be written again yet.
    [[nodiscard]] auto may_lack_writes(time_point now) const -> bool;

    // Whether the era is to be recorded as settled.
    [[nodiscard]] auto must_record(time_point now) const -> bool;

    [[nodiscard]] auto era() const -> std::uint64_t { return era_; }

private:
    // Whether the store's record is not known to name the era.
    [[nodiscard]] auto is_unsettled() const -> bool;
    [[nodiscard]] auto is_young(time_point now) const -> bool;

    std::uint64_t era_ = 0;     // 0: the store has named none yet
    std::uint64_t settled_ = 0; // the newest that the store's record is known to name
    time_point known_since_;    // when this process first heard of the era
    bool has_risen_ = false;    // this process has known an earlier era
    bool knows_before_ = false; // and had all that the store held in it
    bool is_asked_ = false;     // the store's record was read in this era
};

} // namespace hibiscuswall
