#include "hibiscuswall/fleet/operator_sync.hpp"

#include "hibiscuswall/core/base64.hpp"
#include "hibiscuswall/core/checked_json.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "platform/operator_documents.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

using nlohmann::json;

constexpr auto poll_interval = milliseconds{200};
constexpr auto store_catch_up_delay =
    milliseconds{200}; // the store's watch usually delivers the change in this time
constexpr auto connect_timeout = milliseconds{800};
constexpr auto fetch_timeout = milliseconds{2'500}; // allows for a complete configuration over a shared link
constexpr auto max_age = milliseconds{24 * 3'600 * 1'000}; // of a declaration, as a peer may state it
constexpr auto all_path = std::string_view{"/fleet/operators"};
constexpr auto weights_path = std::string_view{"/fleet/weights"};
constexpr auto services_path = std::string_view{"/fleet/services"};

} // namespace

auto encode(operator_snapshot const& snapshot) -> std::string
{
    auto items = json::array();
    for (auto const& item : snapshot.items)
        items.push_back(json::array({item.key, encode_base64(item.value), item.revision}));
    auto ages = json::object();
    for (auto const& [key, age] : snapshot.ages)
        ages[key] = age.count();
    return json{{"revision", snapshot.revision}, {"items", items}, {"ages_ms", ages}}.dump();
}

auto decode_operator_snapshot(std::string_view text) -> std::optional<operator_snapshot>
{
    try {
        auto const document = json::parse(text);
        auto snapshot = operator_snapshot{};
        snapshot.revision = integer_field<std::uint64_t>(document, "revision");
        for (auto const& item : document.at("items")) {
            auto value = decode_base64(item.at(1).get<std::string>());
            if (!value) return std::nullopt;
            snapshot.items.push_back(
                {item.at(0).get<std::string>(), std::move(*value), integer_from<std::uint64_t>(item.at(2))});
        }
        auto const ages = document.value("ages_ms", json::object());
        for (auto const& [key, age] : ages.items())
            snapshot.ages[key] =
                std::clamp(milliseconds{integer_from<long long>(age)}, milliseconds{0}, max_age);
        return snapshot;
    } catch (std::exception const&) {
        return std::nullopt; // for example: the peer runs another version
    }
}

operator_sync::operator_sync(process_context& context, declared_state& declared, operator_scope scope,
                             time_function declarations_known_until, peer_function newer_peer,
                             peer_function newer_weights_peer)
    : context_{context}, declared_state_{declared}, scope_{scope}, declarations_known_until_{std::move(
                                                                       declarations_known_until)},
      newer_peer_{std::move(newer_peer)}, newer_weights_peer_{std::move(newer_weights_peer)}
{
    auto const respond = [](http_responder& out, operator_snapshot snapshot) -> asio::awaitable<void> {
        co_await out.send(json_response(200, encode(snapshot)));
    };
    context_.control.add("GET", all_path, [this, respond](http_request const&, http_responder& out) {
        return respond(out, {declared_state_.revision(), declared_state_.items(platform::operator_prefix),
                             declared_state_.ages(platform::operator_prefix, clock::now())});
    });
    context_.control.add("GET", weights_path, [this, respond](http_request const&, http_responder& out) {
        return respond(out,
                       {declared_state_.weights_revision(), declared_state_.items(platform::weights_prefix),
                        declared_state_.ages(platform::weights_prefix, clock::now())});
    });
    context_.control.add("GET", services_path, [this, respond](http_request const&, http_responder& out) {
        return respond(out, services());
    });
}

// Makes the document once for each configuration, because many agents request it when all of them start.
auto operator_sync::services() -> operator_snapshot
{
    auto items = declared_state_.items(platform::configuration_key);
    if (items.empty() || items.front().revision == services_snapshot_.revision) return services_snapshot_;
    auto services_document = platform::services_only(items.front().value);
    if (!services_document) return services_snapshot_;
    items.front().value = std::move(services_document).value();
    services_snapshot_.revision = items.front().revision;
    services_snapshot_.items = std::move(items);
    return services_snapshot_;
}

auto operator_sync::run() -> asio::awaitable<void> { return follow(newer_peer_, scope_); }

auto operator_sync::run_weights() -> asio::awaitable<void>
{
    return follow(newer_weights_peer_, operator_scope::weights);
}

auto operator_sync::follow(peer_function const& newer_peer, operator_scope scope) -> asio::awaitable<void>
{
    auto behind_since = std::optional<time_point>{};
    while (true) {
        co_await sleep_for(poll_interval);
        auto const peer = newer_peer();
        auto const now = clock::now();
        if (!peer) {
            behind_since.reset();
            continue;
        }
        if (!behind_since) behind_since = now;
        // Without a configuration, fetches from the peer at once instead of waiting for the store.
        if (declared_state_.map() != nullptr && now - *behind_since < store_catch_up_delay) continue;
        co_await fetch(*peer, scope);
        behind_since.reset();
    }
}

auto operator_sync::fetch(address peer, operator_scope scope) -> asio::awaitable<void>
{
    auto options = http_call_options{};
    options.connect_timeout = connect_timeout;
    options.timeout = fetch_timeout;
    options.purpose = "operators";
    auto const needs_all = scope == operator_scope::all;
    auto const needs_services = scope_ == operator_scope::weights && declared_state_.map() == nullptr;
    auto const path = needs_all ? all_path : needs_services ? services_path : weights_path;
    auto const prefix = needs_all        ? platform::operator_prefix
                        : needs_services ? platform::configuration_key
                                         : platform::weights_prefix;
    auto const known_revision = needs_all        ? declared_state_.revision()
                                : needs_services ? 0
                                                 : declared_state_.weights_revision();
    auto const requested_at = clock::now();
    auto response = co_await context_.client.fetch(peer, {"GET", std::string{path}}, options);
    auto snapshot = std::optional<operator_snapshot>{};
    if (response && response.value().status == 200)
        snapshot = decode_operator_snapshot(response.value().body);
    auto const peer_has_no_state = snapshot && snapshot->revision == 0; // the peer has just started
    auto const outcome = peer_has_no_state ? std::string{"knows nothing"}
                         : snapshot        ? std::string{"taken"}
                         : response        ? std::string{"refused"}
                                           : response.error().message;
    log_event(log_level::info, "operators_from_peer",
              {{"peer", peer.text()},
               {"prefix", std::string{prefix}},
               {"known_revision", std::to_string(known_revision)},
               {"revision", snapshot ? std::to_string(snapshot->revision) : "none"},
               {"outcome", outcome}});
    if (!snapshot || snapshot->revision < known_revision) co_return;
    take(*snapshot, prefix, requested_at);
    if (needs_all) declared_state_.agree(snapshot->revision);
}

// What this process lacked when it last knew all declarations was declared later, whatever a peer supposes.
// The peer tells the age of the newest declaration of each model only: one before it, which this process
// lacks as well, may be as old as that.
auto operator_sync::take(operator_snapshot const& snapshot, std::string_view prefix, time_point requested_at)
    -> void
{
    auto const now = clock::now();
    auto const earliest = declarations_known_until_();
    for (auto const& item : snapshot.items)
        declared_state_.note_skipped_versions(item, now, earliest);
    declared_state_.replace(prefix, snapshot.items, snapshot.revision, now);
    for (auto const& item : snapshot.items)
        if (auto const age = snapshot.ages.find(item.key); age != snapshot.ages.end())
            declared_state_.correct_declaration(item.key, item.revision,
                                                std::max(earliest, requested_at - age->second));
}

} // namespace hibiscuswall
