#include "hibiscuswall/http/http_message.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace hibiscuswall {
namespace {

// Header names are ASCII: a comparison by locale took half of a request's instructions.
template<class List>
auto find_header(List& list, std::string_view name)
{
    return std::find_if(list.begin(), list.end(),
                        [&](auto const& header) { return boost::beast::iequals(header.name, name); });
}

// The raw value of a query key, or nothing.
auto raw_query(std::string_view target, std::string_view key) -> std::pair<bool, std::string_view>
{
    auto const mark = target.find('?');
    if (mark == std::string_view::npos) return {false, {}};
    auto rest = target.substr(mark + 1);
    while (!rest.empty()) {
        auto const end = std::min(rest.find('&'), rest.size());
        auto const pair = rest.substr(0, end);
        auto const equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == key)
            return {true, equals < pair.size() ? pair.substr(equals + 1) : std::string_view{}};
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {false, {}};
}

} // namespace

auto http_headers::find(std::string_view name) const -> std::string_view
{
    auto const found = find_header(list_, name);
    return found == list_.end() ? std::string_view{} : std::string_view{found->value};
}

auto http_headers::contains(std::string_view name) const -> bool
{
    return find_header(list_, name) != list_.end();
}

auto http_headers::number(std::string_view name, long long fallback) const -> long long
{
    auto const text = find(name);
    auto value = 0LL;
    auto const [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    return status == std::errc{} && end == text.data() + text.size() ? value : fallback;
}

auto http_headers::add(std::string_view name, std::string_view value) -> void
{
    list_.push_back({std::string{name}, std::string{value}});
}

auto http_headers::set(std::string_view name, std::string_view value) -> void
{
    auto const found = find_header(list_, name);
    if (found == list_.end())
        list_.push_back({std::string{name}, std::string{value}});
    else
        found->value = value;
}

auto http_request::path() const -> std::string_view
{
    return std::string_view{target}.substr(0, target.find('?'));
}

auto http_request::query(std::string_view key) const -> std::string
{
    return percent_decode(raw_query(target, key).second);
}

auto http_request::has_query(std::string_view key) const -> bool { return raw_query(target, key).first; }

auto json_response(int status, std::string body) -> http_response
{
    auto response = http_response{status, {}, std::move(body)};
    response.headers.set("Content-Type", "application/json");
    return response;
}

auto percent_encode(std::string_view text) -> std::string
{
    constexpr auto digits = std::string_view{"0123456789ABCDEF"};
    auto encoded = std::string{};
    for (auto const c : text) {
        auto const byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || std::string_view{"-._~/"}.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

auto percent_decode(std::string_view text) -> std::string
{
    auto decoded = std::string{};
    for (auto i = std::size_t{0}; i < text.size(); ++i) {
        auto byte = 0U;
        auto const* first = text.data() + i + 1;
        auto const whole = text[i] == '%' && i + 2 < text.size() &&
                           std::from_chars(first, first + 2, byte, 16).ptr == first + 2;
        if (whole) {
            decoded += static_cast<char>(byte);
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

} // namespace hibiscuswall
