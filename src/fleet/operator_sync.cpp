#include "hibiscuswall/fleet/operator_sync.hpp"

#include "hibiscuswall/core/base64.hpp"
#include "hibiscuswall/core/checked_json.hpp"
#include "hibiscuswall/core/hedged.hpp"
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
constexpr auto next_peer_delay = milliseconds{300}; // until the next peer is asked as well
constexpr auto max_peers_asked = std::size_t{3};
constexpr auto avoid_time = milliseconds{3'000};           // a peer that did not answer comes last meanwhile
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
    return json{{"revision", snapshot.revision},
                {"items", items},
                {"ages_ms", ages},
                {"configuration_version", snapshot.configuration_version}}
        .dump();
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
        if (document.contains("configuration_version"))
            snapshot.configuration_version = integer_field<std::uint64_t>(document, "configuration_version");
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
                             time_function declarations_known_until, peers_function newer_peers,
                             peers_function newer_weights_peers)
    : context_{context}, declared_state_{declared}, scope_{scope}, declarations_known_until_{std::move(
                                                                       declarations_known_until)},
      newer_peers_{std::move(newer_peers)}, newer_weights_peers_{std::move(newer_weights_peers)}
{
    auto const respond = [](http_responder& out, operator_snapshot snapshot) -> asio::awaitable<void> {
        co_await out.send(json_response(200, encode(snapshot)));
    };
    context_.control.add("GET", all_path, [this, respond](http_request const&, http_responder& out) {
        return respond(out, {declared_state_.revision(), declared_state_.items(platform::operator_prefix),
                             declared_state_.ages(platform::operator_prefix, clock::now()),
                             declared_state_.offered_configuration_version()});
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

auto operator_sync::run() -> asio::awaitable<void> { return follow(newer_peers_, scope_); }

auto operator_sync::run_weights() -> asio::awaitable<void>
{
    return follow(newer_weights_peers_, operator_scope::weights);
}

auto operator_sync::follow(peers_function const& newer_peers, operator_scope scope) -> asio::awaitable<void>
{
    auto behind_since = std::optional<time_point>{};
    while (true) {
        co_await sleep_for(poll_interval);
        auto const now = clock::now();
        auto peers = in_order(newer_peers(now), now);
        if (peers.empty()) {
            behind_since.reset();
            continue;
        }
        if (!behind_since) behind_since = now;
        // Without a configuration, fetches from a peer at once instead of waiting for the store.
        if (declared_state_.map() != nullptr && now - *behind_since < store_catch_up_delay) continue;
        co_await fetch(std::move(peers), scope);
        behind_since.reset();
    }
}

// Those that lately did not answer come last.
auto operator_sync::in_order(std::vector<address> peers, time_point now) const -> std::vector<address>
{
    std::stable_partition(peers.begin(), peers.end(), [&](auto const& peer) {
        auto const found = unanswered_.find(peer);
        return found == unanswered_.end() || now - found->second >= avoid_time;
    });
    return peers;
}

auto operator_sync::question_for(operator_scope scope) const -> question
{
    if (scope == operator_scope::all)
        return {all_path, platform::operator_prefix, declared_state_.revision(),
                declared_state_.configuration_version()};
    if (scope_ == operator_scope::weights && declared_state_.map() == nullptr)
        return {services_path, platform::configuration_key, 0, 0};
    return {weights_path, platform::weights_prefix, declared_state_.weights_revision(), 0};
}

auto operator_sync::fetch(std::vector<address> peers, operator_scope scope) -> asio::awaitable<void>
{
    auto const asked = question_for(scope);
    peers.resize(std::min(peers.size(), max_peers_asked));
    auto const count = peers.size();
    auto const ask = [this, asked, peers = std::move(peers)](std::size_t index) {
        if (index > 0) unanswered_[peers[index - 1]] = clock::now();
        return fetch_from(peers[index], asked);
    };
    auto received = co_await hedged<answer>(count, {next_peer_delay}, ask);
    std::erase_if(unanswered_,
                  [now = clock::now()](auto const& each) { return now - each.second >= avoid_time; });
    if (!received) co_return;
    take(received.value(), asked.prefix);
    if (scope == operator_scope::all) declared_state_.agree(received.value().content.revision);
}

auto operator_sync::fetch_from(address peer, question asked) -> asio::awaitable<result<answer>>
{
    auto options = http_call_options{};
    options.connect_timeout = connect_timeout;
    options.timeout = fetch_timeout;
    options.purpose = "operators";
    auto const requested_at = clock::now();
    auto response = co_await context_.client.fetch(peer, {"GET", std::string{asked.path}}, options);
    auto snapshot = std::optional<operator_snapshot>{};
    if (response && response.value().status == 200)
        snapshot = decode_operator_snapshot(response.value().body);
    auto const peer_has_no_state = snapshot && snapshot->revision == 0; // the peer has just started
    auto const outcome = peer_has_no_state ? std::string{"knows nothing"}
                         : snapshot        ? std::string{"received"}
                         : response        ? std::string{"refused"}
                                           : response.error().message;
    log_event(log_level::info, "operators_from_peer",
              {{"peer", peer.text()},
               {"prefix", std::string{asked.prefix}},
               {"known_revision", std::to_string(asked.known_revision)},
               {"revision", snapshot ? std::to_string(snapshot->revision) : "none"},
               {"after_ms", milliseconds_text(clock::now() - requested_at)},
               {"outcome", outcome}});
    auto const is_newer = snapshot && (snapshot->revision > asked.known_revision ||
                                       snapshot->configuration_version > asked.known_version);
    if (!is_newer) {
        unanswered_[peer] = clock::now();
        co_return fail(result_code::configuration_missing, peer.text() + ": " + outcome);
    }
    co_return answer{std::move(*snapshot), requested_at};
}

// What this process lacked when it last knew all declarations was declared later, whatever a peer supposes.
// The peer tells the age of the newest declaration of each model only: one before it, which this process
// lacks as well, may be as old as that.
auto operator_sync::take(answer const& received, std::string_view prefix) -> void
{
    auto const now = clock::now();
    auto const& snapshot = received.content;
    auto const earliest = declarations_known_until_();
    for (auto const& item : snapshot.items)
        declared_state_.note_skipped_versions(item, now, earliest);
    declared_state_.replace(prefix, snapshot.items, snapshot.revision, now);
    for (auto const& item : snapshot.items)
        if (auto const age = snapshot.ages.find(item.key); age != snapshot.ages.end())
            declared_state_.correct_declaration(item.key, item.revision,
                                                std::max(earliest, received.requested_at - age->second));
}

} // namespace hibiscuswall
