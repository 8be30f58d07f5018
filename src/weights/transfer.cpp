#include "hibiscuswall/weights/transfer.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/weights/chunk_bitmap.hpp"
#include "hibiscuswall/weights/progress_watch.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto loop_pause = milliseconds{20};    // until a busy peer or a waiting source is looked at again
constexpr auto gather_pause = milliseconds{4};   // events within it share one run of the chunk plan
constexpr auto source_pause = milliseconds{200}; // after a bad or stalled chunk from a source
constexpr auto hosts_period = milliseconds{500}; // between looks at the member table
constexpr auto survey_peers = std::size_t{16};   // asked before the first draw, so that a restarted host
                                                 // does not draw what its region already holds
constexpr auto survey_time = milliseconds{500};  // longest wait for their answers

auto failure_name(fetch_failure why) -> std::string_view
{
    switch (why) {
    case fetch_failure::busy:
        return "busy";
    case fetch_failure::absent:
        return "absent";
    case fetch_failure::stalled:
        return "stalled";
    case fetch_failure::unreachable:
        return "unreachable";
    case fetch_failure::corrupt:
        return "corrupt";
    case fetch_failure::limited:
        return "limited";
    }
    return "unknown";
}

auto to_failure(error const& problem) -> fetch_failure
{
    if (problem.code == result_code::connect_failed || problem.code == result_code::connection_lost)
        return fetch_failure::unreachable;
    // An answer that cannot be read as HTTP is a damaged one, too.
    return problem.code == result_code::response_malformed ? fetch_failure::corrupt : fetch_failure::stalled;
}

} // namespace

transfer::transfer(transfer_parts& parts, manifest_ptr version, host_function hosts, std::string near_source)
    : parts_{parts}, version_{std::move(version)}, hosts_{std::move(hosts)},
      near_source_{std::move(near_source)}, plan_{version_->chunks, parts.context.self.name,
                                                  parts.settings.plan, clock::now()},
      window_{parts.settings.plan.fetches}, woken_{parts.context.io, time_point::max()}
{
}

auto transfer::cancel() -> void
{
    cancelled_ = true;
    wake();
}

