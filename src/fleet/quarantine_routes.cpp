#include "hibiscuswall/fleet/quarantine_routes.hpp"

#include "hibiscuswall/observe/log.hpp"

#include <nlohmann/json.hpp>

namespace hibiscuswall {
namespace {

using nlohmann::json;

constexpr auto list_path = std::string_view{"/fleet/quarantine"};
constexpr auto segments_path = std::string_view{"/fleet/quarantine/"}; // followed by model and segment

// Names come from callers and need not be valid UTF-8.
auto text_of(json const& document) -> std::string
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

auto segment_state_text(segment_state state) -> std::string_view
{
    switch (state) {
    case segment_state::cleared:
        return "cleared";
    case segment_state::suspected:
        return "suspected";
    case segment_state::on_trial:
        return "on_trial";
    case segment_state::explained:
        return "explained";
    case segment_state::quarantined:
        return "quarantined";
    }
    return "unknown";
}

auto status_json(std::span<segment_status const> statuses) -> std::string
{
    auto list = json::array();
    for (auto const& status : statuses)
        list.push_back({{"model", status.model},
                        {"segment", status.segment},
                        {"state", segment_state_text(status.state)},
                        {"generation", status.generation},
                        {"crashes", status.crashes},
                        {"age_ms", status.age.count()},
                        {"trial_in_ms", status.trial_in.count()}});
    return text_of(list);
}

auto segment_name_from(std::string_view path) -> std::optional<segment_name>
{
    if (!path.starts_with(segments_path)) return std::nullopt;
    auto const names = path.substr(segments_path.size());
    auto const separator = names.rfind('/');
    if (separator == std::string_view::npos) return std::nullopt;
    auto name =
        segment_name{percent_decode(names.substr(0, separator)), percent_decode(names.substr(separator + 1))};
    if (name.model.empty() || name.segment.empty()) return std::nullopt;
    return name;
}

quarantine_routes::quarantine_routes(process_context& context, prompt_quarantine& quarantine,
                                     std::function<void()> on_change)
    : quarantine_{quarantine}, on_change_{std::move(on_change)}
{
    context.control.add("GET", list_path,
                        [this](http_request const&, http_responder& out) -> asio::awaitable<void> {
                            co_await out.send(list());
                        });
    context.control.add("DELETE", segments_path,
                        [this](http_request const& request, http_responder& out) -> asio::awaitable<void> {
                            co_await out.send(clear(request));
                        });
}

auto quarantine_routes::list() const -> http_response
{
    return json_response(200, status_json(quarantine_.status(clock::now())));
}

auto quarantine_routes::clear(http_request const& request) -> http_response
{
    auto const name = segment_name_from(request.path());
    if (!name)
        return json_response(
            400, text_of({{"message", "the path has to be /fleet/quarantine/{model}/{segment}"}}));
    if (!quarantine_.clear(name->model, name->segment, clock::now()))
        return json_response(404, text_of({{"message", "the segment is neither suspected nor quarantined"}}));
    log_event(log_level::info, "quarantine_lifted", {{"model", name->model}, {"segment", name->segment}});
    on_change_();
    return json_response(200, text_of({{"model", name->model}, {"segment", name->segment}}));
}

} // namespace hibiscuswall
