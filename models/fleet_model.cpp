#include "models/fleet_model.hpp"

#include "models/engine_model.hpp"
#include "models/event_queue.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hibiscuswall::models {
namespace {

constexpr auto service_name = "s";
constexpr auto failure_domain = "zone-a";
constexpr auto region = "region-a";
constexpr auto start = time_point{} + seconds{1'000};
constexpr auto use_sample_interval = milliseconds{10};

struct modelled_call {
    std::size_t entry = 0;
    std::size_t engine = 0;
    time_point arrived_at;
    endpoint_ptr endpoint; // at which a slot is reserved
    waiter queue_entry;
    bool waits = false;
};

struct modelled_entry {
    std::unique_ptr<endpoint_table> endpoints;
    std::unique_ptr<wait_queue> queue;
    std::vector<std::size_t> waiting; // calls
};

class fleet {
public:
    explicit fleet(fleet_settings const& settings)
        : settings_{settings}, random_{settings.seed}, events_{start}
    {
        service_.name = service_name;
        service_.engine = settings.engine;
        route_.target_latency = settings.target_latency;
        add_engines();
        add_entries();
    }

    auto run() -> fleet_result
    {
        for (auto i = std::size_t{0}; i < entries_.size(); ++i)
            schedule_arrival(i);
        for (auto i = std::size_t{0}; i < engines_.size(); ++i)
            schedule_report(i);
        sample_use();
        events_.run_until(start + settings_.duration);
        std::sort(result_.first_event.begin(), result_.first_event.end());
        result_.used_share /= static_cast<double>(std::max<std::size_t>(1, samples_));
        return std::move(result_);
    }

private:
    // ---- the fleet

    [[nodiscard]] auto record_of(std::size_t engine) const -> endpoint_record
    {
        auto record = endpoint_record{};
        record.id = "engine-" + std::to_string(engine);
        record.service = service_name;
        record.where = {"10.0.0." + std::to_string(engine + 1), 80};
        record.failure_domain = failure_domain;
        record.slots = settings_.engine.slots;
        record.weights = loaded_weights{settings_.engine.model, 1, 0, settings_.engine.layers};
        return record;
    }

    auto add_engines() -> void
    {
        for (auto i = std::size_t{0}; i < settings_.engines; ++i)
            engines_.emplace_back(settings_.engine, settings_.engine_queue);
    }

    auto add_entries() -> void
    {
        auto listed = std::vector<listed_entry>{};
        for (auto i = std::size_t{0}; i < settings_.entries; ++i)
            listed.push_back({"entry-" + std::to_string(i), region});
        for (auto i = std::size_t{0}; i < settings_.entries; ++i) {
            auto& entry = entries_.emplace_back();
            entry.endpoints = std::make_unique<endpoint_table>(
                endpoint_table_settings{},
                std::map<std::string, std::string, std::less<>>{{failure_domain, region}}, listed[i].name,
                random_);
            entry.queue = std::make_unique<wait_queue>(settings_.waiting.max_waiting);
            entry.endpoints->set_entries(listed, 0);
            for (auto engine = std::size_t{0}; engine < engines_.size(); ++engine)
                entry.endpoints->add_or_update(record_of(engine), start);
            entry.endpoints->update_assignment(start);
            for (auto engine = std::size_t{0}; engine < engines_.size(); ++engine)
                entry.endpoints->on_load_report(report_of(engine), microseconds{0}, start);
            entry.endpoints->assign_preferred_entries();
        }
    }

    // ---- load reports

    [[nodiscard]] auto report_of(std::size_t engine) const -> load_report
    {
        auto const record = record_of(engine);
        auto report = load_report{};
        report.where = record.where;
        report.running = engines_[engine].running();
        report.queued = engines_[engine].queued();
        report.weights = record.weights;
        report.subscriber_count = static_cast<int>(settings_.entries);
        for (auto i = std::size_t{0}; i < settings_.entries; ++i)
            report.same_region_entries.push_back("entry-" + std::to_string(i));
        std::sort(report.same_region_entries.begin(), report.same_region_entries.end());
        return report;
    }

    // The agents' rounds are evenly spread over the interval.
    auto schedule_report(std::size_t engine) -> void
    {
        auto const offset = settings_.report_interval * (engine + 1) / settings_.engines;
        events_.add(start + offset, [this, engine] { take_report(engine); });
    }

    auto take_report(std::size_t engine) -> void
    {
        auto const arrives = events_.now() + settings_.report_age + settings_.link_delay;
        events_.add(arrives, [this, report = report_of(engine)] {
            for (auto i = std::size_t{0}; i < entries_.size(); ++i) {
                auto const round_trip = std::chrono::duration_cast<microseconds>(2 * settings_.link_delay);
                entries_[i].endpoints->on_load_report(report, round_trip, events_.now());
                dispatch_waiting(i);
            }
        });
        events_.add(events_.now() + settings_.report_interval, [this, engine] { take_report(engine); });
    }

    // ---- calls

    // Calls arrive at random times; the bound's rate is thinned to the rate at that moment.
    auto schedule_arrival(std::size_t entry) -> void
    {
        auto const gap = -std::log(1 - random_.fraction()) / settings_.max_calls_per_second;
        auto const next =
            events_.now() + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(gap));
        events_.add(next, [this, entry] {
            auto const at = std::chrono::duration_cast<milliseconds>(events_.now() - start);
            auto const kept = settings_.calls_per_second(entry, at) / settings_.max_calls_per_second;
            if (random_.fraction() < kept) arrive(entry);
            schedule_arrival(entry);
        });
    }

    auto arrive(std::size_t entry) -> void
    {
        ++result_.calls;
        auto const call = calls_.size();
        calls_.emplace_back().entry = entry;
        calls_[call].arrived_at = events_.now();
        auto const decision = next_endpoint(call);
        auto const* found = std::get_if<placed>(&decision);
        // Calls that are already waiting have precedence.
        if (found != nullptr && entries_[entry].queue->size() == 0) return send(call, found->endpoint);
        auto const limit = wait_limit(route_, service_, settings_.prompt_tokens, settings_.waiting);
        if (limit <= milliseconds{0}) return count_refusal();
        begin_waiting(call, limit);
    }

    auto next_endpoint(std::size_t call) -> placement
    {
        auto request = placement_call{};
        request.service = service_name;
        request.definition = &service_;
        request.prompt_tokens = settings_.prompt_tokens;
        request.region = region;
        auto const candidates = entries_[calls_[call].entry].endpoints->endpoints_of_service(service_name);
        return place(request, candidates, {}, settings_.placement, events_.now(), random_);
    }

    auto begin_waiting(std::size_t call, milliseconds limit) -> void
    {
        auto& entry = entries_[calls_[call].entry];
        auto& queue_entry = calls_[call].queue_entry;
        queue_entry.until = events_.now() + limit;
        if (!entry.queue->add(queue_entry)) return count_refusal();
        calls_[call].waits = true;
        entry.waiting.push_back(call);
        events_.add(queue_entry.until, [this, call] {
            if (!calls_[call].waits) return;
            end_waiting(call);
            count_refusal();
        });
        dispatch_waiting(calls_[call].entry);
    }

    auto end_waiting(std::size_t call) -> void
    {
        auto& entry = entries_[calls_[call].entry];
        calls_[call].waits = false;
        entry.queue->remove(calls_[call].queue_entry);
        std::erase(entry.waiting, call);
    }

    // All calls have the same priority, so that the order of arrival is the queue's.
    auto dispatch_waiting(std::size_t entry) -> void
    {
        for (auto const call : std::vector{entries_[entry].waiting}) {
            auto const decision = next_endpoint(call);
            auto const* found = std::get_if<placed>(&decision);
            if (found == nullptr) continue;
            end_waiting(call);
            send(call, found->endpoint);
        }
    }

    auto count_refusal() -> void
    {
        ++result_.refused;
        if (2 * running() < slots()) ++result_.refused_while_half_free;
    }

    auto send(std::size_t call, endpoint_ptr const& endpoint) -> void
    {
        endpoint_table::record_send(*endpoint, events_.now());
        endpoint->unprocessed_prompt_tokens += settings_.prompt_tokens;
        calls_[call].endpoint = endpoint;
        calls_[call].engine = engine_of(endpoint->record.id);
        events_.add(events_.now() + settings_.link_delay, [this, call] { reach_engine(call); });
    }

    [[nodiscard]] auto engine_of(std::string const& id) const -> std::size_t
    {
        return static_cast<std::size_t>(std::stoul(id.substr(id.rfind('-') + 1)));
    }

    auto reach_engine(std::size_t call) -> void
    {
        auto& engine = engines_[calls_[call].engine];
        auto const was_idle = !engine.pass_end();
        if (!engine.add({call, settings_.prompt_tokens, settings_.response_tokens}, events_.now())) {
            ++result_.rejected_by_engines;
            events_.add(events_.now() + settings_.link_delay, [this, call] {
                end(call);
                count_refusal();
            });
            return;
        }
        result_.max_running = std::max(result_.max_running, engine.running() + engine.queued());
        if (was_idle) schedule_pass(calls_[call].engine);
    }

    auto schedule_pass(std::size_t engine) -> void
    {
        if (auto const end = engines_[engine].pass_end())
            events_.add(*end, [this, engine] { end_pass(engine); });
    }

    auto end_pass(std::size_t engine) -> void
    {
        for (auto const& each : engines_[engine].end_pass(events_.now())) {
            auto const call = each.call;
            if (each.is_first)
                events_.add(events_.now() + settings_.link_delay, [this, call] { on_first_event(call); });
            if (each.has_ended)
                events_.add(events_.now() + settings_.link_delay, [this, call] {
                    end(call);
                    dispatch_waiting(calls_[call].entry);
                });
        }
        schedule_pass(engine);
    }

    auto on_first_event(std::size_t call) -> void
    {
        calls_[call].endpoint->unprocessed_prompt_tokens -= settings_.prompt_tokens;
        result_.first_event.push_back(
            std::chrono::duration_cast<milliseconds>(events_.now() - calls_[call].arrived_at));
    }

    auto end(std::size_t call) -> void { endpoint_table::record_end(*calls_[call].endpoint); }

    // ---- use of the slots

    [[nodiscard]] auto running() const -> int
    {
        auto sum = 0;
        for (auto const& each : engines_)
            sum += each.running();
        return sum;
    }

    [[nodiscard]] auto slots() const -> int
    {
        return settings_.engine.slots * static_cast<int>(engines_.size());
    }

    auto sample_use() -> void
    {
        ++samples_;
        result_.used_share += static_cast<double>(running()) / slots();
        events_.add(events_.now() + use_sample_interval, [this] { sample_use(); });
    }

    fleet_settings settings_;
    random_source random_;
    event_queue events_;
    service_definition service_;
    call_route route_;
    std::vector<engine_model> engines_;
    std::vector<modelled_entry> entries_;
    std::deque<modelled_call> calls_; // kept in place: the wait queue refers to them
    fleet_result result_;
    std::size_t samples_ = 0;
};

} // namespace

auto small_engine() -> engine_profile
{
    auto engine = engine_profile{};
    engine.model = "m";
    engine.slots = 16;
    engine.step_ms = 20;
    engine.prompt_tokens_per_ms = 20;
    return engine;
}

auto fleet_result::refused_share() const -> double
{
    return calls == 0 ? 0 : static_cast<double>(refused) / static_cast<double>(calls);
}

auto fleet_result::first_event_percentile(double share) const -> milliseconds
{
    if (first_event.empty()) return milliseconds{0};
    auto const rank = std::ceil(share * static_cast<double>(first_event.size()));
    return first_event[static_cast<std::size_t>(
                           std::clamp(rank, 1.0, static_cast<double>(first_event.size()))) -
                       1];
}

auto simulate(fleet_settings const& settings) -> fleet_result { return fleet{settings}.run(); }

} // namespace hibiscuswall::models
