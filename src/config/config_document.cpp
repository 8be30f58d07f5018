#include "hibiscuswall/config/config_document.hpp"

#include "hibiscuswall/core/checked_json.hpp"
#include "hibiscuswall/core/sha256.hpp"
#include "platform/store_revision.hpp"

#include <algorithm>
#include <set>
#include <type_traits>

namespace hibiscuswall {
namespace {

// Enough for a day's burst of writes while the outcome of a write without response is being resolved; about
// 4 KB of the root.
constexpr auto max_recent_writes = std::size_t{64};

auto recent_to_json(std::deque<recent_write> const& recent) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (auto const& write : recent)
        list.push_back({{"write_id", write.write_id}, {"revision", write.revision}});
    return list;
}

auto recent_from_json(nlohmann::json const& list) -> std::deque<recent_write>
{
    auto recent = std::deque<recent_write>{};
    for (auto const& item : list)
        recent.push_back(
            {item.at("write_id").get<std::string>(), integer_field<std::uint64_t>(item, "revision")});
    return recent;
}

auto erase_unused_objects(config_document& document) -> void
{
    auto used = std::set<std::string>{};
    for (auto const& [key, digest] : document.resources)
        used.insert(digest);
    std::erase_if(document.objects, [&](auto const& object) { return !used.contains(object.first); });
}

auto parse_object(std::string const& text) -> std::optional<declared_resource>
{
    auto ignored = std::vector<std::string>{};
    auto const document = nlohmann::json::parse(text, nullptr, false);
    return parse_resource(document, "", ignored);
}

struct view_inserter {
    config_view& view;

    auto operator()(model_serving const& value) const -> void { view.servings[value.name] = value; }
    auto operator()(failure_domain_resource const& value) const -> void
    {
        view.failure_domains[value.name] = value;
    }
    auto operator()(host_resource const& value) const -> void { view.hosts[value.name] = value; }
    auto operator()(service_resource const& value) const -> void { view.services[value.name] = value; }
    auto operator()(account_resource const& value) const -> void { view.accounts[value.name] = value; }
    auto operator()(policy_resource const& value) const -> void { view.policy = value; }
};

auto check_serving(model_serving const& serving, config_view const& view, std::vector<std::string>& errors)
    -> void
{
    auto const path = "ModelServing/" + serving.name + ".spec.";
    auto const service = view.services.find(serving.service);
    if (service == view.services.end())
        errors.push_back(path + "service: no Service \"" + serving.service + "\"");
    else if (service->second.type != service_type::engine)
        errors.push_back(path + "service: Service \"" + serving.service + "\" is not of type engine");
    for (auto i = std::size_t{0}; i < serving.failure_domains.size(); ++i)
        if (!view.failure_domains.contains(serving.failure_domains[i]))
            errors.push_back(path + "failure_domains[" + std::to_string(i) + "]: no FailureDomain \"" +
                             serving.failure_domains[i] + "\"");
}

} // namespace

auto config_document::root_text() const -> std::string
{
    return nlohmann::json{
        {"write_id", write_id}, {"recent", recent_to_json(recent)}, {"resources", resources}}
        .dump();
}

auto config_document::missing_objects() const -> std::vector<std::string>
{
    auto missing = std::set<std::string>{};
    for (auto const& [key, digest] : resources)
        if (!objects.contains(digest)) missing.insert(digest);
    return {missing.begin(), missing.end()};
}

auto config_document::with(std::vector<declared_resource> const& puts,
                           std::vector<std::string> const& deletions, std::string next_write_id) const
    -> config_document
{
    auto next = *this;
    if (revision != 0) next.recent.push_front({write_id, revision});
    if (next.recent.size() > max_recent_writes) next.recent.resize(max_recent_writes);
    next.write_id = std::move(next_write_id);
    for (auto const& key : deletions)
        next.resources.erase(key);
    for (auto const& put : puts) {
        auto text = put.text();
        auto digest = sha256(text);
        next.resources[put.key()] = digest;
        next.objects[digest] = std::move(text);
    }
    erase_unused_objects(next);
    return next;
}

auto config_document::validate() const -> std::vector<std::string>
{
    auto errors = std::vector<std::string>{};
    auto skipped = std::vector<std::string>{};
    auto const parsed_view = view(skipped);
    for (auto const& key : skipped)
        errors.push_back(key + ": cannot be parsed");
    auto keys = std::map<std::string, std::string>{};
    for (auto const& [name, account] : parsed_view.accounts) {
        auto const [first, added] = keys.emplace(account.key, name);
        if (!added)
            errors.push_back("Account/" + name + ".spec.key: is also the key of Account/" + first->second);
    }
    auto serving_by_domain = std::map<std::string, std::string>{};
    auto models = std::map<std::string, std::string>{};
    for (auto const& [name, serving] : parsed_view.servings) {
        check_serving(serving, parsed_view, errors);
        auto const [existing, inserted_model] = models.emplace(serving.model, name);
        if (!inserted_model)
            errors.push_back("ModelServing/" + name + ".spec.model: is also served by ModelServing/" +
                             existing->second);
        for (auto const& domain : serving.failure_domains) {
            auto const [first, added] = serving_by_domain.emplace(serving.service + "\x1f" + domain, name);
            if (!added) {
                auto line = "ModelServing/" + name + ".spec.failure_domains: ";
                line += domain;
                line += " serves ModelServing/" + first->second + " on the same service";
                errors.push_back(std::move(line));
            }
        }
    }
    return errors;
}

