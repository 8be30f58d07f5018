#pragma once
// Plots as SVG text, for the pages in docs/. No files, no fonts beyond the viewer's own.
//
//   auto plot = line_plot{"Agents with a whole version", "s after the naming", "share of agents"};
//   plot.series.push_back({"today", {{4.1, 0.01}, {5.2, 0.5}, {6.4, 1.0}}});
//   write(path, to_svg(plot));

#include <string>
#include <vector>

namespace hibiscuswall::models {

struct plot_point {
    double x = 0;
    double y = 0;
};

struct plot_series {
    std::string label;              // shown in the legend
    std::vector<plot_point> points; // ascending in x
};

struct line_plot {
    std::string title;
    std::string x_label;
    std::string y_label;
    std::vector<plot_series> series{};
    std::vector<double> marks{}; // values of x with a vertical line, such as the begin of an outage
};

// The axes begin at 0 and end at a round number at or beyond the largest value. Points that are not finite
// are left out.
[[nodiscard]] auto to_svg(line_plot const& plot) -> std::string;

// Distance between labels of an axis from 0 to max: 1, 2 or 5 times a power of ten, at most 8 labels.
[[nodiscard]] auto label_distance(double max) -> double;

} // namespace hibiscuswall::models
