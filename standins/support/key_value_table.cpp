#include "standins/support/key_value_table.hpp"

#include "hibiscuswall/core/base64.hpp"
#include "hibiscuswall/core/sleep.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

using nlohmann::json;

constexpr auto largest_value = std::size_t{1024 * 1024}; // bytes
constexpr auto kept_values = std::size_t{64}; // that a watch may still bring after they were replaced
constexpr auto longest_watch = milliseconds{30'000};
constexpr auto most_rows = std::size_t{32}; // of one transaction

auto number(http_request const& request, std::string_view name) -> std::uint64_t
{
    return std::strtoull(request.query(name).c_str(), nullptr, 10);
}

auto rows(json const& body, char const* name) -> json
{
    return body.contains(name) && body[name].is_array() ? body[name] : json::array();
}

// 413: a value is too large; 400: too many rows.
auto refusal_of(json const& puts, std::size_t size) -> int
{
    if (size > most_rows) return 400;
    auto const too_large = std::any_of(puts.begin(), puts.end(), [](auto const& put) {
        return decode_base64(put.value("value", "")).value_or("").size() > largest_value;
    });
    return too_large ? 413 : 0;
}

auto rest_of(http_request const& request, std::string_view prefix) -> std::uint64_t
{
    return std::strtoull(std::string{request.path().substr(prefix.size())}.c_str(), nullptr, 10);
}

} // namespace

auto key_value_table::send_body(http_responder& out, int status, std::string body) const
    -> asio::awaitable<void>
{
    auto response = json_response(status, std::move(body));
    if (era > 0) response.headers.set("Store-Era", std::to_string(era));
    co_await out.send(std::move(response));
}

// No coroutine: GCC 12 destroys a JSON temporary inside a co_await expression twice.
auto key_value_table::answer(http_responder& out, int status, json const& body) const -> asio::awaitable<void>
{
    return send_body(out, status, body.dump());
}

auto key_value_table::copy() const -> store_copy { return {entries, revision}; }

auto key_value_table::restore(store_copy held) -> void
{
    entries = std::move(held.entries);
    revision = held.revision;
    leases_.clear();
    std::erase_if(deletions_, [&](auto const& each) { return each.revision > revision; });
    std::erase_if(replaced_, [&](auto const& each) { return each.second.revision > revision; });
    ++era;
    wake();
}

auto key_value_table::serve(http_router& routes) -> void
{
    using out_t = http_responder;
    routes.add("GET", "/kv-key",
               [this](http_request const& request, out_t& out) { return find(request, out); });
    routes.add("GET", "/kv-range",
               [this](http_request const& request, out_t& out) { return range(request, out); });
    routes.add("GET", "/kv-watch",
               [this](http_request const& request, out_t& out) { return watch(request, out); });
    routes.add("POST", "/kv-txn",
               [this](http_request const& request, out_t& out) { return transact(request, out); });
    routes.add("POST", "/kv-lease",
               [this](http_request const& request, out_t& out) { return open_lease(request, out); });
    routes.add("POST", "/kv-keep/",
               [this](http_request const& request, out_t& out) { return keep_lease(request, out); });
    routes.add("DELETE", "/kv-lease-end/",
               [this](http_request const& request, out_t& out) { return end_lease(request, out); });
}

auto key_value_table::stats() const -> json
{
    return json{{"calls", calls},
                {"revision", revision},
                {"keys", entries.size()},
                {"waiting_watches", waiting_.size()},
                {"most_waiting_watches", most_waiting_}};
}

auto key_value_table::wake() -> void
{
    for (auto* each : waiting_)
        each->cancel();
}

