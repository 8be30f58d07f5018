#include "hibiscuswall/api/ctl_timeline.hpp"

#include <cstdio>
#include <ctime>

namespace hibiscuswall {
namespace {

constexpr auto page_head = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>hibiscuswall time line</title>
<style>
body { font: 14px/1.4 system-ui, sans-serif; margin: 1.5rem; color: #222; background: #fff; }
input { font: inherit; padding: .3rem .5rem; width: 24rem; }
table { border-collapse: collapse; margin-top: 1rem; }
th, td { text-align: left; padding: .15rem .8rem .15rem 0; vertical-align: top; white-space: nowrap; }
td:last-child { white-space: normal; font-family: monospace; }
tr:nth-child(even) td { background: #f5f5f5; }
</style></head><body>
<h1>Time line</h1>
<label>Filter <input id="filter" placeholder="process, event or field"></label>
)";

constexpr auto page_end = R"(<script>
const rows = Array.from(document.querySelectorAll('tbody tr'));
document.getElementById('filter').addEventListener('input', e => {
  const wanted = e.target.value.toLowerCase();
  for (const row of rows) row.hidden = !row.textContent.toLowerCase().includes(wanted);
});
</script></body></html>
)";

auto time_text(long long wall_ms) -> std::string
{
    auto const whole = static_cast<std::time_t>(wall_ms / 1'000);
    auto parts = std::tm{};
    gmtime_r(&whole, &parts);
    char text[40];
    auto const used = std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S", &parts);
    std::snprintf(text + used, sizeof text - used, ".%03d", static_cast<int>(wall_ms % 1'000));
    return text;
}

auto fields_text(nlohmann::json const& event) -> std::string
{
    auto text = std::string{};
    auto const fields = event.value("fields", nlohmann::json::object()); // items() does not own its object
    for (auto const& [key, value] : fields.items())
        text += (text.empty() ? "" : " ") + key + "=" +
                (value.is_string() ? value.get<std::string>() : value.dump());
    return text;
}

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

auto unreachable_text(nlohmann::json const& body) -> std::string
{
    auto text = std::string{};
    for (auto const& name : body.value("unreachable", nlohmann::json::array()))
        text += (text.empty() ? "" : ", ") + name.get<std::string>();
    return text;
}

} // namespace

auto timeline_text(nlohmann::json const& body) -> std::string
{
    auto text = std::string{};
    for (auto const& event : body.value("events", nlohmann::json::array()))
        text += time_text(event.value("wall_ms", 0LL)) + "  " +
                std::to_string(event.value("counter", std::uint64_t{0})) + "  " + event.value("process", "") +
                "  " + event.value("event", "") + "  " + fields_text(event) + "\n";
    if (auto const missing = unreachable_text(body); !missing.empty())
        text += "no answer from: " + missing + "\n";
    return text;
}

auto timeline_html(nlohmann::json const& body) -> std::string
{
    auto page = std::string{page_head};
    if (auto const missing = unreachable_text(body); !missing.empty())
        page += "<p>No answer from: " + escaped(missing) + "</p>\n";
    page += "<table><thead><tr><th>time (UTC)</th><th>order</th><th>process</th><th>event</th><th>fields</th>"
            "</tr></thead><tbody>\n";
    for (auto const& event : body.value("events", nlohmann::json::array()))
        page += "<tr><td>" + time_text(event.value("wall_ms", 0LL)) + "</td><td>" +
                std::to_string(event.value("counter", std::uint64_t{0})) + "</td><td>" +
                escaped(event.value("process", "")) + "</td><td>" + escaped(event.value("event", "")) +
                "</td><td>" + escaped(fields_text(event)) + "</td></tr>\n";
    return page + "</tbody></table>\n" + page_end;
}

} // namespace hibiscuswall
