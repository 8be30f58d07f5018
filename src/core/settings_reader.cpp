#include "hibiscuswall/core/settings_reader.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

auto empty_object() -> nlohmann::json const&
{
    static auto const object = nlohmann::json::object();
    return object;
}

} // namespace

settings_reader::settings_reader(nlohmann::json const& object, std::string path,
                                 std::vector<std::string>& errors)
    : object_{&object}, path_{std::move(path)}, errors_{&errors}
{
    if (object_->is_object()) return;
    errors_->push_back((path_.empty() ? std::string{"(root)"} : path_) + ": must be an object");
    object_ = &empty_object();
}

auto settings_reader::find(std::string_view key) -> nlohmann::json const*
{
    seen_.emplace(key);
    auto const found = object_->find(std::string{key});
    return found == object_->end() ? nullptr : &*found;
}

auto settings_reader::has(std::string_view key) const -> bool { return object_->contains(std::string{key}); }

auto settings_reader::path_of(std::string_view key) const -> std::string
{
    return path_.empty() ? std::string{key} : path_ + "." + std::string{key};
}

auto settings_reader::complain(std::string_view key, std::string_view what) -> void
{
    errors_->push_back(path_of(key) + ": " + std::string{what});
}

auto settings_reader::text(std::string_view key) -> std::string
{
    if (!has(key)) {
        seen_.emplace(key);
        complain(key, "is required");
        return {};
    }
    auto value = text(key, "");
    if (value.empty()) complain(key, "must be a non-empty string");
    return value;
}

auto settings_reader::text(std::string_view key, std::string_view fallback) -> std::string
{
    auto const* value = find(key);
    if (value == nullptr) return std::string{fallback};
    if (value->is_string()) return value->get<std::string>();
    complain(key, "must be a string");
    return std::string{fallback};
}

auto settings_reader::choice(std::string_view key, std::string_view fallback,
                             std::vector<std::string_view> const& allowed) -> std::string
{
    auto value = text(key, fallback);
    if (std::find(allowed.begin(), allowed.end(), value) != allowed.end()) return value;
    auto list = std::string{};
    for (auto const option : allowed)
        list += (list.empty() ? "" : ", ") + std::string{option};
    complain(key, "\"" + value + "\" is not one of " + list);
    return std::string{fallback};
}

auto settings_reader::integer(std::string_view key, long long fallback, long long low, long long high)
    -> long long
{
    auto const* value = find(key);
    if (value == nullptr) return fallback;
    if (!value->is_number_integer()) {
        complain(key, "must be an integer");
        return fallback;
    }
    auto const given = value->get<long long>();
    if (given < low) complain(key, std::to_string(given) + " is below " + std::to_string(low));
    if (given > high) complain(key, std::to_string(given) + " is above " + std::to_string(high));
    return std::clamp(given, low, high);
}

auto settings_reader::number(std::string_view key, double fallback, double low, double high) -> double
{
    auto const* value = find(key);
    if (value == nullptr) return fallback;
    if (!value->is_number()) {
        complain(key, "must be a number");
        return fallback;
    }
    auto const given = value->get<double>();
    if (given < low || given > high)
        complain(key, "must be between " + std::to_string(low) + " and " + std::to_string(high));
    return std::clamp(given, low, high);
}

auto settings_reader::boolean(std::string_view key, bool fallback) -> bool
{
    auto const* value = find(key);
    if (value == nullptr) return fallback;
    if (value->is_boolean()) return value->get<bool>();
    complain(key, "must be true or false");
    return fallback;
}

auto settings_reader::duration(std::string_view key, milliseconds fallback) -> milliseconds
{
    constexpr auto one_day_ms = 86'400'000LL;
    return milliseconds{integer(key, fallback.count(), 0, one_day_ms)};
}

auto settings_reader::texts(std::string_view key) -> std::vector<std::string>
{
    auto list = std::vector<std::string>{};
    auto const* value = find(key);
    if (value == nullptr) return list;
    if (!value->is_array()) {
        complain(key, "must be a list of strings");
        return list;
    }
    for (auto const& item : *value) {
        if (item.is_string())
            list.push_back(item.get<std::string>());
        else
            complain(key, "must hold only strings");
    }
    return list;
}

auto settings_reader::endpoint_address(std::string_view key) -> address
{
    if (!has(key)) {
        seen_.emplace(key);
        complain(key, "is required");
        return {};
    }
    return optional_address(key);
}

auto settings_reader::optional_address(std::string_view key) -> address
{
    if (!has(key)) {
        seen_.emplace(key);
        return {};
    }
    auto parsed = parse_address(text(key, ""));
    if (parsed) return parsed.value();
    complain(key, parsed.error().message);
    return {};
}

auto settings_reader::optional_ip(std::string_view key) -> std::string
{
    auto ip = text(key, "");
    auto code = boost::system::error_code{};
    if (!ip.empty()) boost::asio::ip::make_address(ip, code);
    if (!code) return ip;
    complain(key, "\"" + ip + "\" is not an IP number");
    return {};
}

auto settings_reader::addresses(std::string_view key) -> std::vector<address>
{
    auto list = std::vector<address>{};
    for (auto const& item : texts(key)) {
        auto parsed = parse_address(item);
        if (parsed)
            list.push_back(parsed.value());
        else
            complain(key, parsed.error().message);
    }
    if (list.empty()) complain(key, "needs at least one ip:port");
    return list;
}

auto settings_reader::text_map(std::string_view key) -> std::map<std::string, std::string, std::less<>>
{
    auto texts = std::map<std::string, std::string, std::less<>>{};
    auto const* found = find(key);
    if (found == nullptr || !found->is_object()) {
        complain(key, "an object of texts is required");
        return texts;
    }
    for (auto const& [name, value] : found->items()) {
        if (value.is_string())
            texts[name] = value.get<std::string>();
        else
            complain(key, "the value of " + name + " is no text");
    }
    return texts;
}

auto settings_reader::child(std::string_view key) -> settings_reader
{
    auto const* value = find(key);
    return {value == nullptr ? empty_object() : *value, path_of(key), *errors_};
}

auto settings_reader::finish() -> void
{
    for (auto const& [key, value] : object_->items())
        if (!seen_.contains(key)) complain(key, "unknown field");
}

} // namespace hibiscuswall
