#include "hibiscuswall/api/ctl_commands.hpp"

#include "hibiscuswall/api/ctl_files.hpp"
#include "hibiscuswall/api/ctl_output.hpp"
#include "hibiscuswall/api/ctl_session.hpp"
#include "hibiscuswall/api/ctl_timeline.hpp"
#include "hibiscuswall/api/timeline_page.hpp"
#include "hibiscuswall/config/config_document.hpp"
#include "hibiscuswall/daemon/daemon_options.hpp"

#include <iostream>

namespace hibiscuswall {
namespace {

constexpr auto poll_interval = milliseconds{250};
constexpr auto swap_attempts = 5; // of drain and restore, which read, change and write one field

auto report(error const& problem) -> int
{
    std::cerr << "hibiscusctl: " << describe(problem.code).name << " (" << static_cast<int>(problem.code)
              << "): " << problem.message << '\n';
    switch (problem.code) {
    case result_code::revision_conflict:
        return ctl_exit_conflict;
    case result_code::write_outcome_unknown:
        return ctl_exit_unknown;
    case result_code::usage_invalid:
        return exit_usage;
    default:
        return exit_failure;
    }
}

auto usage(std::string message) -> int
{
    return report(fail(result_code::usage_invalid, std::move(message)));
}

auto print_written(ctl_options const& options, result<nlohmann::json> const& written, std::string_view verb)
    -> int
{
    if (!written) return report(written.error());
    if (options.output == "json")
        std::cout << written.value().dump(2) << '\n';
    else
        std::cout << verb << " at revision " << written.value().value("revision", std::uint64_t{0}) << '\n';
    return exit_success;
}

auto to_json(declared_resource const& declared) -> nlohmann::json
{
    return {{"kind", declared.kind}, {"name", declared.name}, {"spec", declared.spec}};
}

// ---- commands

auto apply(ctl_options const& options, ctl_session& session) -> int
{
    if (options.files.empty()) return usage("apply: -f FILE is required");
    auto const declared = read_resource_files(options.files);
    if (!declared) return report(declared.error());
    auto request = nlohmann::json{{"resources", nlohmann::json::array()}};
    for (auto const& item : declared.value())
        request["resources"].push_back(to_json(item));
    if (options.expect_revision) request["expect_revision"] = *options.expect_revision;
    return print_written(options, session.apply(std::move(request)),
                         std::to_string(declared.value().size()) + " resources applied");
}

auto diff(ctl_options const& options, ctl_session& session) -> int
{
    if (options.files.empty()) return usage("diff: -f FILE is required");
    auto const declared = read_resource_files(options.files);
    if (!declared) return report(declared.error());
    auto const present = session.get("/v1/resources");
    if (!present) return report(present.error());
    auto differences = nlohmann::json::array();
    for (auto const& item : declared.value()) {
        auto old = nlohmann::json{};
        for (auto const& candidate : present.value().at("resources"))
            if (candidate.at("kind") == item.kind && candidate.at("name") == item.name)
                old = candidate.at("spec");
        if (old == item.spec) continue;
        differences.push_back({{"resource", item.key()}, {"present", old}, {"declared", item.spec}});
    }
    if (options.output == "json")
        std::cout << differences.dump(2) << '\n';
    else
        std::cout << differences_text(differences);
    return differences.empty() ? exit_success : ctl_exit_differs;
}

auto get(ctl_options const& options, ctl_session& session) -> int
{
    auto const& words = options.arguments;
    if (words.size() > 2) return usage("get [KIND [NAME]]");
    auto target = std::string{"/v1/resources"};
    if (words.size() == 1) target += "?kind=" + percent_encode(words[0]);
    if (words.size() == 2) target += "/" + percent_encode(words[0]) + "/" + percent_encode(words[1]);
    auto const answer = session.get(target);
    if (!answer) return report(answer.error());
    if (options.output == "json" || words.size() == 2)
        std::cout << answer.value().dump(2) << '\n';
    else
        std::cout << resources_text(answer.value());
    return exit_success;
}

auto describe_resource(ctl_options const& options, ctl_session& session) -> int
{
    auto const& words = options.arguments;
    if (words.size() != 2) return usage("describe KIND NAME");
    auto found = session.get("/v1/resources/" + percent_encode(words[0]) + "/" + percent_encode(words[1]));
    if (!found) return report(found.error());
    auto status = session.get("/v1/status");
    if (!status) return report(status.error());
    auto body = nlohmann::json{{"resource", found.value()}, {"status", status.value()}};
    if (words[0] == "ModelServing") {
        auto weights = session.get("/v1/status/weights");
        body["weights"] = weights ? weights.value() : nlohmann::json{{"error", weights.error().message}};
    }
    if (options.output == "json")
        std::cout << body.dump(2) << '\n';
    else
        std::cout << description_text(body);
    return exit_success;
}

auto remove(ctl_options const& options, ctl_session& session) -> int
{
    auto keys = nlohmann::json::array();
    if (!options.files.empty()) {
        auto const declared = read_resource_files(options.files);
        if (!declared) return report(declared.error());
        for (auto const& item : declared.value())
            keys.push_back(item.key());
    } else if (options.arguments.size() == 2) {
        keys.push_back(options.arguments[0] + "/" + options.arguments[1]);
    } else {
        return usage("delete KIND NAME, or delete -f FILE");
    }
    auto request = nlohmann::json{{"resources", nlohmann::json::array()}, {"delete", keys}};
    if (options.expect_revision) request["expect_revision"] = *options.expect_revision;
    return print_written(options, session.apply(std::move(request)),
                         std::to_string(keys.size()) + " resources deleted");
}

auto set_state(ctl_options const& options, ctl_session& session, std::string const& state) -> int
{
    auto const& words = options.arguments;
    if (words.size() != 2 || (words[0] != "failure-domain" && words[0] != "host"))
        return usage(options.command + " failure-domain|host NAME");
    auto const kind = std::string{words[0] == "host" ? "Host" : "FailureDomain"};
    auto last = fail(result_code::internal_error, "");
    for (auto attempt = 0; attempt < swap_attempts; ++attempt) {
        auto const all = session.get("/v1/resources?kind=" + kind);
        if (!all) return report(all.error());
        auto declared =
            nlohmann::json{{"kind", kind}, {"name", words[1]}, {"spec", nlohmann::json::object()}};
        auto found = false;
        for (auto const& item : all.value().at("resources"))
            if (item.at("name") == words[1]) {
                declared["spec"] = item.at("spec");
                found = true;
            }
        if (!found && kind == "FailureDomain")
            return report(fail(result_code::resource_not_found, kind + "/" + words[1]));
        declared["spec"]["state"] = state;
        auto request = nlohmann::json{{"resources", nlohmann::json::array({declared})},
                                      {"expect_revision", all.value().at("revision")}};
        auto written = session.apply(std::move(request));
        // Another operator's write came between: the field is set on what that one left.
        if (written || written.error().code != result_code::revision_conflict)
            return print_written(options, written,
                                 (kind + "/").append(words[1]).append(" is ").append(state));
        last = written.error();
        session.pause(poll_interval);
    }
    return report(last);
}

auto print_body(ctl_options const& options, ctl_session& session, std::string const& target,
                std::string (*as_text)(nlohmann::json const&)) -> int
{
    auto const answer = session.get(target);
    if (!answer) return report(answer.error());
    if (options.output == "html")
        std::cout << timeline_page(answer.value());
    else if (options.output == "json")
        std::cout << answer.value().dump(2) << '\n';
    else
        std::cout << as_text(answer.value());
    return exit_success;
}

auto watch(ctl_options const& options, ctl_session& session) -> int
{
    auto const end = clock::now() + options.timeout;
    auto shown = std::string{};
    while (clock::now() < end) {
        auto answer = session.get("/v1/status");
        if (answer) answer.value().erase("confirmed_age_ms"); // changes all the time
        auto const text = !answer                    ? "no answer: " + answer.error().message + "\n"
                          : options.output == "json" ? answer.value().dump() + "\n"
                                                     : status_text(answer.value());
        if (text != shown) std::cout << text << std::flush;
        shown = text;
        session.pause(poll_interval);
    }
    return exit_success;
}

auto wait(ctl_options const& options, ctl_session& session) -> int
{
    auto const end = clock::now() + options.timeout;
    auto last = std::string{};
    while (true) {
        auto const for_weights = options.condition == "weights";
        auto const status = session.get("/v1/status");
        auto met = status && status.value().value("converged", false) &&
                   status.value().value("revision", std::uint64_t{0}) >= options.revision;
        last = status ? status_text(status.value()) : status.error().message + "\n";
        if (met && for_weights) {
            auto const weights = session.get("/v1/status/weights");
            auto const servings = session.get("/v1/resources?kind=ModelServing");
            met = weights && servings && weights_converged(servings.value(), weights.value(), last);
        }
        if (met) {
            std::cout << last;
            return exit_success;
        }
        if (clock::now() >= end) break;
        session.pause(poll_interval);
    }
    std::cerr << "hibiscusctl: not met in time\n" << last;
    return ctl_exit_not_met;
}

auto check(ctl_options const& options) -> int
{
    auto paths = options.files;
    paths.insert(paths.end(), options.arguments.begin(), options.arguments.end());
    if (paths.empty()) return usage("check FILE...");
    auto const declared = read_resource_files(paths);
    if (!declared) return report(declared.error());
    auto problems = std::vector<std::string>{};
    if (options.complete) problems = config_document{}.with(declared.value(), {}, "check").validate();
    auto text = std::string{};
    for (auto const& line : problems)
        text += (text.empty() ? "" : "\n") + line;
    if (!problems.empty()) return report(fail(result_code::resource_invalid, text));
    std::cout << declared.value().size() << " resources are valid\n";
    return exit_success;
}

} // namespace

auto run_ctl(ctl_options const& options) -> int
{
    auto const& command = options.command;
    if (command == "check") return check(options);
    auto session = ctl_session{options.entries};
    if (command == "apply") return apply(options, session);
    if (command == "diff") return diff(options, session);
    if (command == "get") return get(options, session);
    if (command == "describe") return describe_resource(options, session);
    if (command == "delete") return remove(options, session);
    if (command == "status") return print_body(options, session, "/v1/status", status_text);
    if (command == "watch") return watch(options, session);
    if (command == "wait") return wait(options, session);
    if (command == "drain") return set_state(options, session, "out");
    if (command == "restore") return set_state(options, session, "in");
    if (command == "members") return print_body(options, session, "/v1/members", members_text);
    if (command == "timeline") return print_body(options, session, "/v1/timeline", timeline_text);
    return usage("unknown command \"" + command + "\", see --help");
}

} // namespace hibiscuswall
