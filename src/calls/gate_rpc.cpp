// JSON-RPC methods of the request gate, call.resolve and endpoint.status, and the check of the incarnations
// for which call.resolve may respond.
#include "gate_state.hpp"

namespace hibiscuswall {
namespace {

// Incarnations of this process that are stored; an evicted one is treated as another process's.
constexpr auto max_own_incarnations = std::size_t{64};

} // namespace

// Whether this process had the incarnation when it started or when a call arrived. A number between two of
// its own may belong to another process of the same name, such as the replacement of a paused one, whose
// calls are not recorded here.
auto request_gate::state::is_own_incarnation(std::uint64_t incarnation) -> bool
{
    own_incarnations.insert(context.self.incarnation);
    if (own_incarnations.size() > max_own_incarnations) own_incarnations.erase(own_incarnations.begin());
    return own_incarnations.contains(incarnation);
}

auto request_gate::state::resolve(nlohmann::json const& params) -> result<nlohmann::json>
{
    if (!params.contains("call_id") || !params["call_id"].is_string() || !params.contains("incarnation") ||
        !params["incarnation"].is_number_unsigned())
        return fail(result_code::request_malformed,
                    "call.resolve: expected call_id (string) and incarnation (unsigned integer)");
    auto const incarnation = params["incarnation"].get<std::uint64_t>();
    if (!is_own_incarnation(incarnation)) return nlohmann::json{{"state", "other_incarnation"}};
    auto age = std::optional<milliseconds>{};
    if (params.contains("age_ms") && params["age_ms"].is_number_integer())
        age = milliseconds{params["age_ms"].get<long long>()};
    auto const call_id = params["call_id"].get<std::string>();
    auto const resolution = registry.resolve(call_id, age, clock::now());
    auto response = nlohmann::json{};
    switch (resolution.state) {
    case call_state::running:
        response["state"] = "running";
        break;
    case call_state::answered:
        response["state"] = "answered";
        break;
    case call_state::refused:
        response["state"] = "refused";
        break;
    case call_state::revoked:
        response["state"] = "revoked";
        break;
    case call_state::unknown:
        // For the entry the same as another incarnation: the outcome is unknown and the call must not run
        // again.
        response["state"] = "other_incarnation";
        break;
    }
    if (resolution.response)
        response["answer"] = {{"status", resolution.response->status},
                              {"content_type", resolution.response->content_type},
                              {"body", resolution.response->body}};
    context.events.record("call_resolved", {{"call_id", call_id}, {"state", response["state"]}});
    return response;
}

auto request_gate::state::status() const -> nlohmann::json
{
    auto const view = config.current();
    return {{"state", endpoint_state_text(machine.state())},
            {"admission", describe(leaving ? result_code::endpoint_draining : admission_code).name},
            {"limit", admission.limit()},
            {"cold_limit", admission.cold_limit()},
            {"rate_limit", rate.limit() ? nlohmann::json(*rate.limit()) : nlohmann::json{}},
            {"in_flight", admission.in_flight()},
            {"waiting", admission.waiting()},
            {"weights_version", ordered_weights ? ordered_weights->version : ""},
            {"manifest_digest", ordered_weights ? ordered_weights->manifest_digest : ""},
            {"engine_instance", instance},
            {"config_revision", view == nullptr ? 0 : view->revision}};
}

} // namespace hibiscuswall
