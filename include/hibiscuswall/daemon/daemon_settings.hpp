#pragma once
// Settings that entry and agent share, and the start-up that both follow.
//
//   auto settings = agent_settings{};
//   auto reader = settings_reader{document, "", errors};
//   read_daemon_settings(reader, settings);      // the shared fields
//   settings.listen = reader.endpoint_address("listen");
//   reader.finish();                             // unknown fields are mistakes

#include "hibiscuswall/config/config_settings.hpp"
#include "hibiscuswall/daemon/daemon_options.hpp"
#include "hibiscuswall/membership/member.hpp"
#include "hibiscuswall/membership/membership_settings.hpp"

#include <functional>
#include <vector>

namespace hibiscuswall {

struct daemon_settings {
    member self;                    // "name", "region", "failure_domain", "advertise"
    std::string connect_from;       // "connect_from": source IP of outgoing connections; optional
    platform_settings platform;     // "platform"
    stop_settings stop;             // "stop"
    config_settings config;         // "config"
    membership_settings membership; // "membership"
    std::string log_level = "info"; // "log_level"
};

// "name", "region", "failure_domain".
auto read_identity(settings_reader& reader, member& self) -> void;

// Fills the shared fields. self.incarnation is the wall clock, so that a restarted process has a higher one.
auto read_daemon_settings(settings_reader& reader, daemon_settings& settings) -> void;

// Address that peers and entries use: "advertise" if given, else the listener's. They differ where a relay
// stands before the process.
auto read_advertised_address(settings_reader& reader, address const& listen, member& self) -> void;

// Reads command line and settings file; runs the daemon unless only a check or help was asked for or
// something was wrong. Gives the exit code.
template<class Settings>
auto run_daemon(std::string_view program, int argc, char const* const* argv,
                Settings (*read)(nlohmann::json const&, std::vector<std::string>&),
                int (*run)(Settings const&, std::uint64_t seed)) -> int
{
    auto const options = parse_daemon_options(program, argc, argv);
    if (!options) return report_start_failure(program, options.error());
    if (options.value().help) return exit_success;
    auto errors = std::vector<std::string>{};
    auto const settings = read(options.value().settings, errors);
    if (!errors.empty()) return report_settings_errors(program, options.value().settings_path, errors);
    if (options.value().check_only) return exit_success;
    return run(settings, options.value().seed);
}

} // namespace hibiscuswall
