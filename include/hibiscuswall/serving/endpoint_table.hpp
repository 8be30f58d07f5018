#pragma once
// What one entry knows of the endpoints: the store's records, the agents' news, and its own calls.
//
//   auto table = endpoint_table{settings, regions};
//   table.listed(record, now);                 // the store has it
//   table.unlisted(id, store_was_away, now);   // the store no longer has it
//   table.heard(news, now);                    // an agent told the load of its engine
//   table.remove_lapsed(now);                  // now and then
//
// Records that go while the store is away may come back after its return: they are kept for lapse_grace.

#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/serving/endpoint_record.hpp"
#include "hibiscuswall/serving/load_datagram.hpp"
#include "hibiscuswall/serving/sliding_window_counter.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

struct endpoint_state {
    endpoint_record record;              // as the store has it
    std::string region;                  // of its failure domain
    time_point cold_until;               // bears few calls until then
    std::optional<time_point> lapsed_at; // when its record went while the store was away

    // ---- from its agent
    std::optional<engine_news> news; // latest
    time_point heard_at;             // when it came
    time_point paused_at;            // since when it says that it takes nothing
    milliseconds round_trip{0};      // of the latest datagrams to its host and back

    // ---- from this entry's calls
    int in_flight = 0;                      // calls sent and not ended
    int sent_since_news = 0;                // calls sent since the latest news
    int ended_since_news = 0;               // calls ended since the latest news
    int reading_tokens = 0;                 // prompts of calls that wait for their first event
    bool preferred = false;                 // this entry sends here before others do
    int granted = 0;                        // free places of the latest news that are this entry's
    double granted_rest = 0;                // part of a place, kept for the next news
    send_window sends{milliseconds{1'000}}; // for the limit of cold endpoints
    double failure_share = 0;               // of its calls of late, 0 to 1
    time_point avoid_until;                 // after failures
    int failures_in_row = 0;                // since the last good answer

    // Calls that it holds as far as is known here.
    [[nodiscard]] auto load() const -> int;

    // Calls that this entry may add now; limit: calls that an endpoint without news may hold. Entries that
    // see the same free places share them; a place that this entry's own call left is its own.
    [[nodiscard]] auto room(int limit) const -> int;

    // The engine's weights: from its agent where that was heard, else from the record.
    [[nodiscard]] auto weights() const -> std::optional<loaded_weights> const&;
};

using endpoint_ptr = std::shared_ptr<endpoint_state>;

struct endpoint_table_settings {
    // A record that went with the store's outage may come back; an endpoint that really left is bound to 2 s.
    milliseconds lapse_grace{1'500};
    milliseconds news_lifetime{1'500}; // older news of a load says nothing
};

class endpoint_table {
public:
    // regions: region of each failure domain; self: name of this entry.
    endpoint_table(endpoint_table_settings settings, std::map<std::string, std::string, std::less<>> regions,
                   std::string self, random_source& random)
        : settings_{settings}, regions_{std::move(regions)}, self_{std::move(self)}, random_{random}
    {
    }

    auto listed(endpoint_record const& record, time_point now) -> void;
    auto unlisted(std::string_view id, bool store_was_away, time_point now) -> void;

    // The store's whole content: ids that are not among the records are unlisted.
    auto replace(std::vector<endpoint_record> const& records, bool store_was_away, time_point now) -> void;

    auto heard(engine_news const& news, microseconds round_trip, time_point now) -> void;
    auto remove_lapsed(time_point now) -> void;

    // Deals the engines of each service and region out to the entries of that region, so that mostly one
    // entry sends to an engine and knows what it has to read. Every entry deals alike; now and then.
    auto deal_out() -> void;

    // ---- own calls
    static auto sent(endpoint_state& endpoint, time_point now) -> void;
    static auto ended(endpoint_state& endpoint) -> void;
    static auto succeeded(endpoint_state& endpoint) -> void;
    static auto failed(endpoint_state& endpoint, time_point now) -> void;

    [[nodiscard]] auto of_service(std::string_view service) const -> std::vector<endpoint_ptr>;
    [[nodiscard]] auto all() const -> std::map<std::string, endpoint_ptr, std::less<>> const&
    {
        return endpoints_;
    }
    [[nodiscard]] auto settings() const -> endpoint_table_settings const& { return settings_; }

private:
    auto grant(endpoint_state& endpoint, engine_news const& news) -> void;

    endpoint_table_settings settings_;
    std::map<std::string, std::string, std::less<>> regions_;
    std::string self_;
    random_source& random_;
    std::map<std::string, endpoint_ptr, std::less<>> endpoints_; // by id
};

} // namespace hibiscuswall
