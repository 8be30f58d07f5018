#pragma once
// Reads one JSON object field by field and collects every mistake with the field's path.
//
//   auto errors = std::vector<std::string>{};
//   auto reader = settings_reader{document, "", errors};
//   settings.name = reader.text("name");
//   settings.port = reader.integer("port", 8080, 1, 65535);
//   auto limits = reader.child("limits");
//   settings.queue = limits.integer("queue", 64, 1, 10000);
//   limits.finish();
//   reader.finish();                       // reports fields that nobody read
//   if (!errors.empty()) ...               // "limits.queue: 0 is below 1"

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/time.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

class settings_reader {
public:
    settings_reader(nlohmann::json const& object, std::string path, std::vector<std::string>& errors);

    // ---- required fields: an absent one is an error
    auto text(std::string_view key) -> std::string;
    auto endpoint_address(std::string_view key) -> address;
    auto addresses(std::string_view key) -> std::vector<address>;
    auto text_map(std::string_view key) -> std::map<std::string, std::string, std::less<>>;

    // ---- fields with a default
    auto text(std::string_view key, std::string_view fallback) -> std::string;
    auto choice(std::string_view key, std::string_view fallback, std::vector<std::string_view> const& allowed)
        -> std::string;
    auto integer(std::string_view key, long long fallback, long long low, long long high) -> long long;
    auto number(std::string_view key, double fallback, double low, double high) -> double;
    auto boolean(std::string_view key, bool fallback) -> bool;
    auto duration(std::string_view key, milliseconds fallback)
        -> milliseconds;                                          // a number of milliseconds >= 0
    auto texts(std::string_view key) -> std::vector<std::string>; // empty when absent
    auto optional_address(std::string_view key) -> address;       // empty when absent
    auto optional_ip(std::string_view key) -> std::string;        // empty when absent

    // An absent child reads as an empty object.
    auto child(std::string_view key) -> settings_reader;

    [[nodiscard]] auto has(std::string_view key) const -> bool;

    // Reports every field that was not read.
    auto finish() -> void;

    auto complain(std::string_view key, std::string_view what) -> void;

private:
    auto find(std::string_view key) -> nlohmann::json const*;
    auto path_of(std::string_view key) const -> std::string;

    nlohmann::json const* object_;
    std::string path_;
    std::vector<std::string>* errors_;
    std::set<std::string, std::less<>> seen_;
};

} // namespace hibiscuswall