auto config_document::view(std::vector<std::string>& skipped) const -> config_view
{
    auto result_view = config_view{};
    result_view.revision = revision;
    for (auto const& [key, digest] : resources) {
        auto const object = objects.find(digest);
        auto const parsed = object == objects.end() ? std::nullopt : parse_object(object->second);
        if (parsed && parsed->key() == key)
            std::visit(view_inserter{result_view}, parsed->value);
        else
            skipped.push_back(key);
    }
    for (auto& [name, serving] : result_view.servings)
        if (serving.batch == 0) serving.batch = result_view.policy.activation_batch;
    return result_view;
}

auto config_document::revision_of(std::string_view id) const -> std::optional<std::uint64_t>
{
    if (write_id == id && revision != 0) return revision;
    auto const found =
        std::find_if(recent.begin(), recent.end(), [&](auto const& write) { return write.write_id == id; });
    if (found == recent.end()) return std::nullopt;
    return found->revision;
}

auto is_older_copy(config_document const& root, config_document const& known) -> bool
{
    if (known.revision == 0) return false;
    if (root.revision == 0) return true;
    auto const era_of = [](std::uint64_t revision) { return store_revision::from_ordered(revision).era; };
    return era_of(root.revision) > era_of(known.revision) && root.write_id != known.write_id &&
           known.revision_of(root.write_id).has_value();
}

auto parse_root(std::string_view text, std::uint64_t revision) -> result<config_document>
{
    try {
        auto const root = nlohmann::json::parse(text);
        auto document = config_document{};
        document.revision = revision;
        document.write_id = root.at("write_id").get<std::string>();
        document.recent = recent_from_json(root.value("recent", nlohmann::json::array()));
        document.resources = root.at("resources").get<std::map<std::string, std::string>>();
        return document;
    } catch (std::exception const& problem) {
        return fail(result_code::response_malformed, std::string{"config/root: "} + problem.what());
    }
}

auto make_delta(config_document const& from, config_document const& to) -> config_delta
{
    auto delta = config_delta{};
    delta.from_revision = from.revision;
    delta.revision = to.revision;
    delta.write_id = to.write_id;
    // Sends only the writes that the receiver lacks: all 64 write ids exceed 4 KB, and the receiver has those
    // before its own revision.
    for (auto const& write : to.recent)
        if (from.revision == 0 || write.revision >= from.revision) delta.recent.push_back(write);
    for (auto const& [key, digest] : to.resources) {
        auto const old = from.resources.find(key);
        if (old != from.resources.end() && old->second == digest) continue;
        delta.changed[key] = digest;
        if (auto const object = to.objects.find(digest); object != to.objects.end())
            delta.objects[digest] = object->second;
    }
    for (auto const& [key, digest] : from.resources)
        if (!to.resources.contains(key)) delta.changed[key] = std::nullopt;
    return delta;
}

auto apply_delta(config_document const& from, config_delta const& delta) -> result<config_document>
{
    auto next = from;
    next.revision = delta.revision;
    next.write_id = delta.write_id;
    next.recent.insert(next.recent.begin(), delta.recent.begin(), delta.recent.end());
    if (next.recent.size() > max_recent_writes) next.recent.resize(max_recent_writes);
    for (auto const& [digest, text] : delta.objects) {
        if (sha256(text) != digest)
            return fail(result_code::response_malformed, "object " + digest + " does not match its digest");
        next.objects[digest] = text;
    }
    for (auto const& [key, digest] : delta.changed) {
        if (digest)
            next.resources[key] = *digest;
        else
            next.resources.erase(key);
    }
    if (auto const missing = next.missing_objects(); !missing.empty())
        return fail(result_code::response_malformed, "object " + missing.front() + " is missing");
    erase_unused_objects(next);
    return next;
}

auto to_json(config_delta const& delta) -> nlohmann::json
{
    auto changed = nlohmann::json::object();
    for (auto const& [key, digest] : delta.changed)
        changed[key] = digest ? nlohmann::json(*digest) : nlohmann::json(nullptr);
    return {
        {"from_revision", delta.from_revision},   {"revision", delta.revision}, {"write_id", delta.write_id},
        {"recent", recent_to_json(delta.recent)}, {"changed", changed},         {"objects", delta.objects}};
}

auto delta_from_json(nlohmann::json const& value) -> result<config_delta>
{
    try {
        auto delta = config_delta{};
        delta.from_revision = integer_field<std::uint64_t>(value, "from_revision");
        delta.revision = integer_field<std::uint64_t>(value, "revision");
        delta.write_id = value.at("write_id").get<std::string>();
        delta.recent = recent_from_json(value.value("recent", nlohmann::json::array()));
        for (auto const& [key, digest] : value.at("changed").items())
            delta.changed[key] = digest.is_null() ? std::nullopt : std::optional{digest.get<std::string>()};
        delta.objects = value.at("objects").get<std::map<std::string, std::string>>();
        return delta;
    } catch (std::exception const& problem) {
        return fail(result_code::response_malformed, problem.what());
    }
}

} // namespace hibiscuswall
