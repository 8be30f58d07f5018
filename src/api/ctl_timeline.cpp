#include "hibiscuswall/api/ctl_timeline.hpp"

#include "timeline_format.hpp"

namespace hibiscuswall {

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

} // namespace hibiscuswall
