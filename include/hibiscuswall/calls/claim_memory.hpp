#pragma once
// The claims that this process wrote lately, for a store that comes back from a copy which lacks them. No
// network, no clock.
//
//   auto memory = claim_memory{};
//   memory.on_written(key, claim, now);
//   memory.on_era(store.era(), now);               // with each response of the store
//   for (auto const& lost : memory.take_lost(now)) ...    // once after a restore: to be written again
//
// Every entry writes its own claims again. Until each has noticed the restore and done so, a key without a
// claim must not be claimed by another call: restores() tells (config/restore_state.hpp).

#include "hibiscuswall/calls/claim_bucket.hpp"
#include "hibiscuswall/config/restore_state.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hibiscuswall {

struct kept_claim {
    std::string key;
    claim value;
};

class claim_memory {
public:
    // Records a claim as it was last written. Of many, the oldest are forgotten.
    auto on_written(std::string const& key, claim const& value, time_point now) -> void;

    // Records the store's era; a later one than before means that it was restored.
    auto on_era(std::uint64_t era, time_point now) -> void;

    [[nodiscard]] auto restores() -> restore_state& { return restores_; }

    // The claims that a restored store may have lost, once after each restore; empty at other times.
    auto take_lost(time_point now) -> std::vector<kept_claim>;

private:
    struct written_claim {
        claim value;
        time_point written_at;
    };

    auto forget_old(time_point now) -> void;

    std::map<std::string, written_claim, std::less<>> written_; // by key
    std::deque<std::pair<time_point, std::string>> order_;      // of the writes, oldest first
    restore_state restores_;
    bool is_taken_ = true; // the claims that the latest restore lost
};

} // namespace hibiscuswall
