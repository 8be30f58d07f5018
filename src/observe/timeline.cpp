#include "hibiscuswall/observe/timeline.hpp"

#include <nlohmann/json.hpp>

namespace hibiscuswall {

auto timeline::json() const -> std::string
{
    auto list = nlohmann::json::array();
    for (auto const& event : events_) {
        auto fields = nlohmann::json::object();
        for (auto const& [key, value] : event.fields)
            fields[key] = value;
        list.push_back({{"counter", event.counter},
                        {"wall_ms", event.wall_ms},
                        {"event", event.event},
                        {"fields", fields}});
    }
    return nlohmann::json{{"process", process_}, {"events", list}}.dump();
}

} // namespace hibiscuswall
