#pragma once
// The platform's key-value service in memory, in the dialect that docs/platform.md describes: conditional
// writes, leases, ranges by pages and watches of a prefix, with the faults that tests need.
//
//   auto table = key_value_table{io};
//   table.serve(routes);
//   table.drop_responses = 1;          // the next write takes effect but its answer is cut
//   table.down = true;               // every call answers 503

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/core/timer.hpp"
#include "hibiscuswall/http/http_router.hpp"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hibiscuswall {

class key_value_table {
public:
    struct entry {
        std::string value;
        std::uint64_t revision = 0; // of the last change
        std::uint64_t lease = 0;    // 0: none
    };

    // What a later restore() brings back.
    struct store_copy {
        std::map<std::string, entry> entries;
        std::uint64_t revision = 0;
    };

    explicit key_value_table(asio::io_context& io) : io_{io} {}

    auto serve(http_router& routes) -> void;

    // Calls by kind, revision, keys and waiting watches.
    [[nodiscard]] auto stats() const -> nlohmann::json;

    // Writes a value without a call.
    auto put(std::string const& key, std::string const& value) -> void;

    // Waiting watches look again: after a change of entries, of down or of compacted.
    auto wake() -> void;

    // Goes back to a copy: later writes and all leases are lost, revisions are given out again, the era
    // rises.
    [[nodiscard]] auto copy() const -> store_copy;
    auto restore(store_copy held) -> void;

    // ---- content
    std::map<std::string, entry> entries;
    std::uint64_t revision = 0;
    std::uint64_t era = 0;                      // named in all responses; 0: not named
    std::uint64_t compacted = 0;                // history up to this revision is gone: 410
    bool silent_watches = false;                // waiting watches are told of nothing before their time is up
    std::map<std::string, int> writes;          // by key
    std::map<std::string, std::uint64_t> calls; // by kind

    // ---- faults
    bool down = false;            // answer 503 and do nothing
    bool down_for_writes = false; // the same, for writes
    bool silent = false;          // calls that arrive or wait meanwhile are never answered
    std::size_t unanswered = 0;   // next calls that are never answered
    milliseconds delay{0};        // before each call
    int drop_responses = 0;       // writes that take effect but whose answer is cut
    std::string loses;            // key whose answers are lost; empty: any
    std::size_t page_items = 500; // of a range
    std::function<void(std::string const& key)> before_write;
    std::function<void(std::string const& key)> after_write;

private:
    struct lease {
        milliseconds ttl{0};
        time_point expires;
    };
    struct deletion {
        std::string key;
        std::uint64_t revision = 0;
    };

    auto begin(std::string const& kind, bool is_write, http_responder& out) -> asio::awaitable<bool>;
    auto await_disconnect(http_responder& out) -> asio::awaitable<void>;
    auto find(http_request const& request, http_responder& out) -> asio::awaitable<void>;
    auto range(http_request const& request, http_responder& out) -> asio::awaitable<void>;
    auto watch(http_request const& request, http_responder& out) -> asio::awaitable<void>;
    auto transact(http_request const& request, http_responder& out) -> asio::awaitable<void>;
    auto open_lease(http_request const& request, http_responder& out) -> asio::awaitable<void>;
    auto keep_lease(http_request const& request, http_responder& out) -> asio::awaitable<void>;
    auto end_lease(http_request const& request, http_responder& out) -> asio::awaitable<void>;

    auto send_body(http_responder& out, int status, std::string body) const -> asio::awaitable<void>;
    auto answer(http_responder& out, int status, nlohmann::json const& body) const -> asio::awaitable<void>;
    auto apply(nlohmann::json const& puts, nlohmann::json const& removals) -> void;
    auto remove(std::string const& key) -> void;
    auto expire_leases(time_point now) -> void;
    auto drop_keys_of(std::uint64_t id) -> void;
    [[nodiscard]] auto revision_of(std::string const& key) const -> std::uint64_t;
    [[nodiscard]] auto item(std::string const& key) const -> nlohmann::json;
    [[nodiscard]] static auto item_of(std::string const& key, entry const& held) -> nlohmann::json;
    [[nodiscard]] auto changes(std::string const& prefix, std::uint64_t after) const -> nlohmann::json;

    asio::io_context& io_;
    std::vector<deletion> deletions_;
    std::deque<std::pair<std::string, entry>> replaced_; // values that keys had, oldest first
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t next_lease_ = 1;
    std::set<clock_timer*> waiting_;
    std::size_t most_waiting_ = 0;
};

} // namespace hibiscuswall
