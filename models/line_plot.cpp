#include "models/line_plot.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <string_view>

namespace hibiscuswall::models {
namespace {

// Pixels.
constexpr auto width = 720.0;
constexpr auto height = 400.0;
constexpr auto left = 60.0;
constexpr auto right = 20.0;
constexpr auto top = 40.0;
constexpr auto bottom = 50.0;
constexpr auto legend_line = 18.0;

constexpr auto max_labels = 8.0;
constexpr auto colours =
    std::array<std::string_view, 6>{"#1b6ca8", "#c8553d", "#3c8d5a", "#8e5ea2", "#a07800", "#555555"};
constexpr auto dashes = std::array<std::string_view, 3>{"none", "7 3", "2 3"};

auto number(double value) -> std::string
{
    auto text = std::array<char, 32>{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return text.data();
}

auto pixels(double value) -> std::string
{
    auto text = std::array<char, 32>{};
    std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

auto escaped(std::string_view text) -> std::string
{
    auto result = std::string{};
    for (auto const each : text) {
        if (each == '&')
            result += "&amp;";
        else if (each == '<')
            result += "&lt;";
        else if (each == '>')
            result += "&gt;";
        else if (each == '"')
            result += "&quot;";
        else
            result += each;
    }
    return result;
}

auto is_finite(plot_point const& point) -> bool { return std::isfinite(point.x) && std::isfinite(point.y); }

// Maps values to pixels.
struct axis {
    double max = 1;
    double distance = 1; // between labels
    double first_pixel = 0;
    double last_pixel = 0;

    [[nodiscard]] auto at(double value) const -> double
    {
        return first_pixel + (last_pixel - first_pixel) * value / max;
    }
};

auto make_axis(double max, double first_pixel, double last_pixel) -> axis
{
    auto const distance = label_distance(max);
    auto const labels = std::max(1.0, std::ceil(max / distance - 1e-9));
    return {labels * distance, distance, first_pixel, last_pixel};
}

auto text_at(double x, double y, std::string_view anchor, std::string_view text) -> std::string
{
    return "<text x=\"" + pixels(x) + "\" y=\"" + pixels(y) + "\" text-anchor=\"" + std::string{anchor} +
           "\">" + escaped(text) + "</text>\n";
}

auto line(double x1, double y1, double x2, double y2, std::string_view colour) -> std::string
{
    return "<line x1=\"" + pixels(x1) + "\" y1=\"" + pixels(y1) + "\" x2=\"" + pixels(x2) + "\" y2=\"" +
           pixels(y2) + "\" stroke=\"" + std::string{colour} + "\"/>\n";
}

auto labelled_axes(axis const& x, axis const& y) -> std::string
{
    auto svg = std::string{};
    for (auto i = 0; i <= std::lround(x.max / x.distance); ++i) {
        auto const at = x.at(i * x.distance);
        svg += line(at, height - bottom, at, height - bottom + 4, "black");
        svg += text_at(at, height - bottom + 17, "middle", number(i * x.distance));
    }
    for (auto i = 0; i <= std::lround(y.max / y.distance); ++i) {
        auto const at = y.at(i * y.distance);
        svg += line(left, at, width - right, at, i == 0 ? "black" : "#dddddd");
        svg += text_at(left - 6, at + 4, "end", number(i * y.distance));
    }
    return svg + line(left, top, left, height - bottom, "black");
}

auto stroke(std::size_t index) -> std::string
{
    return " stroke=\"" + std::string{colours[index % colours.size()]} + "\" stroke-dasharray=\"" +
           std::string{dashes[index % dashes.size()]} + "\" stroke-width=\"2\" fill=\"none\"/>\n";
}

auto curve(plot_series const& series, std::size_t index, axis const& x, axis const& y) -> std::string
{
    auto points = std::string{};
    for (auto const& point : series.points)
        if (is_finite(point)) points += pixels(x.at(point.x)) + "," + pixels(y.at(point.y)) + " ";
    auto const legend_y = top + legend_line * static_cast<double>(index + 1);
    auto const key = "<polyline points=\"" + pixels(left + 12) + "," + pixels(legend_y - 4) + " " +
                     pixels(left + 40) + "," + pixels(legend_y - 4) + "\"";
    return "<polyline points=\"" + points + "\"" + stroke(index) + key + stroke(index) +
           text_at(left + 46, legend_y, "start", series.label);
}

} // namespace

auto label_distance(double max) -> double
{
    if (!(max > 0) || !std::isfinite(max)) return 1;
    auto const power = std::pow(10.0, std::floor(std::log10(max / max_labels)));
    for (auto const factor : {1.0, 2.0, 5.0})
        if (max / (factor * power) <= max_labels) return factor * power;
    return 10 * power;
}

auto to_svg(line_plot const& plot) -> std::string
{
    auto max_x = 0.0;
    auto max_y = 0.0;
    for (auto const& series : plot.series)
        for (auto const& point : series.points) {
            if (!is_finite(point)) continue;
            max_x = std::max(max_x, point.x);
            max_y = std::max(max_y, point.y);
        }
    auto const x = make_axis(max_x, left, width - right);
    auto const y = make_axis(max_y, height - bottom, top);
    auto svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " + number(width) + " " +
               number(height) + "\" font-family=\"sans-serif\" font-size=\"12\">\n" +
               "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n" + labelled_axes(x, y);
    for (auto const mark : plot.marks)
        if (mark <= x.max) svg += line(x.at(mark), top, x.at(mark), height - bottom, "#999999");
    for (auto i = std::size_t{0}; i < plot.series.size(); ++i)
        svg += curve(plot.series[i], i, x, y);
    svg += text_at(left, top - 16, "start", plot.title);
    svg += text_at((left + width - right) / 2, height - 12, "middle", plot.x_label);
    svg += text_at(6, top - 2, "start", plot.y_label);
    return svg + "</svg>\n";
}

} // namespace hibiscuswall::models
