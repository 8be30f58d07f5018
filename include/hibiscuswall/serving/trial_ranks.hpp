#pragma once
// Ranks the entries of the fleet for trials of a prompt segment, so that one entry goes first.
//
//   auto ranks = trial_ranks{"entry-1"};
//   ranks.set_entries(names);
//   ranks.rank(model, segment)             // 0: this entry goes first
//
// Every entry ranks the same names alike, by rendezvous hashing. Not for several threads at once.

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

class trial_ranks {
public:
    explicit trial_ranks(std::string self);

    auto set_entries(std::vector<std::string> names) -> void;

    // Number of entries that go before this one; all of them if this one is not among the names.
    [[nodiscard]] auto rank(std::string_view model, std::string_view segment) const -> int;

private:
    [[nodiscard]] auto computed_rank(std::string_view key) const -> int;

    std::string self_;
    std::vector<std::string> names_;
    mutable std::map<std::string, int, std::less<>> known_; // by key; emptied when it has grown too large
};

} // namespace hibiscuswall
