#include "hibiscuswall/core/json_file.hpp"

#include <fstream>

namespace hibiscuswall {

auto read_json_file(std::string const& path) -> result<nlohmann::json>
{
    auto file = std::ifstream{path};
    if (!file) return fail(result_code::settings_unreadable, path + ": cannot be read");
    try {
        return nlohmann::json::parse(file);
    } catch (nlohmann::json::parse_error const& problem) {
        return fail(result_code::settings_unreadable, path + ": " + problem.what());
    }
}

} // namespace hibiscuswall
