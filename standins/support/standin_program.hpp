#pragma once
// What every stand-in shares: command line, one listener, JSON answers, and an end on SIGTERM or SIGINT.
//
//   auto program = standin_program{"standin-kv", "key-value service"};
//   program.options().add_options()("lease-check-ms", "...", cxxopts::value<int>()->default_value("50"));
//   if (auto code = program.parse(argc, argv)) return *code;
//   program.add("GET", "/v1/stats", [&](http_request const&, http_responder& out) { ... });
//   return program.run();
//
// Stand-ins serve tests and the demo only; docs/platform.md describes their interfaces.

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/http/http_client.hpp"
#include "hibiscuswall/http/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <optional>
#include <string>

namespace hibiscuswall {

class standin_program {
public:
    static constexpr auto request_body_bytes = std::size_t{4 * 1024 * 1024}; // larger requests are cut off

    // http_option names the option with the address of the HTTP listener.
    standin_program(std::string name, std::string const& purpose, std::string http_option = "listen")
        : name_{std::move(name)}, http_option_{std::move(http_option)}, options_{name_, purpose}
    {
        options_.add_options()(http_option_, "ip:port", cxxopts::value<std::string>())(
            "seed", "seed of the random generator",
            cxxopts::value<std::uint64_t>()->default_value("1"))("help", "print this help");
    }

    [[nodiscard]] auto options() -> cxxopts::Options& { return options_; }
    [[nodiscard]] auto io() -> asio::io_context& { return io_; }
    [[nodiscard]] auto routes() -> http_router& { return routes_; }
    [[nodiscard]] auto client() -> http_client& { return client_; }
    [[nodiscard]] auto random() -> random_source& { return random_; }
    [[nodiscard]] auto given() const -> cxxopts::ParseResult const& { return given_; }

    template<class T>
    [[nodiscard]] auto value(std::string const& name) const -> T
    {
        return given_[name].template as<T>();
    }

    // An exit code when the program should end now.
    auto parse(int argc, char const* const* argv) -> std::optional<int>
    {
        try {
            given_ = options_.parse(argc, argv);
            if (given_.count("help") > 0) {
                std::cout << options_.help();
                return 0;
            }
            auto where = parse_address(value<std::string>(http_option_));
            if (!where) return usage(where.error().message);
            listen_ = where.value();
            random_ = random_source{value<std::uint64_t>("seed")};
        } catch (std::exception const& problem) {
            return usage(problem.what());
        }
        return std::nullopt;
    }

    auto usage(std::string const& problem) const -> int
    {
        std::cerr << name_ << ": " << problem << '\n';
        return 2;
    }

    auto add(std::string_view method, std::string_view prefix, http_handler handler) -> void
    {
        routes_.add(method, prefix, std::move(handler));
    }

    auto run() -> int
    {
        add("GET", "/readyz",
            [](http_request const& /*request*/, http_responder& out) -> asio::awaitable<void> {
                auto answer = http_response{200, {}, "ready\n"};
                co_await out.send(std::move(answer));
            });
        auto limits = http_server_limits{};
        limits.body_bytes = request_body_bytes;
        auto server = http_server{io_, routes_, nullptr, limits};
        auto bound = server.listen(listen_);
        if (!bound) return usage(bound.error().message);
        auto signals = asio::signal_set{io_, SIGTERM, SIGINT};
        signals.async_wait([this](auto /*code*/, int /*signal*/) { io_.stop(); });
        io_.run();
        return 0;
    }

private:
    std::string name_;
    std::string http_option_;
    cxxopts::Options options_;
    cxxopts::ParseResult given_;
    address listen_;
    asio::io_context io_{1};
    http_client client_{io_, nullptr};
    http_router routes_;
    random_source random_{1};
};

// The JSON object of a request's body; an empty object when it is none.
inline auto body_object(http_request const& request) -> nlohmann::json
{
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    return body.is_object() ? body : nlohmann::json::object();
}

inline auto send_response(http_responder& out, http_response answer) -> asio::awaitable<void>
{
    co_await out.send(std::move(answer));
}

// These take references and are no coroutines: GCC 12 destroys a JSON temporary inside a co_await expression
// twice.
inline auto send_json(http_responder& out, int status, nlohmann::json const& body,
                      http_headers const& more_headers = {}) -> asio::awaitable<void>
{
    auto answer = json_response(status, body.dump());
    for (auto const& header : more_headers.all())
        answer.headers.set(header.name, header.value);
    return send_response(out, std::move(answer));
}

template<class T>
auto send_field(http_responder& out, int status, std::string_view key, T const& value)
    -> asio::awaitable<void>
{
    auto body = nlohmann::json::object();
    body[std::string{key}] = value;
    return send_json(out, status, body);
}

inline auto send_error(http_responder& out, int status, std::string_view message,
                       http_headers const& more_headers = {}) -> asio::awaitable<void>
{
    return send_json(out, status, nlohmann::json{{"error", message}}, more_headers);
}

inline auto send_status(http_responder& out, int status) -> asio::awaitable<void>
{
    auto answer = http_response{status, {}, {}};
    co_await out.send(std::move(answer));
}

// What follows a path prefix, without the query.
inline auto path_after(http_request const& request, std::string_view prefix) -> std::string
{
    auto const path = request.path();
    return path.size() > prefix.size() ? std::string{path.substr(prefix.size())} : std::string{};
}

} // namespace hibiscuswall
