#pragma once
// Command line and settings file that every daemon shares.
//
//   hibiscus-agent --settings agent.json [--seed N] [--check]
//
//   auto options = parse_daemon_options("hibiscus-agent", argc, argv);
//   if (!options) return exit code of the error;        // message is on standard error
//
// Exit codes: docs/result-codes.md.

#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/core/settings_reader.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

constexpr auto exit_success = 0;
constexpr auto exit_failure = 1;
constexpr auto exit_usage = 2;

struct daemon_options {
    std::string settings_path; // JSON file
    std::uint64_t seed = 0;    // of the process's random_source
    bool check_only = false;   // read and check the settings, then exit
    bool help = false;         // usage was printed
    nlohmann::json settings;   // parsed file
};

// usage_invalid or settings_unreadable.
[[nodiscard]] auto parse_daemon_options(std::string_view program, int argc, char const* const* argv)
    -> result<daemon_options>;

// Where the platform's services are.
struct platform_settings {
    std::vector<address> key_value; // "key_value": ["ip:port", ...]
    address host_list;              // "host_list"
    address weight_store;           // "weight_store"; optional
    address origin;                 // "origin"; optional
    milliseconds timeout{1'000};    // "timeout_ms" of one call
};

[[nodiscard]] auto read_platform_settings(settings_reader reader) -> platform_settings;

struct stop_settings {
    milliseconds balancer_delay{500}; // "balancer_delay_ms": between readiness off and closing the listeners
    milliseconds drain_timeout{60'000}; // "drain_timeout_ms": longest wait for requests in flight
};

[[nodiscard]] auto read_stop_settings(settings_reader reader) -> stop_settings;

// Prints "program: message" and gives exit_usage.
auto report_start_failure(std::string_view program, error const& problem) -> int;

// Prints each mistake as "program: settings.json: path: reason" and gives exit_usage.
auto report_settings_errors(std::string_view program, std::string_view path,
                            std::vector<std::string> const& errors) -> int;

} // namespace hibiscuswall