auto key_value_table::await_disconnect(http_responder& out) -> asio::awaitable<void>
{
    auto timer = clock_timer{io_, time_point::max()};
    out.on_disconnect([&timer] { timer.cancel(); });
    while (!out.disconnected()) {
        timer.expires_at(time_point::max());
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    out.on_disconnect([] {});
}

// Counts the call, then applies the faults; false when the call was refused or is not answered.
auto key_value_table::begin(std::string const& kind, bool is_write, http_responder& out)
    -> asio::awaitable<bool>
{
    ++calls[kind];
    if (silent || unanswered > 0) {
        if (unanswered > 0) --unanswered;
        co_await await_disconnect(out);
        co_return false;
    }
    if (delay.count() > 0) co_await sleep_for(delay);
    if (down || (is_write && down_for_writes)) {
        ++calls["refused"];
        co_await send_body(out, 503, "{}");
        co_return false;
    }
    expire_leases(clock::now());
    co_return true;
}

auto key_value_table::revision_of(std::string const& key) const -> std::uint64_t
{
    auto const found = entries.find(key);
    return found == entries.end() ? 0 : found->second.revision;
}

auto key_value_table::item(std::string const& key) const -> json { return item_of(key, entries.at(key)); }

auto key_value_table::item_of(std::string const& key, entry const& held) -> json
{
    return json{{"key", key},
                {"value", encode_base64(held.value)},
                {"revision", held.revision},
                {"lease", held.lease}};
}

auto key_value_table::find(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    if (!co_await begin("get", false, out)) co_return;
    auto const key = request.query("key");
    if (!entries.contains(key)) co_return co_await send_body(out, 404, "{}");
    auto held = item(key);
    held["currentRev"] = revision;
    co_await answer(out, 200, held);
}

auto key_value_table::range(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    if (!co_await begin("list", false, out)) co_return;
    auto const prefix = request.query("prefix");
    auto const after = request.query("after");
    auto items = json::array();
    auto at = after.empty() ? entries.lower_bound(prefix) : entries.upper_bound(after);
    for (; at != entries.end() && at->first.starts_with(prefix) && items.size() < page_items; ++at)
        items.push_back(item(at->first));
    auto const more = at != entries.end() && at->first.starts_with(prefix);
    auto const page = json{{"items", items}, {"hasMore", more}, {"currentRev", revision}};
    co_await answer(out, 200, page);
}

auto key_value_table::changes(std::string const& prefix, std::uint64_t after) const -> json
{
    auto found = std::map<std::uint64_t, json>{};
    for (auto const& [key, held] : entries)
        if (key.starts_with(prefix) && held.revision > after) found[held.revision] = item(key);
    for (auto const& [key, old] : replaced_)
        if (key.starts_with(prefix) && old.revision > after) found[old.revision] = item_of(key, old);
    for (auto const& gone : deletions_)
        if (gone.key.starts_with(prefix) && gone.revision > after)
            found[gone.revision] = json{{"key", gone.key}, {"revision", gone.revision}, {"deleted", true}};
    auto events = json::array();
    for (auto& [made, event] : found)
        events.push_back(std::move(event));
    return events;
}

auto key_value_table::watch(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    if (!co_await begin("watch", false, out)) co_return;
    auto const prefix = request.query("prefix");
    auto const after = number(request, "after");
    auto const wait = milliseconds{static_cast<long long>(number(request, "waitMs"))};
    auto const deadline = clock::now() + std::clamp(wait, milliseconds{0}, longest_watch);
    auto timer = clock_timer{io_};
    out.on_disconnect([&timer] { timer.cancel(); });
    waiting_.insert(&timer);
    most_waiting_ = std::max(most_waiting_, waiting_.size());
    auto const is_lost = [&] { return after < compacted || after > revision; };
    auto const has_news = [&] { return is_lost() || !changes(prefix, after).empty(); };
    while (!down && (silent_watches || !has_news()) && clock::now() < deadline && !out.disconnected()) {
        timer.expires_at(deadline);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    waiting_.erase(&timer);
    out.on_disconnect([] {});
    if (silent) co_return co_await await_disconnect(out);
    if (down) co_return co_await send_body(out, 503, "{}");
    if (is_lost()) co_return co_await send_body(out, 410, "{}");
    auto const news = json{{"events", changes(prefix, after)}, {"currentRev", revision}};
    co_await answer(out, 200, news);
}

auto key_value_table::transact(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    auto const body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) co_return co_await send_body(out, 400, "{}");
    auto const puts = rows(body, "puts");
    auto const removals = rows(body, "remove");
    auto const expected = rows(body, "expected");
    if (!co_await begin(puts.empty() ? "delete" : "put", true, out)) co_return;
    if (auto const status = refusal_of(puts, puts.size() + removals.size() + expected.size()); status != 0)
        co_return co_await send_body(out, status, "{}");
    auto const subject = puts.empty() ? (removals.empty() ? std::string{} : removals[0].get<std::string>())
                                      : puts[0].value("key", std::string{});
    if (before_write) before_write(subject);
    auto present = json::array();
    auto holds = true;
    for (auto const& row : expected) {
        auto const key = row.value("key", std::string{});
        holds = holds && revision_of(key) == row.value("revision", std::uint64_t{0});
        if (entries.contains(key)) present.push_back(item(key));
    }
    if (!holds) {
        ++calls["conflict"];
        auto const state = json{{"items", present}};
        co_return co_await answer(out, 412, state);
    }
    apply(puts, removals);
    auto const made = json{{"revision", revision}};
    if (after_write) after_write(subject);
    if (drop_responses > 0 && (loses.empty() || loses == subject)) {
        --drop_responses;
        ++calls["lost_answers"];
        co_await out.start(200, {});
        out.abort();
        co_return;
    }
    co_await answer(out, 200, made);
}

auto key_value_table::apply(json const& puts, json const& removals) -> void
{
    ++revision;
    for (auto const& put : puts) {
        auto const key = put.value("key", std::string{});
        if (auto const old = entries.find(key); old != entries.end())
            replaced_.emplace_back(key, old->second);
        if (replaced_.size() > kept_values) replaced_.pop_front();
        entries[key] = {decode_base64(put.value("value", "")).value_or(""), revision,
                        put.value("lease", std::uint64_t{0})};
        ++writes[key];
    }
    for (auto const& key : removals)
        remove(key.get<std::string>());
    wake();
}

auto key_value_table::put(std::string const& key, std::string const& value) -> void
{
    auto const row = json{{"key", key}, {"value", encode_base64(value)}};
    apply(json::array({row}), json::array());
}

auto key_value_table::remove(std::string const& key) -> void
{
    if (entries.erase(key) > 0) deletions_.push_back({key, revision});
}

auto key_value_table::expire_leases(time_point now) -> void
{
    for (auto at = leases_.begin(); at != leases_.end();) {
        if (at->second.expires > now) {
            ++at;
            continue;
        }
        drop_keys_of(at->first);
        at = leases_.erase(at);
    }
}

auto key_value_table::drop_keys_of(std::uint64_t id) -> void
{
    auto keys = std::vector<std::string>{};
    for (auto const& [key, held] : entries)
        if (held.lease == id) keys.push_back(key);
    for (auto const& key : keys) {
        ++revision;
        remove(key);
    }
    wake();
}

auto key_value_table::open_lease(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    if (!co_await begin("lease", true, out)) co_return;
    auto const body = json::parse(request.body, nullptr, false);
    auto const ttl = milliseconds{body.is_object() ? body.value("ttlMs", 10'000) : 10'000};
    auto const id = next_lease_++;
    leases_[id] = lease{ttl, clock::now() + ttl};
    auto const made = json{{"lease", id}, {"ttlMs", ttl.count()}};
    co_await answer(out, 200, made);
}

auto key_value_table::keep_lease(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    if (!co_await begin("keepalive", true, out)) co_return;
    auto const found = leases_.find(rest_of(request, "/kv-keep/"));
    if (found == leases_.end()) co_return co_await send_body(out, 404, "{}");
    found->second.expires = clock::now() + found->second.ttl;
    auto const kept = json{{"ttlMs", found->second.ttl.count()}};
    co_await answer(out, 200, kept);
}

auto key_value_table::end_lease(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    if (!co_await begin("lease_end", true, out)) co_return;
    auto const id = rest_of(request, "/kv-lease-end/");
    if (leases_.erase(id) == 0) co_return co_await send_body(out, 404, "{}");
    drop_keys_of(id);
    co_await send_body(out, 200, "{}");
}

} // namespace hibiscuswall
