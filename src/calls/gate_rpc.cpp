// JSON-RPC answers of the request gate, call.resolve and endpoint.status, and whose calls it answers for.
#include "gate_state.hpp"

namespace hibiscuswall {
namespace {

constexpr auto incarnations_kept = std::size_t{64}; // of this process; a forgotten one counts as another's

} // namespace

// Whether this process has gone by the incarnation. A number between two of its own may be that of another
// process of the same name, such as the replacement of a paused one: nothing is known here about its calls.
auto request_gate::state::is_own(std::uint64_t incarnation) -> bool
{
    own_incarnations.insert(context.self.incarnation);
    if (own_incarnations.size() > incarnations_kept) own_incarnations.erase(own_incarnations.begin());
    return own_incarnations.contains(incarnation);
}

auto request_gate::state::resolve(nlohmann::json const& params) -> result<nlohmann::json>
{
    if (!params.contains("call_id") || !params["call_id"].is_string() || !params.contains("incarnation") ||
        !params["incarnation"].is_number_unsigned())
        return fail(result_code::request_malformed, "call_id and incarnation are required");
    auto const incarnation = params["incarnation"].get<std::uint64_t>();
    if (!is_own(incarnation)) return nlohmann::json{{"state", "other_incarnation"}};
    auto age = std::optional<milliseconds>{};
    if (params.contains("age_ms") && params["age_ms"].is_number_integer())
        age = milliseconds{params["age_ms"].get<long long>()};
    auto const call_id = params["call_id"].get<std::string>();
    auto const found = registry.resolve(call_id, age, clock::now());
    auto answer = nlohmann::json{};
    switch (found.state) {
    case call_state::running:
        answer["state"] = "running";
        break;
    case call_state::answered:
        answer["state"] = "answered";
        break;
    case call_state::refused:
        answer["state"] = "refused";
        break;
    case call_state::revoked:
        answer["state"] = "revoked";
        break;
    case call_state::unknown:
        // Towards the entry the same as another incarnation: the outcome is unknown, it must not run again.
        answer["state"] = "other_incarnation";
        break;
    }
    if (found.answer)
        answer["answer"] = {{"status", found.answer->status},
                            {"content_type", found.answer->content_type},
                            {"body", found.answer->body}};
    context.events.record("call_resolved", {{"call_id", call_id}, {"state", answer["state"]}});
    return answer;
}

auto request_gate::state::status() const -> nlohmann::json
{
    auto const view = config.current();
    return {{"state", endpoint_state_text(machine.state())},
            {"admission", describe(leaving ? result_code::endpoint_draining : closed).name},
            {"limit", admission.limit()},
            {"cold_limit", admission.cold_limit()},
            {"in_flight", admission.in_flight()},
            {"waiting", admission.waiting()},
            {"weights_version", ordered ? ordered->version : ""},
            {"manifest_digest", ordered ? ordered->manifest_digest : ""},
            {"engine_instance", instance},
            {"config_revision", view == nullptr ? 0 : view->revision}};
}

} // namespace hibiscuswall
