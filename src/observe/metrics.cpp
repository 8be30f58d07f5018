#include "hibiscuswall/observe/metrics.hpp"

#include <boost/histogram.hpp>

#include <cstdio>
#include <map>

namespace hibiscuswall {
namespace {

namespace bh = boost::histogram;

constexpr auto bucket_count = 40U; // five a decade
constexpr auto lowest_seconds = 1e-5;
constexpr auto highest_seconds = 1e3;

auto make_latency_histogram()
{
    return bh::make_histogram(
        bh::axis::regular<double, bh::axis::transform::log>{bucket_count, lowest_seconds, highest_seconds});
}
using latency_histogram = decltype(make_latency_histogram());

struct histogram_series {
    latency_histogram buckets = make_latency_histogram();
    double sum = 0;
    std::size_t total = 0;
};

auto render_labels(metric_labels labels) -> std::string
{
    auto text = std::string{};
    for (auto const& [key, value] : labels) {
        text += text.empty() ? "" : ",";
        text += std::string{key} + "=\"" + std::string{value} + "\"";
    }
    return text;
}

auto number_text(double value) -> std::string
{
    char text[32];
    std::snprintf(text, sizeof text, "%.9g", value);
    return text;
}

auto append_line(std::string& page, std::string const& name, std::string const& labels, double value) -> void
{
    page +=
        "hibiscuswall_" + name + (labels.empty() ? "" : "{" + labels + "}") + " " + number_text(value) + "\n";
}

using series_key = std::pair<std::string, std::string>; // name, rendered labels

} // namespace

struct metrics::state {
    std::map<series_key, double> counters;
    std::map<series_key, double> gauges;
    std::map<series_key, histogram_series> histograms;
};

metrics::metrics() : state_{std::make_unique<state>()} {}
metrics::~metrics() = default;

auto metrics::count(std::string_view name, metric_labels labels, double amount) -> void
{
    state_->counters[{std::string{name}, render_labels(labels)}] += amount;
}

auto metrics::set(std::string_view name, metric_labels labels, double value) -> void
{
    state_->gauges[{std::string{name}, render_labels(labels)}] = value;
}

auto metrics::observe(std::string_view name, metric_labels labels, double value_seconds) -> void
{
    auto& series = state_->histograms[{std::string{name}, render_labels(labels)}];
    series.buckets(value_seconds);
    series.sum += value_seconds;
    ++series.total;
}

auto metrics::value(std::string_view name, metric_labels labels) const -> double
{
    auto const key = series_key{std::string{name}, render_labels(labels)};
    if (auto const found = state_->counters.find(key); found != state_->counters.end()) return found->second;
    if (auto const found = state_->gauges.find(key); found != state_->gauges.end()) return found->second;
    return 0;
}

auto metrics::text() const -> std::string
{
    auto page = std::string{};
    auto described = std::string{};
    auto const describe_type = [&](std::string const& name, std::string_view type) {
        if (described == name) return;
        described = name;
        page += "# TYPE hibiscuswall_" + name + " " + std::string{type} + "\n";
    };
    for (auto const& [key, value] : state_->counters) {
        describe_type(key.first, "counter");
        append_line(page, key.first, key.second, value);
    }
    for (auto const& [key, value] : state_->gauges) {
        describe_type(key.first, "gauge");
        append_line(page, key.first, key.second, value);
    }
    for (auto const& [key, series] : state_->histograms) {
        describe_type(key.first, "histogram");
        auto const separator = key.second.empty() ? std::string{} : key.second + ",";
        auto const& axis = series.buckets.axis();
        auto cumulative = static_cast<double>(series.buckets.at(-1)); // underflow belongs to the first bucket
        for (auto i = 0; i < axis.size(); ++i) {
            cumulative += static_cast<double>(series.buckets.at(i));
            append_line(page, key.first + "_bucket",
                        separator + "le=\"" + number_text(axis.value(i + 1)) + "\"", cumulative);
        }
        append_line(page, key.first + "_bucket", separator + "le=\"+Inf\"",
                    static_cast<double>(series.total));
        append_line(page, key.first + "_sum", key.second, series.sum);
        append_line(page, key.first + "_count", key.second, static_cast<double>(series.total));
    }
    return page;
}

} // namespace hibiscuswall
