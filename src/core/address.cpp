#include "hibiscuswall/core/address.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace hibiscuswall {

auto address::text() const -> std::string
{
    auto host = ip.find(':') == std::string::npos ? ip : "[" + ip + "]";
    return host + ":" + std::to_string(port);
}

auto parse_address(std::string_view text) -> result<address>
{
    auto const invalid = [&] {
        return fail(result_code::settings_invalid, "\"" + std::string{text} + "\" is not ip:port");
    };
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos) return invalid();
    auto host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);

    auto port = 0U;
    auto const digits = text.substr(colon + 1);
    auto const [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (status != std::errc{} || end != digits.data() + digits.size() || port == 0 || port > 65535)
        return invalid();

    auto code = boost::system::error_code{};
    boost::asio::ip::make_address(std::string{host}, code);
    if (code) return invalid();
    return address{std::string{host}, static_cast<unsigned short>(port)};
}

} // namespace hibiscuswall
