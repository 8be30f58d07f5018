#include "hibiscuswall/fleet/rate_status.hpp"

#include "hibiscuswall/observe/log.hpp"

#include <nlohmann/json.hpp>

namespace hibiscuswall {
namespace {

auto rate_text(std::optional<double> calls_per_second) -> std::string
{
    return calls_per_second ? std::to_string(*calls_per_second) : "none";
}

auto source_text(endpoint_table::rate_source source) -> std::string
{
    switch (source) {
    case endpoint_table::rate_source::response:
        return "response";
    case endpoint_table::rate_source::engine_report:
        return "engine_report";
    case endpoint_table::rate_source::entry:
        return "entry";
    }
    return "unknown";
}

} // namespace

auto rate_limits_json(endpoint_table const& endpoints, time_point now) -> std::string
{
    auto list = nlohmann::json::array();
    for (auto const& [id, endpoint] : endpoints.all()) {
        auto const limit = endpoint->rate.limit();
        if (!limit) continue;
        list.push_back({{"endpoint", id},
                        {"service", endpoint->record.service},
                        {"calls_per_second", *limit},
                        {"own_calls_per_second", endpoint->share.calls_per_second(now)},
                        {"available", endpoint->share.available(now)},
                        {"senders", endpoint->sender_count},
                        {"divider", endpoint->rate_divider},
                        {"has_grant", endpoint->share.has_grant(now)}});
    }
    return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto log_rate_change(tracked_endpoint const& endpoint, std::optional<double> before,
                     endpoint_table::rate_source source, time_point now) -> void
{
    auto const limit = endpoint.rate.limit();
    auto const* event = !limit    ? "endpoint_limit_ended"
                        : !before ? "endpoint_limit_named"
                                  : "endpoint_limit_changed";
    log_event(log_level::info, event,
              {{"endpoint", endpoint.record.id},
               {"calls_per_second", rate_text(limit)},
               {"before", rate_text(before)},
               {"own_calls_per_second", rate_text(endpoint.share.calls_per_second(now))},
               {"senders", std::to_string(endpoint.sender_count)},
               {"divider", endpoint.rate_divider.empty() ? "none" : endpoint.rate_divider},
               {"source", source_text(source)}});
}

} // namespace hibiscuswall
