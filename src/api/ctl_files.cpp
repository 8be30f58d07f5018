#include "hibiscuswall/api/ctl_files.hpp"

#include "hibiscuswall/core/json_file.hpp"

#include <algorithm>
#include <iterator>
#include <map>

namespace hibiscuswall {

auto read_resource_files(std::vector<std::string> const& paths) -> result<std::vector<declared_resource>>
{
    auto declared = std::vector<declared_resource>{};
    auto errors = std::vector<std::string>{};
    auto first_in = std::map<std::string, std::string>{};
    for (auto const& path : paths) {
        auto document = read_json_file(path);
        if (!document) return document.error();
        auto const& content = document.value();
        auto const wrapped = content.is_object() && content.contains("resources");
        auto const& list = wrapped ? content["resources"] : content;
        auto const items = list.is_array() ? list : nlohmann::json::array({list});
        for (auto i = std::size_t{0}; i < items.size(); ++i) {
            auto mistakes = std::vector<std::string>{};
            auto const where = list.is_array() ? "resources[" + std::to_string(i) + "]" : std::string{};
            auto parsed = parse_resource(items[i], where, mistakes);
            std::transform(mistakes.begin(), mistakes.end(), std::back_inserter(errors),
                           [&](std::string const& mistake) { return (path + ": ").append(mistake); });
            if (!parsed) continue;
            auto const [first, added] = first_in.emplace(parsed->key(), path);
            if (!added) errors.push_back(path + ": " + parsed->key() + " is also in " + first->second);
            declared.push_back(std::move(*parsed));
        }
    }
    auto text = std::string{};
    for (auto const& line : errors)
        text += (text.empty() ? "" : "\n") + line;
    if (!errors.empty()) return fail(result_code::resource_invalid, text);
    return declared;
}

} // namespace hibiscuswall
