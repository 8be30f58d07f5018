#include "hibiscuswall/api/timeline_page.hpp"

#include "timeline_format.hpp"

#include <map>

namespace hibiscuswall {
namespace {

// ---- layout of the lanes, in SVG units

constexpr auto lane_height = 18;
constexpr auto name_width = 150;
constexpr auto dot_radius = 4;
constexpr auto least_step = 3; // between two dots of one lane
constexpr auto lane_width = 1'100;

constexpr auto page_head = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>hibiscuswall time line</title>
<style>
body { font: 14px/1.4 system-ui, sans-serif; margin: 1.5rem; color: #222; background: #fff; }
input { font: inherit; padding: .3rem .5rem; width: 24rem; }
.lanes { overflow-x: auto; margin-top: 1rem; }
svg text { font: 12px system-ui, sans-serif; }
circle { cursor: pointer; }
circle.other { opacity: .12; }
table { border-collapse: collapse; margin-top: 1rem; }
th, td { text-align: left; padding: .15rem .8rem .15rem 0; vertical-align: top; white-space: nowrap; }
td:last-child { white-space: normal; font-family: monospace; }
tr:nth-child(even) td { background: #f5f5f5; }
tr.chosen td { background: #ffe9b0; }
</style></head><body>
<h1>Time line</h1>
<label>Filter <input id="filter" placeholder="process, event or field"></label>
<span id="shown"></span>
)";

constexpr auto page_end = R"(<script>
const rows = Array.from(document.querySelectorAll('tbody tr'));
const dots = Array.from(document.querySelectorAll('circle'));
const field = document.getElementById('filter');
function filter() {
  const wanted = field.value.toLowerCase();
  let shown = 0;
  rows.forEach((row, i) => {
    row.hidden = !row.textContent.toLowerCase().includes(wanted);
    dots[i].classList.toggle('other', row.hidden);
    if (!row.hidden) ++shown;
  });
  document.getElementById('shown').textContent = shown + ' of ' + rows.length + ' events';
}
field.addEventListener('input', filter);
dots.forEach((dot, i) => dot.addEventListener('click', () => {
  rows.forEach((row, j) => row.classList.toggle('chosen', i === j));
  if (rows[i].hidden) { field.value = ''; filter(); }
  rows[i].scrollIntoView({block: 'center'});
}));
filter();
</script></body></html>
)";

auto escaped(std::string_view text) -> std::string
{
    auto safe = std::string{};
    for (auto const c : text) {
        if (c == '&')
            safe += "&amp;";
        else if (c == '<')
            safe += "&lt;";
        else if (c == '>')
            safe += "&gt;";
        else if (c == '"')
            safe += "&quot;";
        else
            safe += c;
    }
    return safe;
}

// Events of one kind have one colour on every page.
auto colour_of(std::string_view event) -> std::string
{
    auto sum = 0U;
    for (auto const c : event)
        sum = sum * 31 + static_cast<unsigned char>(c);
    return "hsl(" + std::to_string(sum % 360) + ",65%,42%)";
}

auto lanes_of(nlohmann::json const& events) -> std::map<std::string, int>
{
    auto lanes = std::map<std::string, int>{};
    for (auto const& event : events)
        lanes.emplace(event.value("process", ""), 0);
    auto number = 0;
    for (auto& [process, lane] : lanes)
        lane = number++;
    return lanes;
}

auto lane_line(std::string const& process, int lane, int width) -> std::string
{
    auto const middle = std::to_string(lane * lane_height + lane_height / 2);
    return "<text x=\"0\" y=\"" + middle + "\" dominant-baseline=\"middle\">" + escaped(process) +
           "</text><line x1=\"" + std::to_string(name_width) + "\" x2=\"" + std::to_string(width) +
           "\" y1=\"" + middle + "\" y2=\"" + middle + "\" stroke=\"#ddd\"/>\n";
}

auto dot(nlohmann::json const& event, int x, int lane) -> std::string
{
    auto const name = event.value("event", "");
    auto const title = time_text(event.value("wall_ms", 0LL)) + " " + name + " " + fields_text(event);
    return "<circle cx=\"" + std::to_string(x) + "\" cy=\"" +
           std::to_string(lane * lane_height + lane_height / 2) + "\" r=\"" + std::to_string(dot_radius) +
           "\" fill=\"" + colour_of(name) + "\"><title>" + escaped(title) + "</title></circle>\n";
}

// The horizontal place is the event's rank in causal order, not its time: clocks of hosts differ.
auto lanes_picture(nlohmann::json const& events) -> std::string
{
    auto const lanes = lanes_of(events);
    auto const count = static_cast<int>(events.size());
    auto const span = std::max(lane_width, count * least_step);
    auto const width = name_width + span + 2 * dot_radius;
    auto const height = static_cast<int>(lanes.size()) * lane_height;
    auto picture = "<div class=\"lanes\"><svg width=\"" + std::to_string(width) + "\" height=\"" +
                   std::to_string(height) + "\">\n";
    for (auto const& [process, lane] : lanes)
        picture += lane_line(process, lane, width);
    auto rank = 0;
    for (auto const& event : events) {
        auto const x = name_width + dot_radius + rank * span / std::max(1, count);
        picture += dot(event, x, lanes.at(event.value("process", "")));
        ++rank;
    }
    return picture + "</svg></div>\n";
}

auto table_row(nlohmann::json const& event) -> std::string
{
    return "<tr><td>" + time_text(event.value("wall_ms", 0LL)) + "</td><td>" +
           std::to_string(event.value("counter", std::uint64_t{0})) + "</td><td>" +
           escaped(event.value("process", "")) + "</td><td>" + escaped(event.value("event", "")) +
           "</td><td>" + escaped(fields_text(event)) + "</td></tr>\n";
}

} // namespace

auto timeline_page(nlohmann::json const& body) -> std::string
{
    auto const events = body.value("events", nlohmann::json::array());
    auto page = std::string{page_head};
    if (auto const missing = unreachable_text(body); !missing.empty())
        page += "<p>No answer from: " + escaped(missing) + "</p>\n";
    page += lanes_picture(events);
    page += "<table><thead><tr><th>time (UTC)</th><th>order</th><th>process</th><th>event</th><th>fields</th>"
            "</tr></thead><tbody>\n";
    for (auto const& event : events)
        page += table_row(event);
    return page + "</tbody></table>\n" + page_end;
}

} // namespace hibiscuswall