auto transfer::wait(milliseconds longest) -> asio::awaitable<void>
{
    woken_.expires_after(longest);
    co_await woken_.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto transfer::refresh_hosts() -> void
{
    hosts_refreshed_ = clock::now();
    auto const& self = parts_.context.self;
    auto const draws = [&](member const& host) {
        return near_source_.empty() || host.region == near_source_;
    };
    auto list = std::vector<plan_host>{{self.name, true, draws(self)}};
    if (parts_.settings.peers) {
        for (auto const& host : hosts_()) {
            addresses_[host.name] = host.control_address;
            if (host.name != self.name) list.push_back({host.name, host.region == self.region, draws(host)});
        }
    }
    plan_.set_hosts(limit_drawers(version_->id(), std::move(list), parts_.settings.source_fetchers),
                    hosts_refreshed_);
}

auto transfer::run(bool asks_first) -> asio::awaitable<result<void>>
{
    auto const self = shared_from_this();
    refresh_hosts();
    note_held();
    if (asks_first) co_await survey();
    asio::co_spawn(parts_.context.io, poll_loop(), asio::detached);
    while (!cancelled_) {
        if (plan_.complete()) {
            if (co_await verify_whole()) break;
            cancelled_ = true;
            co_return fail(result_code::manifest_invalid,
                           version_->id() + ": the chunks match, the whole does not");
        }
        if (clock::now() - hosts_refreshed_ > hosts_period) {
            refresh_hosts();
            note_held();
        }
        start_fetches();
        co_await wait(loop_pause);
        co_await sleep_for(gather_pause);
    }
    auto const was_cancelled = cancelled_;
    cancelled_ = true; // ends the poll loop
    if (was_cancelled) co_return fail(result_code::cancelled, version_->id() + ": transfer cancelled");
    co_return success();
}

// Chunks may also come from an earlier version, or from its transfer that is still ending.
auto transfer::note_held() -> void
{
    for (auto i = std::size_t{0}; i < version_->chunks.size(); ++i)
        if (!plan_.is_held(i) && parts_.store.find(version_->chunks[i].sha256) != nullptr) plan_.held(i);
}

auto transfer::start_fetches() -> void
{
    while (auto what = plan_.next(clock::now(), parts_.context.random))
        asio::co_spawn(parts_.context.io, fetch(*what), asio::detached);
}

auto transfer::survey() -> asio::awaitable<void>
{
    auto const names = plan_.peers_to_ask(survey_peers, clock::now());
    for (auto const& name : names)
        asio::co_spawn(parts_.context.io, poll(name), asio::detached);
    auto const until = clock::now() + survey_time;
    while (polls_ > 0 && clock::now() < until && !cancelled_)
        co_await wait(loop_pause);
}

auto transfer::poll_loop() -> asio::awaitable<void>
{
    auto const self = shared_from_this();
    while (!cancelled_) {
        if (parts_.settings.poll_peers == 0) co_return;
        for (auto const& name : plan_.peers_to_ask(parts_.settings.poll_peers, clock::now()))
            if (polls_ < 2 * parts_.settings.poll_peers)
                asio::co_spawn(parts_.context.io, poll(name), asio::detached);
        co_await sleep_for(parts_.settings.poll_period);
    }
}

auto transfer::peer_has(std::string_view peer, std::vector<bool> const& chunks) -> void
{
    plan_.peer_has(peer, chunks, clock::now());
    wake();
}

auto transfer::poll(std::string name) -> asio::awaitable<void>
{
    auto const self = shared_from_this();
    ++polls_;
    auto params = nlohmann::json{{"version", version_->id()}};
    auto answer = co_await rpc_call(parts_.context.client, addresses_[name], "weights.have",
                                    std::move(params), parts_.settings.peer_timeout);
    --polls_;
    if (!answer)
        plan_.peer_unreachable(name, clock::now());
    else if (answer.value().is_object())
        plan_.peer_has(name, chunks_from_hex(answer.value().value("chunks", ""), version_->chunks.size()),
                       clock::now());
    if (polls_ == 0) wake();
}

auto transfer::fetch(chunk_fetch what) -> asio::awaitable<void>
{
    auto const self = shared_from_this();
    // No conditional expression around co_await: GCC 12 destroys its temporaries twice.
    auto got = fetched{fetch_failure::absent};
    auto source = address{}; // the one that answered
    auto const begun = clock::now();
    if (what.from_source())
        got = co_await from_source(what.chunk, source);
    else
        got = co_await from_peer(what.chunk, what.peer);
    plan_.ended(what);
    if (!what.from_source()) {
        window_.ended(clock::now() - begun);
        plan_.limit_fetches(window_.size());
    }
    wake();
    if (auto const* why = std::get_if<fetch_failure>(&got)) {
        note_failure(what, *why, source);
        co_return;
    }
    auto const bytes = std::get<chunk_bytes>(got);
    auto const& entry = version_->chunks[what.chunk];
    auto parts = std::vector<chunk_bytes>{bytes};
    auto good = bytes->size() == entry.size;
    if (good) good = co_await parts_.digests.matches(std::move(parts), entry.sha256);
    if (!good) {
        note_failure(what, fetch_failure::corrupt, source);
        wake();
        co_return;
    }
    auto const took = std::chrono::duration_cast<milliseconds>(clock::now() - begun).count();
    log_event(log_level::debug, "chunk_fetched",
              {{"version", version_->id()},
               {"chunk", std::to_string(what.chunk)},
               {"from", what.from_source() ? "source" : what.peer},
               {"took_ms", std::to_string(took)}});
    parts_.store.add(entry.sha256, bytes);
    plan_.held(what.chunk);
    parts_.context.metrics_registry.count("weights_fetched_bytes",
                                          {{"from", what.from_source() ? "source" : "peer"}},
                                          static_cast<double>(bytes->size()));
    wake();
}

auto transfer::note_failure(chunk_fetch const& what, fetch_failure why, address const& source) -> void
{
    plan_.failed(what, why, clock::now());
    parts_.context.metrics_registry.count("weights_fetch_failures", {{"reason", failure_name(why)}});
    if (why == fetch_failure::busy || why == fetch_failure::limited || why == fetch_failure::absent) return;
    if (what.from_source()) {
        parts_.source.mark_suspect(source, clock::now());
        plan_.pause_source(std::max(parts_.source.available_at(), clock::now() + source_pause));
    }
    auto const sender = what.from_source() ? "source " + source.text() : what.peer;
    auto const reason = std::string{failure_name(why)};
    auto const chunk = std::to_string(what.chunk);
    log_event(log_level::warning, "chunk_fetch_failed",
              {{"version", version_->id()}, {"chunk", chunk}, {"from", sender}, {"reason", reason}});
    parts_.context.events.record(
        "chunk_fetch_failed",
        {{"version", version_->id()}, {"chunk", chunk}, {"from", sender}, {"reason", reason}});
}

auto transfer::from_source(std::size_t chunk, address& sender) -> asio::awaitable<fetched>
{
    auto const entry = version_->chunks[chunk];
    // Before the request: what is under way to this host already loads the link between the regions.
    parts_.draw.set_rate(draw_share(parts_.settings.region_draw_rate, plan_.drawing_hosts(clock::now())));
    co_await parts_.draw.bulk(entry.size);
    if (cancelled_) co_return fetch_failure::limited;
    auto opened = co_await parts_.source.open_chunk(version_, chunk, parts_.settings.plan.progress_deadline);
    if (!opened) {
        // A source that neither sends nor asks to wait (404) must not be asked in a tight loop.
        auto const now = clock::now();
        plan_.pause_source(std::max(parts_.source.available_at(), now + source_pause));
        log_event(log_level::warning, "source_failed",
                  {{"version", version_->id()},
                   {"chunk", std::to_string(chunk)},
                   {"reason", opened.error().message}});
        co_return opened.error().code == result_code::chunk_unavailable ? fetch_failure::limited
                                                                        : to_failure(opened.error());
    }
    sender = opened.value().from;
    co_return co_await read_chunk(std::move(opened.value().stream), entry.size);
}

auto transfer::from_peer(std::size_t chunk, std::string name) -> asio::awaitable<fetched>
{
    auto request = http_request{};
    request.target =
        "/chunks/" + version_->chunks[chunk].sha256 + "?version=" + percent_encode(version_->id());
    auto options = http_call_options{};
    options.connect_timeout = parts_.settings.peer_timeout;
    options.timeout = parts_.settings.plan.progress_deadline;
    auto opened = co_await parts_.context.client.open(addresses_[name], std::move(request), options);
    if (!opened) co_return to_failure(opened.error());
    auto& stream = *opened.value();
    auto const have = stream.headers().find("Hw-Have");
    if (!have.empty()) plan_.peer_has(name, chunks_from_hex(have, version_->chunks.size()), clock::now());
    auto const status = stream.status();
    if (status != 200) {
        [[maybe_unused]] auto const refusal = co_await stream.read_all();
        co_return status == 503 ? fetch_failure::busy : fetch_failure::absent;
    }
    co_return co_await read_chunk(std::move(opened).value(), version_->chunks[chunk].size);
}

auto transfer::read_chunk(std::unique_ptr<http_stream> stream, std::uint64_t size) -> asio::awaitable<fetched>
{
    auto bytes = std::make_shared<std::string>();
    bytes->reserve(size);
    auto watch = progress_watch{size, parts_.settings.plan.progress_deadline, clock::now()};
    while (true) {
        auto piece = co_await stream->read();
        if (!piece) co_return to_failure(piece.error());
        if (!piece.value()) co_return chunk_bytes{std::move(bytes)};
        if (bytes->size() + piece.value()->size() > size) co_return fetch_failure::corrupt;
        *bytes += *piece.value();
        watch.gained(piece.value()->size(), clock::now());
        if (watch.is_stalled()) co_return fetch_failure::stalled;
        auto const arrived = clock::now();
        co_await parts_.download.bulk(piece.value()->size());
        watch.held_up(clock::now() - arrived);
    }
}

auto transfer::verify_whole() -> asio::awaitable<bool>
{
    auto parts = parts_.store.whole(*version_);
    if (parts.empty()) co_return false;
    if (version_->sha256.empty()) co_return true; // its source states a digest for each chunk only
    co_return co_await parts_.digests.matches(std::move(parts), version_->sha256);
}

} // namespace hibiscuswall
