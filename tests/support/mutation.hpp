#pragma once
// Seeded mutation of valid inputs, for bounded fuzzing of parsers inside the unit tests.
//
//   for_each_mutation(seeds, 2000, 1, [](std::string const& text) { parse(text); });   // must not crash or
//   hang

#include "hibiscuswall/core/random_source.hpp"

#include <span>
#include <string>

namespace hibiscuswall {

inline auto mutate(std::string text, random_source& random) -> std::string
{
    auto const changes = 1 + random.below(4);
    for (auto i = std::size_t{0}; i < changes; ++i) {
        auto const at = random.below(text.size() + 1);
        auto const size = std::min(random.below(8), text.size() - at);
        switch (random.below(5)) {
        case 0:
            text.insert(at, 1, static_cast<char>(random.below(256)));
            break;
        case 1:
            text.erase(at, size);
            break;
        case 2:
            text.insert(at, text.substr(at, size));
            break;
        case 3:
            text.replace(at, size, "99999999999999999999");
            break;
        default:
            if (at < text.size()) text[at] = static_cast<char>(text[at] ^ (1 << random.below(8)));
        }
    }
    return text;
}

template<class Function>
auto for_each_mutation(std::span<std::string const> seeds, int rounds, unsigned long seed, Function check)
    -> void
{
    auto random = random_source{seed};
    for (auto round = 0; round < rounds; ++round)
        check(mutate(seeds[random.below(seeds.size())], random));
}

} // namespace hibiscuswall
