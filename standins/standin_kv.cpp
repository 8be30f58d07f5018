// Stand-in for the platform's key-value service: compare-and-swap, leases, watches by long poll
// (docs/platform.md).
#include "support/standin_program.hpp"

#include "hibiscuswall/core/sleep.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <set>

using namespace hibiscuswall;

namespace {

constexpr auto largest_value = std::size_t{1024 * 1024}; // bytes
constexpr auto longest_watch = milliseconds{60'000};

struct entry {
    std::string value;
    std::uint64_t revision = 0; // of the last change
    std::string lease;          // empty: none
};

struct lease {
    milliseconds ttl{0};
    time_point expires;
};

// What POST /v1/fault sets.
struct fault_settings {
    bool unavailable = false; // answer 503 and do nothing
    bool unavailable_for_writes = false;
    milliseconds delay{0}; // before each call
    int lose_answers = 0;  // writes that take effect but whose answer is cut
};

class key_value_standin {
public:
    explicit key_value_standin(standin_program& program) : program_{program}
    {
        using out_t = http_responder;
        program.add("GET", "/v1/kv/",
                    [this](http_request const& request, out_t& out) { return find(request, out); });
        program.add("PUT", "/v1/kv/",
                    [this](http_request const& request, out_t& out) { return put(request, out); });
        program.add("DELETE", "/v1/kv/",
                    [this](http_request const& request, out_t& out) { return erase(request, out); });
        program.add("GET", "/v1/list",
                    [this](http_request const& request, out_t& out) { return list(request, out); });
        program.add("GET", "/v1/watch",
                    [this](http_request const& request, out_t& out) { return watch(request, out); });
        program.add("POST", "/v1/leases",
                    [this](http_request const& request, out_t& out) { return open_lease(request, out); });
        program.add("POST", "/v1/leases/",
                    [this](http_request const& request, out_t& out) { return keep_alive(request, out); });
        program.add("DELETE", "/v1/leases/",
                    [this](http_request const& request, out_t& out) { return close_lease(request, out); });
        program.add("GET", "/v1/stats",
                    [this](http_request const& /*request*/, out_t& out) { return stats(out); });
        program.add("POST", "/v1/fault",
                    [this](http_request const& request, out_t& out) { return fault(request, out); });
    }

private:
    // Counts the call, then applies the fault settings; false when the call was refused.
    auto begin(std::string const& kind, bool is_write, http_responder& out) -> asio::awaitable<bool>
    {
        ++calls_[kind];
        if (faults_.delay.count() > 0) co_await sleep_for(faults_.delay);
        if (faults_.unavailable || (is_write && faults_.unavailable_for_writes)) {
            ++calls_["refused"];
            co_await send_status(out, 503);
            co_return false;
        }
        expire_leases(clock::now());
        co_return true;
    }

    // Answers a write, or cuts the answer when that fault is set.
    auto answer_write(http_responder& out, int status, std::uint64_t revision) -> asio::awaitable<void>
    {
        if (faults_.lose_answers > 0) {
            --faults_.lose_answers;
            ++calls_["lost_answers"];
            co_await out.start(status, {});
            out.abort();
            co_return;
        }
        co_await send_field(out, status, "revision", revision);
    }

    static auto key_of(http_request const& request) -> std::string
    {
        return percent_decode(path_after(request, "/v1/kv/"));
    }

    auto revision_of(std::string const& key) const -> std::uint64_t
    {
        auto const found = entries_.find(key);
        return found == entries_.end() ? 0 : found->second.revision;
    }

    // Whether ?expect= holds; absent: always.
    auto expected(http_request const& request, std::string const& key) const -> bool
    {
        return !request.has_query("expect") || request.query("expect") == std::to_string(revision_of(key));
    }

    auto wake(std::string const& key) -> void
    {
        auto const [first, last] = waiting_.equal_range(key);
        for (auto at = first; at != last; ++at)
            at->second->cancel();
    }

    auto expire_leases(time_point now) -> void
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

    auto drop_keys_of(std::string const& id) -> void
    {
        for (auto at = entries_.begin(); at != entries_.end();) {
            if (at->second.lease != id) {
                ++at;
                continue;
            }
            ++revision_;
            wake(at->first);
            at = entries_.erase(at);
        }
    }

    auto send_entry(http_responder& out, entry const& found) -> asio::awaitable<void>
    {
        auto answer = http_response{200, {}, found.value};
        answer.headers.set("X-Revision", static_cast<long long>(found.revision));
        co_await out.send(std::move(answer));
    }

    auto find(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        if (!co_await begin("get", false, out)) co_return;
        auto const found = entries_.find(key_of(request));
        if (found == entries_.end()) co_return co_await send_status(out, 404);
        co_await send_entry(out, found->second);
    }

    auto put(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        if (!co_await begin("put", true, out)) co_return;
        auto const key = key_of(request);
        if (request.body.size() > largest_value) co_return co_await send_status(out, 413);
        auto const holder = request.query("lease");
        if (!holder.empty() && !leases_.contains(holder)) co_return co_await send_status(out, 404);
        if (!expected(request, key)) {
            ++calls_["conflict"];
            co_return co_await answer_write(out, 409, revision_of(key));
        }
        entries_[key] = entry{request.body, ++revision_, holder};
        wake(key);
        co_await answer_write(out, 200, revision_);
    }

    auto erase(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        if (!co_await begin("delete", true, out)) co_return;
        auto const key = key_of(request);
        if (!entries_.contains(key)) co_return co_await send_status(out, 404);
        if (!expected(request, key)) co_return co_await answer_write(out, 409, revision_of(key));
        entries_.erase(key);
        ++revision_;
        wake(key);
        co_await answer_write(out, 200, revision_);
    }

    auto list(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        if (!co_await begin("list", false, out)) co_return;
        auto const prefix = request.query("prefix");
        auto keys = nlohmann::json::array();
        for (auto at = entries_.lower_bound(prefix); at != entries_.end() && at->first.starts_with(prefix);
             ++at)
            keys.push_back({{"key", at->first}, {"revision", at->second.revision}});
        auto const report = nlohmann::json{{"revision", revision_}, {"keys", keys}};
        co_await send_json(out, 200, report);
    }

    auto watch(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        if (!co_await begin("watch", false, out)) co_return;
        auto const key = request.query("key");
        auto const after = std::strtoull(request.query("after").c_str(), nullptr, 10);
        auto const wait = milliseconds{std::strtoll(request.query("wait_ms").c_str(), nullptr, 10)};
        auto const deadline = clock::now() + std::clamp(wait, milliseconds{0}, longest_watch);
        auto timer = asio::steady_timer{program_.io()};
        out.on_disconnect([&timer] { timer.cancel(); });
        auto const place = waiting_.emplace(key, &timer);
        most_waiting_ = std::max(most_waiting_, waiting_.size());
        while (revision_of(key) <= after && clock::now() < deadline && !out.disconnected() &&
               !faults_.unavailable) {
            timer.expires_at(deadline);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        waiting_.erase(place);
        out.on_disconnect([] {});
        auto const found = entries_.find(key);
        if (faults_.unavailable) co_return co_await send_status(out, 503);
        if (found == entries_.end() || found->second.revision <= after)
            co_return co_await send_status(out, 204);
        co_await send_entry(out, entry{found->second});
    }

    auto open_lease(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        if (!co_await begin("lease", true, out)) co_return;
        auto const ttl = milliseconds{body_object(request).value("ttl_ms", 10'000)};
        auto const id = program_.random().id();
        leases_[id] = lease{ttl, clock::now() + ttl};
        co_await send_field(out, 200, "id", id);
    }

    auto keep_alive(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        if (!co_await begin("keepalive", true, out)) co_return;
        auto const rest = path_after(request, "/v1/leases/");
        auto const found = leases_.find(rest.substr(0, rest.find('/')));
        if (found == leases_.end() || !rest.ends_with("/keepalive")) co_return co_await send_status(out, 404);
        found->second.expires = clock::now() + found->second.ttl;
        co_await send_status(out, 200);
    }

    auto close_lease(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        if (!co_await begin("lease_end", true, out)) co_return;
        auto const id = path_after(request, "/v1/leases/");
        if (leases_.erase(id) == 0) co_return co_await send_status(out, 404);
        drop_keys_of(id);
        co_await send_status(out, 200);
    }

    auto stats(http_responder& out) -> asio::awaitable<void>
    {
        auto const report = nlohmann::json{{"calls", calls_},
                                           {"revision", revision_},
                                           {"keys", entries_.size()},
                                           {"waiting_watches", waiting_.size()},
                                           {"most_waiting_watches", most_waiting_}};
        co_await send_json(out, 200, report);
    }

    auto fault(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        auto const body = body_object(request);
        faults_.unavailable = body.value("unavailable", false);
        faults_.unavailable_for_writes = body.value("unavailable_for_writes", false);
        faults_.delay = milliseconds{body.value("delay_ms", 0)};
        faults_.lose_answers = body.value("lose_answers", 0);
        // Waiting watches end with the outage, as they would with the service's process.
        if (faults_.unavailable)
            for (auto const& waiter : waiting_)
                waiter.second->cancel();
        co_await send_json(out, 200, body);
    }

    standin_program& program_;
    std::map<std::string, entry> entries_;
    std::map<std::string, lease> leases_;
    std::multimap<std::string, asio::steady_timer*> waiting_;
    std::map<std::string, std::uint64_t> calls_;
    fault_settings faults_;
    std::uint64_t revision_ = 0;
    std::size_t most_waiting_ = 0;
};

} // namespace

auto main(int argc, char** argv) -> int
{
    auto program = standin_program{"standin-kv", "stand-in for the key-value service"};
    if (auto const code = program.parse(argc, argv)) return *code;
    auto const service = key_value_standin{program};
    return program.run();
}
