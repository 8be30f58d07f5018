// Refusals while engines have free slots, on the model of the fleet: each entry gets a share of the free
// slots that load reports show, whatever it needs.
//
//   share-experiment --seeds 5                    a table over numbers of entries and shapes of demand
//   share-experiment --seeds 5 --report-age 200   the same with load reports that are 200 ms old
#include "models/fleet_model.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <string>

using namespace hibiscuswall;
using namespace hibiscuswall::models;

namespace {

constexpr auto offered = 55.0;        // calls per second at all entries together: a third of the slots
constexpr auto favoured_share = 0.73; // of them, at the entries that have most
constexpr auto entry_counts = std::array<std::size_t, 4>{3, 6, 10, 16};

// With fewer engines than entries, the first entries are the preferred senders of one engine each, and the
// last ones of none.
enum class demand { even, first, last, moving, burst };
constexpr auto demands = std::array{demand::even, demand::first, demand::last, demand::moving, demand::burst};

auto name_of(demand shape) -> std::string
{
    switch (shape) {
    case demand::even:
        return "the same at each entry";
    case demand::first:
        return "most at a preferred sender";
    case demand::last:
        return "most at an entry that is none";
    case demand::moving:
        return "most at another entry each second";
    case demand::burst:
        return "only at an entry that is none, 1 s in 4";
    }
    return {};
}

auto calls_per_second(demand shape, std::size_t entries, std::size_t entry, milliseconds at) -> double
{
    auto const even = offered / static_cast<double>(entries);
    auto const others = offered * (1 - favoured_share) / static_cast<double>(entries - 1);
    auto const second = static_cast<std::size_t>(at / seconds{1});
    switch (shape) {
    case demand::even:
        return even;
    case demand::first:
        return entry == 0 ? offered * favoured_share : others;
    case demand::last:
        return entry == entries - 1 ? offered * favoured_share : others;
    case demand::moving:
        return entry == second % entries ? offered * favoured_share : others;
    case demand::burst:
        return entry == entries - 1 && second % 4 == 0 ? offered * favoured_share : 0;
    }
    return 0;
}

auto print_row(demand shape, std::size_t entries, int seeds, milliseconds report_age) -> void
{
    auto calls = std::size_t{0};
    auto refused = std::size_t{0};
    auto half_free = std::size_t{0};
    auto used = 0.0;
    auto slowest = milliseconds{0};
    for (auto seed = 1; seed <= seeds; ++seed) {
        auto settings = fleet_settings{};
        settings.entries = entries;
        settings.engine = small_engine();
        settings.seed = static_cast<std::uint64_t>(seed);
        settings.report_age = report_age;
        settings.calls_per_second = [&](std::size_t entry, milliseconds at) {
            return calls_per_second(shape, entries, entry, at);
        };
        auto const result = simulate(settings);
        calls += result.calls;
        refused += result.refused;
        half_free += result.refused_while_half_free;
        used += result.used_share / seeds;
        slowest = std::max(slowest, result.first_event_percentile(0.99));
    }
    auto const percent = [&](std::size_t count) {
        return 100.0 * static_cast<double>(count) / static_cast<double>(std::max<std::size_t>(1, calls));
    };
    std::printf("| %s | %zu | %zu | %.1f | %.1f | %.2f | %lld |\n", name_of(shape).c_str(), entries, calls,
                percent(refused), percent(half_free), used, static_cast<long long>(slowest.count()));
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try {
        auto options = cxxopts::Options{"share-experiment", "Shares of free slots on a model of the fleet."};
        options.add_options()("seeds", "fleets for each row", cxxopts::value<int>()->default_value("3"))(
            "report-age", "age of the figures in load reports, in ms",
            cxxopts::value<int>()->default_value("0"))("help", "");
        auto const given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        std::printf("| demand | entries | calls | refused, %% | while half of the slots are free, %% | slots "
                    "in use | "
                    "p99 of the first event, ms |\n|---|---|---|---|---|---|---|\n");
        for (auto const shape : demands)
            for (auto const entries : entry_counts)
                print_row(shape, entries, std::max(1, given["seeds"].as<int>()),
                          milliseconds{given["report-age"].as<int>()});
        return 0;
    } catch (std::exception const& problem) {
        std::cerr << "share-experiment: " << problem.what() << "\n";
        return 2;
    }
}
