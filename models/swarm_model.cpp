#include "models/swarm_model.hpp"

#include "hibiscuswall/weights/fetch_window.hpp"
#include "models/flow_network.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hibiscuswall::models {
namespace {

constexpr auto step = milliseconds{5};
constexpr auto plan_interval = milliseconds{20};       // between runs of an agent's chunk plan
constexpr auto connect_timeout = milliseconds{500};    // to a peer that is cut off
constexpr auto source_retry_delay = milliseconds{200}; // after a failed fetch from the origin
constexpr auto min_progress = 0.2;                     // of a chunk within a progress deadline
constexpr auto same_region_receivers = std::size_t{8}; // of holdings, in a round
constexpr auto other_region_receivers = std::size_t{2};
constexpr auto complete_announce_rounds = std::size_t{3};
constexpr auto announce_duration = milliseconds{6'000}; // after an agent is whole

auto point(milliseconds at) -> time_point { return time_point{} + seconds{1'000} + at; }

auto seconds_of(milliseconds span) -> double { return std::chrono::duration<double>(span).count(); }

struct modelled_agent {
    std::string name;
    std::size_t region = 0;
    bool is_source_fetcher = false;
    bool is_cut_at_times = false;
    milliseconds starts{0};
    std::unique_ptr<chunk_plan> plan;
    fetch_window window{0};
    std::size_t uploads = 0;
    flow_network::link_id up = 0;
    flow_network::link_id down = 0;
    std::vector<bool> held;
    std::vector<bool> told; // chunks that the fetchers of other regions were told of
    std::size_t announce_round = 0;
    std::optional<milliseconds> whole_at;
};

// A request for a chunk, and the flow of its response once that has begun.
struct modelled_fetch {
    std::size_t agent = 0;
    chunk_fetch what;
    std::size_t sender = 0; // unused for the origin
    milliseconds begun{0};
    milliseconds responds_at{0};
    std::optional<flow_network::flow_id> flow;
    milliseconds watched_since{0};
    double remaining_then = 0;
};

class swarm {
public:
    explicit swarm(swarm_settings const& settings) : settings_{settings}, random_{settings.seed}
    {
        name_chunks();
        add_links();
        add_agents();
        add_plans();
    }

    auto run() -> swarm_result
    {
        for (now_ = milliseconds{0}; now_ < settings_.end && whole_ < agents_.size(); now_ += step) {
            change_links();
            answer_requests();
            carry_chunks();
            end_stalled_fetches();
            if (now_ % plan_interval == milliseconds{0}) run_plans();
            announce();
        }
        return result();
    }

private:
    // ---- the fleet

    auto name_chunks() -> void
    {
        for (auto i = std::size_t{0}; i < settings_.chunks; ++i)
            chunks_.push_back({"chunk-" + std::to_string(settings_.seed) + "-" + std::to_string(i),
                               static_cast<std::uint64_t>(settings_.chunk_bytes)});
        known_at_.resize(settings_.chunks);
    }

    auto add_links() -> void
    {
        origin_ = network_.add_link(settings_.origin_rate);
        for (auto i = std::size_t{0}; i < settings_.regions * settings_.regions; ++i)
            region_pairs_.push_back(network_.add_link(settings_.region_pair_rate));
    }

    auto add_agents() -> void
    {
        auto const span = settings_.start.until - settings_.start.from;
        for (auto i = std::size_t{0}; i < settings_.agents; ++i) {
            auto& agent = agents_.emplace_back();
            agent.name = "agent-" + std::to_string(i);
            agent.region = i % settings_.regions;
            agent.is_cut_at_times = random_.fraction() < settings_.cut_share;
            agent.starts =
                settings_.start.from +
                milliseconds{static_cast<long long>(random_.fraction() * static_cast<double>(span.count()))};
            agent.up = network_.add_link(settings_.agent_rate * settings_.upload_share);
            agent.down = network_.add_link(settings_.agent_rate);
            agent.window = fetch_window{settings_.plan.fetches};
            agent.held.resize(settings_.chunks);
            agent.told.resize(settings_.chunks);
            agent.announce_round = i;
            index_of_[agent.name] = i;
        }
    }

    // The origin is in region 0.
    auto add_plans() -> void
    {
        auto const id = "model/" + std::to_string(settings_.seed);
        for (auto& agent : agents_) {
            auto hosts = std::vector<plan_host>{};
            for (auto const& other : agents_)
                hosts.push_back({other.name, other.region == agent.region, other.region == 0});
            hosts = limit_source_fetchers(id, std::move(hosts), settings_.source_fetchers);
            auto const is_self = [&](plan_host const& host) { return host.name == agent.name; };
            agent.is_source_fetcher = std::find_if(hosts.begin(), hosts.end(), is_self)->is_source_fetcher;
            agent.plan = std::make_unique<chunk_plan>(chunks_, agent.name, settings_.plan, point({}));
            agent.plan->set_hosts(std::move(hosts), point(agent.starts));
        }
        for (auto region = std::size_t{1}; region < settings_.regions; ++region) {
            auto names = std::vector<std::string>{};
            for (auto const& agent : agents_)
                if (agent.region == region) names.push_back(agent.name);
            region_fetchers_.push_back(region_fetchers(chunks_, names));
        }
    }

    // ---- trouble

    [[nodiscard]] auto is_cut(modelled_agent const& agent) const -> bool
    {
        return agent.is_cut_at_times && settings_.cut.contains(now_);
    }

    [[nodiscard]] auto is_origin_away() const -> bool { return settings_.origin_away.contains(now_); }

    auto change_links() -> void
    {
        network_.set_rate(origin_, is_origin_away() ? 0 : settings_.origin_rate);
        for (auto const& agent : agents_) {
            auto const rate = is_cut(agent) ? 0 : settings_.agent_rate;
            network_.set_rate(agent.up, rate * settings_.upload_share);
            network_.set_rate(agent.down, rate);
        }
    }

    // ---- fetches

    auto run_plans() -> void
    {
        for (auto i = std::size_t{0}; i < agents_.size(); ++i) {
            auto& agent = agents_[i];
            if (now_ < agent.starts || agent.whole_at) continue;
            while (auto what = agent.plan->next(point(now_), random_))
                request(i, *what);
        }
    }

    auto request(std::size_t agent, chunk_fetch const& what) -> void
    {
        auto fetch = modelled_fetch{};
        fetch.agent = agent;
        fetch.what = what;
        fetch.begun = now_;
        if (!what.from_source()) fetch.sender = index_of_.at(what.peer);
        auto const no_response =
            is_cut(agents_[agent]) || (what.from_source() ? is_origin_away() : is_cut(agents_[fetch.sender]));
        auto const timeout = what.from_source() ? settings_.plan.progress_deadline : connect_timeout;
        fetch.responds_at = now_ + (no_response ? timeout : settings_.request_time);
        fetches_.push_back(fetch);
    }

    auto answer_requests() -> void
    {
        for (auto i = std::size_t{0}; i < fetches_.size();) {
            auto& fetch = fetches_[i];
            if (!fetch.flow && fetch.responds_at <= now_) {
                if (auto const failure = begin_response(fetch)) {
                    end_failed(i, *failure);
                    continue;
                }
            }
            ++i;
        }
    }

    // The failure of a request that gets no chunk.
    auto begin_response(modelled_fetch& fetch) -> std::optional<fetch_failure>
    {
        auto& agent = agents_[fetch.agent];
        auto links = std::vector{agent.down};
        if (fetch.responds_at - fetch.begun > settings_.request_time || is_cut(agent))
            return fetch_failure::unreachable;
        if (fetch.what.from_source()) {
            if (is_origin_away()) return fetch_failure::unreachable;
            links.push_back(origin_);
        } else {
            auto& sender = agents_[fetch.sender];
            if (is_cut(sender)) return fetch_failure::unreachable;
            agent.plan->on_peer_holdings(sender.name, sender.held, point(now_));
            if (!sender.held[fetch.what.chunk]) return fetch_failure::absent;
            if (sender.uploads >= settings_.upload_slots) return fetch_failure::busy;
            ++sender.uploads;
            links.push_back(sender.up);
            if (sender.region != agent.region)
                links.push_back(region_pairs_[sender.region * settings_.regions + agent.region]);
        }
        fetch.flow = network_.open(std::move(links), settings_.chunk_bytes);
        fetch.watched_since = now_;
        fetch.remaining_then = settings_.chunk_bytes;
        return std::nullopt;
    }

    auto carry_chunks() -> void
    {
        for (auto const ended : network_.advance(seconds_of(step))) {
            auto const found = std::find_if(fetches_.begin(), fetches_.end(),
                                            [&](auto const& fetch) { return fetch.flow == ended; });
            auto const fetch = *found;
            fetches_.erase(found);
            end_fetch(fetch);
            auto& agent = agents_[fetch.agent];
            agent.plan->on_chunk_verified(fetch.what.chunk);
            agent.held[fetch.what.chunk] = true;
            if (!known_at_[fetch.what.chunk]) known_at_[fetch.what.chunk] = now_;
            if (!agent.plan->complete()) continue;
            agent.whole_at = now_;
            ++whole_;
        }
    }

    auto end_stalled_fetches() -> void
    {
        for (auto i = std::size_t{0}; i < fetches_.size();) {
            auto& fetch = fetches_[i];
            if (!fetch.flow || now_ - fetch.watched_since < settings_.plan.progress_deadline) {
                ++i;
                continue;
            }
            auto const remaining = network_.remaining(*fetch.flow);
            if (fetch.remaining_then - remaining >= min_progress * settings_.chunk_bytes) {
                fetch.watched_since = now_;
                fetch.remaining_then = remaining;
                ++i;
                continue;
            }
            network_.close(*fetch.flow);
            end_failed(i, fetch_failure::stalled);
        }
    }

    auto end_failed(std::size_t index, fetch_failure failure) -> void
    {
        auto const fetch = fetches_[index];
        fetches_.erase(fetches_.begin() + static_cast<std::ptrdiff_t>(index));
        end_fetch(fetch);
        auto& plan = *agents_[fetch.agent].plan;
        plan.on_fetch_failed(fetch.what, failure, point(now_));
        if (fetch.what.from_source()) plan.pause_source(point(now_ + source_retry_delay));
    }

    auto end_fetch(modelled_fetch const& fetch) -> void
    {
        auto& agent = agents_[fetch.agent];
        agent.plan->on_fetch_ended(fetch.what);
        if (fetch.what.from_source()) return;
        if (fetch.flow) --agents_[fetch.sender].uploads;
        agent.window.on_fetch_ended(now_ - fetch.begun);
        agent.plan->set_max_peer_fetches(agent.window.size());
    }

    // ---- holdings

    auto announce() -> void
    {
        for (auto i = std::size_t{0}; i < agents_.size(); ++i) {
            auto const offset = step * (i % static_cast<std::size_t>(settings_.announce_interval / step));
            if (now_ % settings_.announce_interval == offset) announce_from(agents_[i]);
        }
    }

    auto announce_from(modelled_agent& agent) -> void
    {
        ++agent.announce_round;
        if (now_ < agent.starts || is_cut(agent)) return;
        if (agent.whole_at && (now_ - *agent.whole_at > announce_duration ||
                               agent.announce_round % complete_announce_rounds != 0))
            return;
        tell_in_turn(agent, true, same_region_receivers);
        tell_in_turn(agent, false, other_region_receivers);
        if (agent.region == 0) tell_region_fetchers(agent);
        if (agent.whole_at) return;
        for (auto& other : agents_)
            if (other.is_source_fetcher) tell(agent, other);
    }

    auto tell_in_turn(modelled_agent const& agent, bool same_region, std::size_t count) -> void
    {
        auto receivers = std::vector<modelled_agent*>{};
        for (auto& other : agents_)
            if ((other.region == agent.region) == same_region && &other != &agent)
                receivers.push_back(&other);
        for (auto i = std::size_t{0}; i < std::min(count, receivers.size()); ++i)
            tell(agent, *receivers[(agent.announce_round * count + i) % receivers.size()]);
    }

    auto tell_region_fetchers(modelled_agent& agent) -> void
    {
        for (auto chunk = std::size_t{0}; chunk < chunks_.size(); ++chunk) {
            if (!agent.held[chunk] || (agent.told[chunk] && !agent.is_source_fetcher)) continue;
            agent.told[chunk] = true;
            for (auto const& fetchers : region_fetchers_)
                tell(agent, agents_[index_of_.at(fetchers[chunk])]);
        }
    }

    auto tell(modelled_agent const& sender, modelled_agent& receiver) -> void
    {
        if (&sender == &receiver || is_cut(receiver) || receiver.whole_at || now_ < receiver.starts) return;
        receiver.plan->on_peer_holdings(sender.name, sender.held, point(now_));
    }

    // ---- result

    [[nodiscard]] auto result() const -> swarm_result
    {
        auto result = swarm_result{};
        result.agents = agents_.size();
        for (auto const& agent : agents_)
            if (agent.whole_at) result.whole_at.push_back(*agent.whole_at);
        for (auto const& known : known_at_)
            if (known) result.known_at.push_back(*known);
        std::sort(result.whole_at.begin(), result.whole_at.end());
        std::sort(result.known_at.begin(), result.known_at.end());
        auto const copy = settings_.chunk_bytes * static_cast<double>(settings_.chunks);
        result.origin_copies = network_.carried(origin_) / copy;
        return result;
    }

    swarm_settings settings_;
    random_source random_;
    milliseconds now_{0};
    flow_network network_;
    flow_network::link_id origin_ = 0;
    std::vector<flow_network::link_id> region_pairs_; // sender's region * regions + receiver's
    std::vector<chunk_entry> chunks_;
    std::vector<std::optional<milliseconds>> known_at_;
    std::vector<modelled_agent> agents_;
    std::map<std::string, std::size_t, std::less<>> index_of_;
    std::vector<std::vector<std::string>> region_fetchers_; // of regions 1 and higher, by chunk
    std::vector<modelled_fetch> fetches_;
    std::size_t whole_ = 0;
};

} // namespace

auto agent_plan_settings() -> chunk_plan_settings
{
    auto plan = chunk_plan_settings{};
    plan.helps_source_fetchers = true;
    plan.fetches = 3;
    plan.progress_deadline = milliseconds{800};
    plan.avoid_duration = milliseconds{5'000};
    return plan;
}

auto swarm_result::whole_share_at(double share) const -> milliseconds
{
    auto const count = static_cast<std::size_t>(std::ceil(share * static_cast<double>(agents)));
    return count == 0 || count > whole_at.size() ? milliseconds::max() : whole_at[count - 1];
}

auto simulate(swarm_settings const& settings) -> swarm_result { return swarm{settings}.run(); }

} // namespace hibiscuswall::models
