#include "hibiscuswall/fleet/agent_directory.hpp"

#include "hibiscuswall/core/hedged.hpp"
#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "platform/endpoint_records.hpp"

#include <algorithm>
#include <set>

namespace hibiscuswall {
namespace {

constexpr auto refresh_interval = milliseconds{1'000};
constexpr auto max_entries_asked = std::size_t{2};   // before the store is read
constexpr auto next_entry_delay = milliseconds{200}; // until the next entry is asked as well

} // namespace

auto agent_directory::refresh(time_point now) -> asio::awaitable<void>
{
    if (refreshed_at_ != time_point{} && now - refreshed_at_ < refresh_interval) co_return;
    auto found = co_await ask_entries();
    auto const is_told = found.has_value();
    if (!is_told) found = co_await read_store();
    if (!found) co_return;
    refreshed_at_ = now;
    agents_.clear();
    ranks_.clear();
    ++generation_;
    for (auto const& listed : found.value())
        add_agent(listed);
    log_event(log_level::info, "agents_listed",
              {{"agents", std::to_string(agents_.size())},
               {"source", is_told ? "entry" : "store"},
               {"after_ms", milliseconds_text(clock::now() - now)}});
}

auto agent_directory::ask_entries() -> asio::awaitable<result<std::vector<listed_agent>>>
{
    auto const entries = entries_();
    if (entries.empty()) co_return fail(result_code::store_unavailable, "no entry is known");
    auto const ask = [this, entries](std::size_t index) { return ask_entry(entries[index]); };
    auto const count = std::min(max_entries_asked, entries.size());
    co_return co_await hedged<std::vector<listed_agent>>(count, {next_entry_delay}, ask);
}

auto agent_directory::ask_entry(address entry) -> asio::awaitable<result<std::vector<listed_agent>>>
{
    auto found = co_await fetch_agent_list(client_, entry, self_.service);
    if (!found)
        log_event(log_level::info, "agents_not_told",
                  {{"entry", entry.text()}, {"reason", found.error().message}});
    co_return found;
}

auto agent_directory::read_store() -> asio::awaitable<result<std::vector<listed_agent>>>
{
    auto const found = co_await store_.range(std::string{platform::endpoint_prefix}, true);
    if (!found) co_return found.error();
    auto agents = std::vector<listed_agent>{};
    auto addresses = std::set<std::string, std::less<>>{};
    for (auto const& item : found.value().items) {
        auto const record = platform::decode_endpoint(item.key, item.value);
        if (!record || record.value().service != self_.service) continue;
        // After a loss of power, the record of an engine's former run remains until its lease ends.
        if (addresses.insert(record.value().where.ip).second)
            agents.push_back({record.value().where.ip, record.value().failure_domain});
    }
    co_return agents;
}

auto agent_directory::add_agent(listed_agent const& listed) -> void
{
    auto agent = member{};
    agent.name = listed.ip;
    agent.control_address = {listed.ip, self_.control_address.port};
    agent.failure_domain = listed.failure_domain;
    agent.region = region_of(listed.failure_domain);
    agents_.push_back(std::move(agent));
}

auto agent_directory::region_of(std::string_view domain) const -> std::string
{
    auto const found = regions_.find(domain);
    return found == regions_.end() ? std::string{} : found->second;
}

auto agent_directory::rank(std::string_view subject) const -> double
{
    if (auto const known = ranks_.find(subject); known != ranks_.end()) return known->second;
    auto names = std::vector<std::string>{};
    for (auto const& agent : agents_)
        names.push_back(agent.name);
    if (std::find(names.begin(), names.end(), self_.name) == names.end()) names.push_back(self_.name);
    auto const order = rendezvous_rank(subject, names);
    auto const position = std::find(order.begin(), order.end(), self_.name) - order.begin();
    auto const rank = static_cast<double>(position + 1) / static_cast<double>(order.size());
    ranks_.emplace(subject, rank);
    return rank;
}

} // namespace hibiscuswall
