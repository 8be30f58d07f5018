// Rate limits that endpoints name, as known to one entry.
#include "hibiscuswall/serving/endpoint_table.hpp"

#include "hibiscuswall/core/rendezvous.hpp"

namespace hibiscuswall {

auto endpoint_table::record_rate(tracked_endpoint& endpoint, rate_statement const& stated,
                                 time_point requested_at, time_point received_at) -> void
{
    auto const before = endpoint.rate.limit();
    endpoint.rate.on_response(stated, requested_at, received_at);
    apply_rate(endpoint, before, rate_source::response, received_at);
}

auto endpoint_table::merge_rate(tracked_endpoint& endpoint, rate_knowledge const& known, rate_source source,
                                time_point now) -> void
{
    auto const before = endpoint.rate.limit();
    endpoint.rate.merge(known);
    apply_rate(endpoint, before, source, now);
}

auto endpoint_table::apply_rate(tracked_endpoint& endpoint, std::optional<double> before, rate_source source,
                                time_point now) -> void
{
    auto const limit = endpoint.rate.limit();
    if (limit == before) return;
    share_rate(endpoint, now);
    if (on_rate_change_) on_rate_change_(endpoint, before, source);
}

auto endpoint_table::share_rate(tracked_endpoint& endpoint, time_point now) -> void
{
    endpoint.rate_divider = divider_of(endpoint);
    endpoint.share.set_limit(endpoint.rate.limit(), endpoint.sender_count, random_.fraction(), now);
}

// Every entry chooses the same one, of the endpoint's region if that has senders.
auto endpoint_table::divider_of(tracked_endpoint const& endpoint) const -> std::string
{
    auto own_region = std::vector<std::string>{};
    for (auto const& name : endpoint.senders)
        for (auto const& entry : entries_)
            if (entry.name == name && entry.region == endpoint.region) own_region.push_back(name);
    auto const& names = own_region.empty() ? endpoint.senders : own_region;
    return names.empty() ? std::string{} : rendezvous_rank(endpoint.record.where.text(), names).front();
}

auto endpoint_table::find_run(address const& where, std::uint64_t started_at_ms) const -> endpoint_ptr
{
    for (auto const& [id, endpoint] : endpoints_)
        if (endpoint->record.where == where && endpoint->record.started_at_ms == started_at_ms)
            return endpoint;
    return nullptr;
}

} // namespace hibiscuswall
