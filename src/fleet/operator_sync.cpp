#include "hibiscuswall/fleet/operator_sync.hpp"

#include "hibiscuswall/core/base64.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "platform/operator_documents.hpp"

#include <nlohmann/json.hpp>

namespace hibiscuswall {
namespace {

using nlohmann::json;

constexpr auto look_period = milliseconds{100};
constexpr auto patience = milliseconds{300}; // the store's own watch is usually as fast
constexpr auto connect_timeout = milliseconds{800};
constexpr auto fetch_timeout = milliseconds{2'500}; // a whole configuration over a shared link
constexpr auto all_path = std::string_view{"/fleet/operators"};
constexpr auto weights_path = std::string_view{"/fleet/weights"};
constexpr auto services_path = std::string_view{"/fleet/services"};

} // namespace

auto encode(operator_snapshot const& snapshot) -> std::string
{
    auto items = json::array();
    for (auto const& item : snapshot.items)
        items.push_back(json::array({item.key, encode_base64(item.value), item.revision}));
    return json{{"revision", snapshot.revision}, {"items", items}}.dump();
}

auto decode_operator_snapshot(std::string_view text) -> std::optional<operator_snapshot>
{
    try {
        auto const document = json::parse(text);
        auto snapshot = operator_snapshot{};
        snapshot.revision = document.at("revision").get<std::uint64_t>();
        for (auto const& item : document.at("items")) {
            auto value = decode_base64(item.at(1).get<std::string>());
            if (!value) return std::nullopt;
            snapshot.items.push_back(
                {item.at(0).get<std::string>(), std::move(*value), item.at(2).get<std::uint64_t>()});
        }
        return snapshot;
    } catch (json::exception const&) {
        return std::nullopt; // a peer of another version
    }
}

operator_exchange::operator_exchange(process_context& context, fleet_state& fleet, operator_part part,
                                     peer_function newer_peer)
    : context_{context}, fleet_{fleet}, part_{part}, newer_peer_{std::move(newer_peer)}
{
    auto const answer = [](http_responder& out, operator_snapshot snapshot) -> asio::awaitable<void> {
        co_await out.send(json_response(200, encode(snapshot)));
    };
    context_.control.add("GET", all_path, [this, answer](http_request const&, http_responder& out) {
        return answer(out, {fleet_.revision(), fleet_.items(platform::operator_prefix)});
    });
    context_.control.add("GET", weights_path, [this, answer](http_request const&, http_responder& out) {
        return answer(out, {fleet_.weights_revision(), fleet_.items(platform::weights_prefix)});
    });
    context_.control.add("GET", services_path, [this, answer](http_request const&, http_responder& out) {
        return answer(out, services());
    });
}

// Many agents ask after a start of all: the document is made once for each configuration.
auto operator_exchange::services() -> operator_snapshot
{
    auto items = fleet_.items(platform::configuration_key);
    if (items.empty() || items.front().revision == services_.revision) return services_;
    auto small = platform::services_only(items.front().value);
    if (!small) return services_;
    items.front().value = std::move(small).value();
    services_.revision = items.front().revision;
    services_.items = std::move(items);
    return services_;
}

auto operator_exchange::run() -> asio::awaitable<void>
{
    auto behind_since = std::optional<time_point>{};
    while (true) {
        co_await sleep_for(look_period);
        auto const peer = newer_peer_();
        auto const now = clock::now();
        if (!peer) {
            behind_since.reset();
            continue;
        }
        if (!behind_since) behind_since = now;
        // A process that knows nothing yet does not wait for the store.
        if (fleet_.map() != nullptr && now - *behind_since < patience) continue;
        co_await fetch(*peer);
        behind_since.reset();
    }
}

auto operator_exchange::fetch(address peer) -> asio::awaitable<void>
{
    auto options = http_call_options{};
    options.connect_timeout = connect_timeout;
    options.timeout = fetch_timeout;
    options.purpose = "operators";
    auto const is_whole = part_ == operator_part::all;
    auto const lacks_services = !is_whole && fleet_.map() == nullptr;
    auto const path = is_whole ? all_path : lacks_services ? services_path : weights_path;
    auto const prefix = is_whole         ? platform::operator_prefix
                        : lacks_services ? platform::configuration_key
                                         : platform::weights_prefix;
    auto const known = is_whole ? fleet_.revision() : lacks_services ? 0 : fleet_.weights_revision();
    auto answer = co_await context_.client.fetch(peer, {"GET", std::string{path}}, options);
    auto snapshot = std::optional<operator_snapshot>{};
    if (answer && answer.value().status == 200) snapshot = decode_operator_snapshot(answer.value().body);
    auto const knows_nothing = snapshot && snapshot->revision == 0; // it has just started itself
    auto const outcome = knows_nothing ? std::string{"knows nothing"}
                         : snapshot    ? std::string{"taken"}
                         : answer      ? std::string{"refused"}
                                       : answer.error().message;
    log_event(log_level::info, "operators_from_peer",
              {{"peer", peer.text()},
               {"prefix", std::string{prefix}},
               {"known_revision", std::to_string(known)},
               {"revision", snapshot ? std::to_string(snapshot->revision) : "none"},
               {"outcome", outcome}});
    if (!snapshot || snapshot->revision < known) co_return;
    fleet_.replace(prefix, snapshot->items, snapshot->revision, clock::now());
    if (is_whole) fleet_.agree(snapshot->revision);
}

} // namespace hibiscuswall
