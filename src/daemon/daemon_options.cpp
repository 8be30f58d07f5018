#include "hibiscuswall/daemon/daemon_options.hpp"

#include "hibiscuswall/core/json_file.hpp"

#include <cxxopts.hpp>

#include <iostream>
#include <random>

namespace hibiscuswall {

auto parse_daemon_options(std::string_view program, int argc, char const* const* argv)
    -> result<daemon_options>
{
    auto parsed = daemon_options{};
    try {
        auto table = cxxopts::Options{std::string{program}};
        table.add_options()("settings", "settings file (JSON)", cxxopts::value<std::string>())(
            "seed", "seed of the random generator; random when absent", cxxopts::value<std::uint64_t>())(
            "check", "check the settings and exit")("help", "print this help");
        auto const given = table.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << table.help();
            parsed.help = true;
            return parsed;
        }
        if (given.count("settings") == 0)
            return fail(result_code::usage_invalid, "--settings FILE is required");
        if (!given.unmatched().empty())
            return fail(result_code::usage_invalid, "unexpected argument " + given.unmatched().front());
        parsed.settings_path = given["settings"].as<std::string>();
        parsed.seed = given.count("seed") > 0 ? given["seed"].as<std::uint64_t>() : std::random_device{}();
        parsed.check_only = given.count("check") > 0;
    } catch (cxxopts::exceptions::exception const& problem) {
        return fail(result_code::usage_invalid, problem.what());
    }
    auto document = read_json_file(parsed.settings_path);
    if (!document) return document.error();
    parsed.settings = std::move(document).value();
    return parsed;
}

auto read_platform_settings(settings_reader reader) -> platform_settings
{
    auto settings = platform_settings{};
    settings.key_value = reader.addresses("key_value");
    settings.host_list = reader.endpoint_address("host_list");
    settings.weight_store = reader.optional_address("weight_store");
    settings.origin = reader.optional_address("origin");
    settings.timeout = reader.duration("timeout_ms", settings.timeout);
    reader.finish();
    return settings;
}

auto read_stop_settings(settings_reader reader) -> stop_settings
{
    auto settings = stop_settings{};
    settings.balancer_delay = reader.duration("balancer_delay_ms", settings.balancer_delay);
    settings.drain_timeout = reader.duration("drain_timeout_ms", settings.drain_timeout);
    reader.finish();
    return settings;
}

auto report_start_failure(std::string_view program, error const& problem) -> int
{
    std::cerr << program << ": " << problem.message << '\n';
    return exit_usage;
}

auto report_settings_errors(std::string_view program, std::string_view path,
                            std::vector<std::string> const& errors) -> int
{
    for (auto const& mistake : errors)
        std::cerr << program << ": " << path << ": " << mistake << '\n';
    return errors.empty() ? exit_success : exit_usage;
}

} // namespace hibiscuswall
