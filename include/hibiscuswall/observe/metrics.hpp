#pragma once
// Counters, gauges and latency histograms (Boost.Histogram), rendered in the Prometheus text format.
//
//   metrics_registry.count("calls_total", {{"class", "booking"}});
//   metrics_registry.set("in_flight", {}, 3);
//   metrics_registry.observe("call_seconds", {{"class", "status"}}, 0.012);
//   auto page = metrics_registry.text();
//
// Names are rendered with the prefix "hibiscuswall_". Used from the network thread only.

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace hibiscuswall {

using metric_labels = std::initializer_list<std::pair<std::string_view, std::string_view>>;

class metrics {
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    auto operator=(metrics const&) -> metrics& = delete;

    auto count(std::string_view name, metric_labels labels = {}, double amount = 1) -> void;
    auto set(std::string_view name, metric_labels labels, double value) -> void;
    auto observe(std::string_view name, metric_labels labels, double value_seconds)
        -> void; // 10 us to 1000 s

    // Current value of a counter or gauge; 0 when it was never touched.
    [[nodiscard]] auto value(std::string_view name, metric_labels labels = {}) const -> double;

    [[nodiscard]] auto text() const -> std::string;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace hibiscuswall
