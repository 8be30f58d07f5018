#include "hibiscuswall/api/ctl_output.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

auto padded(std::string text, std::size_t width) -> std::string
{
    if (text.size() < width) text.resize(width, ' ');
    return text + "  ";
}

auto joined(nlohmann::json const& names) -> std::string
{
    auto text = std::string{};
    for (auto const& name : names)
        text += (text.empty() ? "" : ", ") + name.get<std::string>();
    return text;
}

} // namespace

auto resources_text(nlohmann::json const& body) -> std::string
{
    auto text = std::string{};
    for (auto const& item : body.value("resources", nlohmann::json::array()))
        text += padded(item.value("kind", ""), 13) + padded(item.value("name", ""), 24) +
                item.at("spec").dump() + "\n";
    return text + "revision " + std::to_string(body.value("revision", std::uint64_t{0})) + "\n";
}

auto status_text(nlohmann::json const& body) -> std::string
{
    auto text = "revision " + std::to_string(body.value("revision", std::uint64_t{0})) +
                (body.value("converged", false) ? ", in force everywhere\n" : ", not confirmed everywhere\n");
    auto const domains = body.value("failure_domains", nlohmann::json::object()); // items() does not own it
    for (auto const& [name, domain] : domains.items()) {
        text += "  " + padded(name, 16) + std::to_string(domain.value("confirmed", 0)) + " of " +
                std::to_string(domain.value("hosts", 0)) + " hosts";
        auto const missing = domain.value("unconfirmed", nlohmann::json::array());
        text += missing.empty() ? "\n" : "; not confirmed: " + joined(missing) + "\n";
    }
    for (auto const& host : body.value("unconfirmed_hosts", nlohmann::json::array()))
        text += "  " + host.value("name", "") + " (" + host.value("state", "") + "), revision " +
                std::to_string(host.value("revision", std::uint64_t{0})) + ": " + host.value("reason", "") +
                "\n";
    return text;
}

auto members_text(nlohmann::json const& body) -> std::string
{
    auto text = std::string{};
    for (auto const& item : body.value("members", nlohmann::json::array()))
        text += padded(item.value("name", ""), 20) + padded(item.value("role", ""), 5) +
                padded(item.value("state", ""), 7) + padded(item.value("failure_domain", ""), 16) +
                padded(item.value("service", ""), 10) + item.value("address", "") + "\n";
    return text;
}

auto description_text(nlohmann::json const& body) -> std::string
{
    auto text = body.at("resource").dump(2) + "\n" + status_text(body.at("status"));
    if (body.contains("weights"))
        for (auto const& host : body["weights"].value("hosts", nlohmann::json::array()))
            text += "  weights of " + host.value("name", "") + ": " +
                    (host.contains("status") ? host["status"].dump() : host.value("error", "")) + "\n";
    return text;
}

auto differences_text(nlohmann::json const& differences) -> std::string
{
    auto text = std::string{};
    for (auto const& item : differences) {
        auto const& old = item.at("present");
        auto const& declared = item.at("declared");
        text += item.at("resource").get<std::string>() + (old.is_null() ? ": not present yet\n" : "\n");
        for (auto const& [field, value] : declared.items())
            if (old.is_null() || !old.contains(field) || old.at(field) != value) {
                if (!old.is_null() && old.contains(field))
                    text += "  - " + field + ": " + old.at(field).dump() + "\n";
                text += "  + " + field + ": " + value.dump() + "\n";
            }
        if (old.is_null()) continue;
        for (auto const& [field, value] : old.items())
            if (!declared.contains(field)) text += "  - " + field + ": " + value.dump() + "\n";
    }
    return text.empty() ? "no differences\n" : text;
}

auto weights_converged(nlohmann::json const& servings, nlohmann::json const& weights,
                       std::string& explanation) -> bool
{
    auto waiting = std::string{};
    for (auto const& item : servings.value("resources", nlohmann::json::array())) {
        auto const& spec = item.at("spec");
        auto const& domains = spec.at("failure_domains");
        auto const version = spec.value("model", "") + "/" + spec.value("version", "");
        for (auto const& host : weights.value("hosts", nlohmann::json::array())) {
            auto const here =
                std::find(domains.begin(), domains.end(), host.value("failure_domain", "")) != domains.end();
            if (!here || host.value("service", "") != spec.value("service", "")) continue;
            if (host.contains("status") && host["status"].value("active", "") == version) continue;
            waiting += "  " + host.value("name", "") + " does not serve " + version + " yet\n";
        }
    }
    explanation += waiting;
    return waiting.empty();
}

} // namespace hibiscuswall
