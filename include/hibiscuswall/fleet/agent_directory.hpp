#pragma once
// Lists the agents of this process's service, as an entry tells them, or derived from the endpoint records in
// the platform's store if no entry does. It is read only on refresh(), because agents contact each other only
// during weight transfers.
//
//   auto directory = agent_directory{client, store, self, regions, [&] { return loads.entries(); }};
//   co_await directory.refresh(clock::now());        // reads at most once a second
//   for (auto const& agent : directory.agents()) ...

#include "hibiscuswall/fleet/agent_list.hpp"
#include "hibiscuswall/membership/member.hpp"
#include "platform/key_value_client.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hibiscuswall {

class agent_directory {
public:
    // `entries` returns the peer addresses of the entries to ask, in order.
    agent_directory(http_client& client, key_value_client& store, member const& self,
                    std::map<std::string, std::string, std::less<>> regions,
                    std::function<std::vector<address>()> entries)
        : client_{client}, store_{store}, self_{self}, regions_{std::move(regions)}, entries_{
                                                                                         std::move(entries)}
    {
    }

    // Keeps the previous list if neither an entry nor the store tells one; the next call then reads again.
    auto refresh(time_point now) -> asio::awaitable<void>;

    // Each agent is named by its engine's IP address and listed once. Includes this process once it is
    // listed.
    [[nodiscard]] auto agents() const -> std::vector<member> const& { return agents_; }

    // Changes whenever the list was read again; 0 before the first time.
    [[nodiscard]] auto generation() const -> std::uint64_t { return generation_; }

    // Region of a failure domain; empty if the failure domain is unknown.
    [[nodiscard]] auto region_of(std::string_view domain) const -> std::string;

    // Position of this agent in the rendezvous order of all agents for the subject, as a fraction in (0, 1].
    // The order differs between subjects.
    [[nodiscard]] auto rank(std::string_view subject) const -> double;

private:
    auto ask_entries() -> asio::awaitable<result<std::vector<listed_agent>>>;
    auto ask_entry(address entry) -> asio::awaitable<result<std::vector<listed_agent>>>;
    auto read_store() -> asio::awaitable<result<std::vector<listed_agent>>>;
    auto add_agent(listed_agent const& listed) -> void;

    http_client& client_;
    key_value_client& store_;
    member const& self_;
    std::map<std::string, std::string, std::less<>> regions_;
    std::function<std::vector<address>()> entries_;
    std::vector<member> agents_;
    mutable std::map<std::string, double, std::less<>> ranks_; // by subject, valid for agents_
    std::uint64_t generation_ = 0;
    time_point refreshed_at_;
};

} // namespace hibiscuswall
