#include "timeline_format.hpp"

#include <cstdio>
#include <ctime>

namespace hibiscuswall {

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

auto unreachable_text(nlohmann::json const& body) -> std::string
{
    auto text = std::string{};
    for (auto const& name : body.value("unreachable", nlohmann::json::array()))
        text += (text.empty() ? "" : ", ") + name.get<std::string>();
    return text;
}

} // namespace hibiscuswall
