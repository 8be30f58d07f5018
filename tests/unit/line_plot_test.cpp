// Plots of the models' results.
#include "models/line_plot.hpp"

#include <cmath>
#include <limits>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall::models;

namespace {

auto plot_of(std::vector<plot_point> points) -> std::string
{
    auto plot = line_plot{"title", "x", "y"};
    plot.series.push_back({"a < b & \"c\"", std::move(points)});
    return to_svg(plot);
}

auto contains(std::string const& text, std::string_view part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(line_plot){};

// Guards against labels that no one reads: 0, 0.37, 0.74.
TEST(line_plot, axes_are_labelled_in_round_steps)
{
    for (auto const max : {0.003, 0.9, 1.0, 7.9, 11.0, 60.0, 2'345.0}) {
        auto const distance = label_distance(max);
        CHECK(max / distance <= 8);
        CHECK(max / distance > 3);
        auto const mantissa = distance / std::pow(10, std::floor(std::log10(distance) + 1e-9));
        CHECK(std::abs(mantissa - 1) < 1e-6 || std::abs(mantissa - 2) < 1e-6 ||
              std::abs(mantissa - 5) < 1e-6);
    }
    DOUBLES_EQUAL(1, label_distance(0), 0);
    DOUBLES_EQUAL(1, label_distance(std::numeric_limits<double>::infinity()), 0);
}

// Guards against a label that breaks the file.
TEST(line_plot, text_is_escaped)
{
    auto const svg = plot_of({{0, 0}, {1, 1}});
    CHECK(contains(svg, "a &lt; b &amp; &quot;c&quot;"));
    CHECK_FALSE(contains(svg, "a < b"));
}

// Guards against a file that no viewer opens because one run gave no figure.
TEST(line_plot, points_that_are_not_finite_are_left_out)
{
    auto const infinite = std::numeric_limits<double>::infinity();
    auto const svg = plot_of({{0, 0}, {1, std::nan("")}, {infinite, 1}, {2, 1}});
    CHECK_FALSE(contains(svg, "nan"));
    CHECK_FALSE(contains(svg, "inf"));
    CHECK(contains(plot_of({}), "</svg>"));
}
