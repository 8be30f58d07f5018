#include "hibiscuswall/api/ctl_options.hpp"

#include <cxxopts.hpp>

#include <algorithm>
#include <array>

namespace hibiscuswall {
namespace {

constexpr auto max_timeout = seconds{365LL * 24 * 3'600};

constexpr auto usage = R"(
  apply -f FILE...             declare resources; all take effect at once
  diff -f FILE...              compare files with what is in force; exit code 6 on a difference
  get [KIND [NAME]]            list resources
  describe KIND NAME           one resource with its status
  delete KIND NAME | -f FILE.. remove resources
  status                       which failure domains and hosts have confirmed the configuration
  watch                        print each change of the status until --timeout
  wait                         until every process has confirmed; exit code 5 after --timeout
  drain failure-domain|host NAME     take it out of service
  restore failure-domain|host NAME   bring it back
  members                      all processes
  timeline                     events of all processes in order (-o html: one self-contained page)
  check FILE...                validate files without a server
)";

auto read_given(cxxopts::ParseResult const& given, ctl_options& options) -> result<void>
{
    if (given.count("file") > 0) options.files = given["file"].as<std::vector<std::string>>();
    auto const texts =
        given.count("entry") > 0 ? given["entry"].as<std::vector<std::string>>() : std::vector<std::string>{};
    for (auto const& text : texts) {
        auto where = parse_address(text);
        if (!where) return fail(result_code::usage_invalid, "--entry: " + where.error().message);
        options.entries.push_back(where.value());
    }
    options.output = given["output"].as<std::string>();
    if (options.output != "text" && options.output != "json" && options.output != "html")
        return fail(result_code::usage_invalid, "-o: must be text, json or html");
    if (options.output == "html" && options.command != "timeline")
        return fail(result_code::usage_invalid, "-o html: only timeline has it");
    if (given.count("expect-revision") > 0)
        options.expect_revision = given["expect-revision"].as<std::uint64_t>();
    options.revision = given["revision"].as<std::uint64_t>();
    options.condition = given["for"].as<std::string>();
    if (options.condition != "config" && options.condition != "weights")
        return fail(result_code::usage_invalid, "--for: must be config or weights");
    auto const limit = given["timeout"].as<double>();
    if (!(limit >= 0 && limit <= std::chrono::duration<double>(max_timeout).count()))
        return fail(result_code::usage_invalid,
                    "--timeout: must be from 0 to " + std::to_string(max_timeout.count()) + " seconds");
    options.timeout = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(limit));
    options.complete = given.count("complete") > 0;
    return success();
}

} // namespace

auto parse_ctl_options(int argc, char const* const* argv) -> result<ctl_options>
{
    auto options = ctl_options{};
    try {
        auto table = cxxopts::Options{"hibiscusctl", usage};
        table.custom_help("COMMAND [OPTION...]");
        table.positional_help("");
        table.add_options()("f,file", "resource file (JSON)", cxxopts::value<std::vector<std::string>>())(
            "entry", "ip:port of an entry's control listener; may be repeated",
            cxxopts::value<std::vector<std::string>>())("o,output", "text, json or html",
                                                        cxxopts::value<std::string>()->default_value("text"))(
            "expect-revision", "refuse the write unless the configuration is at this revision",
            cxxopts::value<std::uint64_t>())("revision", "wait: at least this revision",
                                             cxxopts::value<std::uint64_t>()->default_value("0"))(
            "for", "wait: config or weights", cxxopts::value<std::string>()->default_value("config"))(
            "timeout", "wait, watch: seconds", cxxopts::value<double>()->default_value("60"))(
            "complete", "check: the files hold the whole configuration, check references too")("help",
                                                                                               "print this");
        table.add_options("positional")("words", "", cxxopts::value<std::vector<std::string>>());
        table.parse_positional("words");
        auto const given = table.parse(argc, argv);
        if (given.count("help") > 0) {
            options.help = table.help({""});
            return options;
        }
        auto words = given.count("words") > 0 ? given["words"].as<std::vector<std::string>>()
                                              : std::vector<std::string>{};
        if (words.empty()) return fail(result_code::usage_invalid, "a command is required, see --help");
        options.command = words.front();
        options.arguments.assign(words.begin() + 1, words.end());
        // "apply -f a.json b.json": further names belong to -f.
        if (given.count("file") > 0) {
            auto read = read_given(given, options);
            if (!read) return read.error();
            options.files.insert(options.files.end(), options.arguments.begin(), options.arguments.end());
            options.arguments.clear();
        } else if (auto read = read_given(given, options); !read) {
            return read.error();
        }
    } catch (cxxopts::exceptions::exception const& problem) {
        return fail(result_code::usage_invalid, problem.what());
    }
    constexpr auto local = std::array<std::string_view, 1>{"check"};
    auto const needs_server = std::find(local.begin(), local.end(), options.command) == local.end();
    if (needs_server && options.entries.empty())
        return fail(result_code::usage_invalid, "--entry ip:port is required");
    return options;
}

} // namespace hibiscuswall
