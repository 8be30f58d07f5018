// Compares settings of weight transfers on the model of the swarm.
//
//   swarm-experiment --seeds 5 --outage            a table: when agents are whole, copies from the origin
//   swarm-experiment --outage --svg FILE           and a plot of the share of whole agents over time
//
// --outage: the origin is away from 2.5 s to 8.5 s after the naming, and 30 % of the agents are cut off from
// 0.5 s to 8.5 s. Without it nothing fails.
#include "models/line_plot.hpp"
#include "models/swarm_model.hpp"

#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iostream>

using namespace hibiscuswall;
using namespace hibiscuswall::models;

namespace {

constexpr auto outage_begin = milliseconds{2'500};
constexpr auto outage_end = milliseconds{8'500};
constexpr auto cut_begin = milliseconds{500};
constexpr auto cut_share = 0.3;

struct variant {
    std::string label;
    std::function<void(swarm_settings&)> change;
};

auto variants() -> std::vector<variant>
{
    auto const fetchers = [](std::size_t count) {
        return [count](swarm_settings& settings) { settings.source_fetchers = count; };
    };
    return {
        {"as agents do: 6 fetch from the origin, help each other", [](swarm_settings&) {}},
        {"6, without help", [](swarm_settings& settings) { settings.plan.helps_source_fetchers = false; }},
        {"2", fetchers(2)},
        {"4", fetchers(4)},
        {"12", fetchers(12)},
    };
}

auto with_outage(swarm_settings settings) -> swarm_settings
{
    settings.origin_away = {outage_begin, outage_end};
    settings.cut = {cut_begin, outage_end};
    settings.cut_share = cut_share;
    return settings;
}

auto seconds_of(milliseconds span) -> double { return std::chrono::duration<double>(span).count(); }

// Smallest and largest over the seeds.
struct range {
    double min = 0;
    double max = 0;
};

auto range_of(std::vector<swarm_result> const& results, std::function<double(swarm_result const&)> const& of)
    -> range
{
    auto values = std::vector<double>{};
    for (auto const& each : results)
        values.push_back(of(each));
    auto const [min, max] = std::minmax_element(values.begin(), values.end());
    return {*min, *max};
}

// Whether all chunks had left the origin when its outage begins.
auto is_out_in_time(swarm_result const& result, std::size_t chunks) -> bool
{
    return result.known_at.size() == chunks && result.known_at.back() < outage_begin;
}

auto print_row(std::string const& label, std::vector<swarm_result> const& results) -> void
{
    auto const whole = [](double share) {
        return [share](swarm_result const& each) { return seconds_of(each.whole_share_at(share)); };
    };
    auto const copies = [](swarm_result const& each) { return each.origin_copies; };
    auto const out = std::count_if(results.begin(), results.end(), [](swarm_result const& each) {
        return is_out_in_time(each, swarm_settings{}.chunks);
    });
    std::printf("| %s | %td of %zu |", label.c_str(), out, results.size());
    for (auto const& column : {range_of(results, whole(1e-9)), range_of(results, whole(0.5)),
                               range_of(results, whole(1)), range_of(results, copies)})
        std::printf(" %.3g to %.3g |", column.min, column.max);
    std::printf("\n");
}

auto curve(std::string const& label, swarm_result const& result) -> plot_series
{
    auto series = plot_series{label, {}};
    for (auto i = std::size_t{0}; i < result.whole_at.size(); ++i)
        series.points.push_back({seconds_of(result.whole_at[i]),
                                 static_cast<double>(i + 1) / static_cast<double>(result.agents)});
    return series;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try {
        auto options = cxxopts::Options{"swarm-experiment", "Weight transfers on a model of the swarm."};
        options.add_options()("seeds", "fleets modelled for each row",
                              cxxopts::value<int>()->default_value("3"))(
            "outage", "the origin is away, 30 % of the agents are cut off")(
            "svg", "write a plot of the first seed to this file", cxxopts::value<std::string>())("help", "");
        auto const given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        auto plot =
            line_plot{"Agents that hold the whole version, in the model", "s after the naming", "share"};
        if (given.count("outage") > 0) plot.marks = {seconds_of(outage_begin), seconds_of(outage_end)};
        std::printf(
            "| fetching from the origin | all chunks out by 2.5 s | first whole, s | half, s | last, s | "
            "origin copies |\n|---|---|---|---|---|---|\n");
        for (auto const& each : variants()) {
            auto results = std::vector<swarm_result>{};
            for (auto seed = 1; seed <= std::max(1, given["seeds"].as<int>()); ++seed) {
                auto settings = swarm_settings{};
                settings.plan = agent_plan_settings();
                settings.seed = static_cast<std::uint64_t>(seed);
                if (given.count("outage") > 0) settings = with_outage(settings);
                each.change(settings);
                results.push_back(simulate(settings));
            }
            print_row(each.label, results);
            plot.series.push_back(curve(each.label, results.front()));
        }
        if (given.count("svg") > 0) std::ofstream{given["svg"].as<std::string>()} << to_svg(plot);
        return 0;
    } catch (std::exception const& problem) {
        std::cerr << "swarm-experiment: " << problem.what() << "\n";
        return 2;
    }
}
