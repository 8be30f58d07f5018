#include "hibiscuswall/weights/transfer.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/weights/chunk_bitmap.hpp"
#include "hibiscuswall/weights/progress_watch.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto loop_interval = milliseconds{20}; // until busy peers and a paused source are checked again
constexpr auto batch_delay = milliseconds{4};    // events within it cause one run of the chunk plan
constexpr auto source_retry_delay = milliseconds{200};     // after a failed fetch from a source
constexpr auto hosts_refresh_interval = milliseconds{500}; // between reads of the member table
// Peers polled before the first source fetch, so that a restarted host does not fetch from the source what
// its region already holds.
constexpr auto max_survey_peers = std::size_t{16};
// Copies of one chunk that do not match the manifest until the manifest is doubted.
constexpr auto max_mismatches = 3;
constexpr auto survey_timeout = milliseconds{500}; // for the responses of the surveyed peers

auto failure_name(fetch_failure failure) -> std::string_view
{
    switch (failure) {
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
    // A response that cannot be parsed as HTTP counts as corrupt, too.
    return problem.code == result_code::response_malformed ? fetch_failure::corrupt : fetch_failure::stalled;
}

} // namespace

transfer::transfer(transfer_resources& resources, manifest_ptr version, host_source hosts,
                   std::string source_region)
    : resources_{resources}, version_{std::move(version)}, hosts_{std::move(hosts)},
      source_region_{std::move(source_region)}, plan_{version_->chunks, resources.context.self.name,
                                                      resources.settings.plan, clock::now()},
      window_{resources.settings.plan.fetches}, wake_timer_{resources.context.io, time_point::max()}
{
}

auto transfer::cancel() -> void
{
    cancelled_ = true;
    wake();
}

auto transfer::wait(milliseconds max_duration) -> asio::awaitable<void>
{
    wake_timer_.expires_after(max_duration);
    co_await wake_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto transfer::refresh_hosts() -> void
{
    hosts_refreshed_ = clock::now();
    auto const& self = resources_.context.self;
    auto const can_fetch_from_source = [&](member const& host) {
        return source_region_.empty() || host.region == source_region_;
    };
    auto list = std::vector<plan_host>{{self.name, true, can_fetch_from_source(self)}};
    if (resources_.settings.peers) {
        for (auto const& host : hosts_()) {
            addresses_[host.name] = host.control_address;
            if (host.name != self.name)
                list.push_back({host.name, host.region == self.region, can_fetch_from_source(host)});
        }
    }
    plan_.set_hosts(
        limit_source_fetchers(version_->id(), std::move(list), resources_.settings.source_fetchers),
        hosts_refreshed_);
}

auto transfer::run(bool survey_first) -> asio::awaitable<result<void>>
{
    auto const self = shared_from_this();
    refresh_hosts();
    record_held_chunks();
    if (survey_first) co_await survey_holdings();
    start_task(resources_.context.io.get_executor(), "peer_polls", poll_loop(),
               &resources_.context.metrics_registry);
    while (!cancelled_) {
        if (plan_.complete()) {
            if (co_await verify_version()) break;
            cancelled_ = true;
            co_return fail(
                result_code::manifest_invalid,
                version_->id() +
                    ": chunks match their digests, but the complete version does not; transfer ended");
        }
        if (doubted_chunk_) {
            cancelled_ = true;
            co_return fail(result_code::chunk_corrupt, version_->id() + ": copies of chunk " +
                                                           std::to_string(*doubted_chunk_) +
                                                           " do not match the manifest; transfer ended");
        }
        if (clock::now() - hosts_refreshed_ > hosts_refresh_interval) {
            refresh_hosts();
            record_held_chunks();
        }
        start_fetches();
        co_await wait(loop_interval);
        co_await sleep_for(batch_delay);
    }
    auto const was_cancelled = cancelled_;
    cancelled_ = true; // ends the poll loop
    if (was_cancelled)
        co_return fail(result_code::cancelled,
                       version_->id() + ": transfer cancelled before it was complete");
    co_return success();
}

// Chunks may also be in the store from an earlier version, or from a transfer of it that is still ending.
auto transfer::record_held_chunks() -> void
{
    for (auto i = std::size_t{0}; i < version_->chunks.size(); ++i)
        if (!plan_.is_held(i) && resources_.store.find(version_->chunks[i].sha256) != nullptr)
            plan_.on_chunk_verified(i);
}

auto transfer::start_fetches() -> void
{
    while (auto what = plan_.next(clock::now(), resources_.context.random))
        start_task(resources_.context.io.get_executor(), "chunk_fetch", fetch(*what),
                   &resources_.context.metrics_registry);
}

auto transfer::survey_holdings() -> asio::awaitable<void>
{
    auto const names = plan_.peers_to_poll(max_survey_peers, clock::now());
    for (auto const& name : names)
        start_task(resources_.context.io.get_executor(), "peer_poll", poll_peer(name),
                   &resources_.context.metrics_registry);
    auto const until = clock::now() + survey_timeout;
    while (polls_ > 0 && clock::now() < until && !cancelled_)
        co_await wait(loop_interval);
}

auto transfer::poll_loop() -> asio::awaitable<void>
{
    auto const self = shared_from_this();
    while (!cancelled_) {
        if (resources_.settings.poll_peers == 0) co_return;
        for (auto const& name : plan_.peers_to_poll(resources_.settings.poll_peers, clock::now()))
            if (polls_ < 2 * resources_.settings.poll_peers)
                start_task(resources_.context.io.get_executor(), "peer_poll", poll_peer(name),
                           &resources_.context.metrics_registry);
        co_await sleep_for(resources_.settings.poll_interval);
    }
}

auto transfer::on_peer_holdings(std::string_view peer, std::vector<bool> const& chunks) -> void
{
    plan_.on_peer_holdings(peer, chunks, clock::now());
    wake();
}

auto transfer::poll_peer(std::string name) -> asio::awaitable<void>
{
    auto const self = shared_from_this();
    ++polls_;
    auto params = nlohmann::json{{"version", version_->id()}};
    auto response = co_await rpc_call(resources_.context.client, addresses_[name], "weights.have",
                                      std::move(params), resources_.settings.peer_timeout);
    --polls_;
    if (!response)
        plan_.on_peer_unreachable(name, clock::now());
    else if (response.value().is_object())
        plan_.on_peer_holdings(name,
                               chunks_from_hex(response.value().value("chunks", ""), version_->chunks.size()),
                               clock::now());
    if (polls_ == 0) wake();
}

auto transfer::fetch(chunk_fetch what) -> asio::awaitable<void>
{
    auto const self = shared_from_this();
    // GCC 12 destroys the temporaries of a conditional expression around co_await twice, hence if and else.
    auto received = fetch_result{fetch_failure::absent};
    auto source = address{}; // the source that responded
    auto const begun = clock::now();
    if (what.from_source())
        received = co_await from_source(what.chunk, source);
    else
        received = co_await from_peer(what.chunk, what.peer);
    plan_.on_fetch_ended(what);
    if (!what.from_source()) {
        window_.on_fetch_ended(clock::now() - begun);
        plan_.set_max_peer_fetches(window_.size());
    }
    wake();
    if (auto const* failure = std::get_if<fetch_failure>(&received)) {
        record_failure(what, *failure, source);
        co_return;
    }
    auto const bytes = std::get<chunk_bytes>(received);
    auto const& entry = version_->chunks[what.chunk];
    auto parts = std::vector<chunk_bytes>{bytes};
    auto good = bytes->size() == entry.size;
    if (good) good = co_await resources_.digests.matches(std::move(parts), entry.sha256);
    if (!good) {
        record_failure(what, fetch_failure::corrupt, source);
        wake();
        co_return;
    }
    auto const took = std::chrono::duration_cast<milliseconds>(clock::now() - begun).count();
    log_event(log_level::debug, "chunk_fetched",
              {{"version", version_->id()},
               {"chunk", std::to_string(what.chunk)},
               {"from", what.from_source() ? "source" : what.peer},
               {"took_ms", std::to_string(took)}});
    resources_.store.add(entry.sha256, bytes);
    plan_.on_chunk_verified(what.chunk);
    resources_.context.metrics_registry.count("weights_fetched_bytes",
                                              {{"from", what.from_source() ? "source" : "peer"}},
                                              static_cast<double>(bytes->size()));
    wake();
}

// A wrong digest in the manifest looks like chunks that are always corrupt, or, where chunks are found by
// their digest, like peers and sources that should have the chunk and do not know it.
auto transfer::count_mismatch(chunk_fetch const& what, fetch_failure failure) -> void
{
    if (trusts_manifest_) return;
    if (failure != fetch_failure::corrupt && failure != fetch_failure::absent) return;
    if (++mismatches_[what.chunk] >= max_mismatches) doubted_chunk_ = what.chunk;
}

auto transfer::record_failure(chunk_fetch const& what, fetch_failure failure, address const& source) -> void
{
    plan_.on_fetch_failed(what, failure, clock::now());
    count_mismatch(what, failure);
    resources_.context.metrics_registry.count("weights_fetch_failures", {{"reason", failure_name(failure)}});
    if (failure == fetch_failure::busy || failure == fetch_failure::limited ||
        failure == fetch_failure::absent)
        return;
    if (what.from_source()) {
        resources_.source.mark_suspect(source, clock::now());
        plan_.pause_source(std::max(resources_.source.available_at(), clock::now() + source_retry_delay));
    }
    auto const sender = what.from_source() ? "source " + source.text() : what.peer;
    auto const reason = std::string{failure_name(failure)};
    auto const chunk = std::to_string(what.chunk);
    log_event(log_level::warning, "chunk_fetch_failed",
              {{"version", version_->id()}, {"chunk", chunk}, {"from", sender}, {"reason", reason}});
    resources_.context.events.record(
        "chunk_fetch_failed",
        {{"version", version_->id()}, {"chunk", chunk}, {"from", sender}, {"reason", reason}});
}

auto transfer::from_source(std::size_t chunk, address& sender) -> asio::awaitable<fetch_result>
{
    auto const entry = version_->chunks[chunk];
    // The budget is charged before the request, because bytes in flight already load the link between the
    // regions.
    resources_.source_budget.set_rate(
        source_rate_share(resources_.settings.region_source_rate, plan_.source_fetcher_count(clock::now())));
    co_await resources_.source_budget.acquire_transfer(entry.size);
    if (cancelled_) co_return fetch_failure::limited;
    auto opened =
        co_await resources_.source.open_chunk(version_, chunk, resources_.settings.plan.progress_deadline);
    if (!opened) {
        // A source that fails without a Retry-After (such as 404) must not be asked in a tight loop.
        auto const now = clock::now();
        plan_.pause_source(std::max(resources_.source.available_at(), now + source_retry_delay));
        log_event(log_level::warning, "source_failed",
                  {{"version", version_->id()},
                   {"chunk", std::to_string(chunk)},
                   {"reason", opened.error().message}});
        auto const code = opened.error().code;
        if (code == result_code::resource_not_found) co_return fetch_failure::absent;
        co_return code == result_code::chunk_unavailable ? fetch_failure::limited
                                                         : to_failure(opened.error());
    }
    sender = opened.value().from;
    co_return co_await read_chunk(std::move(opened.value().stream), entry.size);
}

auto transfer::from_peer(std::size_t chunk, std::string name) -> asio::awaitable<fetch_result>
{
    auto request = http_request{};
    request.target =
        "/chunks/" + version_->chunks[chunk].sha256 + "?version=" + percent_encode(version_->id());
    auto options = http_call_options{};
    options.connect_timeout = resources_.settings.peer_timeout;
    options.timeout = resources_.settings.plan.progress_deadline;
    auto opened = co_await resources_.context.client.open(addresses_[name], std::move(request), options);
    if (!opened) co_return to_failure(opened.error());
    auto& stream = *opened.value();
    auto const have = stream.headers().find("Hw-Have");
    if (!have.empty())
        plan_.on_peer_holdings(name, chunks_from_hex(have, version_->chunks.size()), clock::now());
    auto const status = stream.status();
    if (status != 200) {
        [[maybe_unused]] auto const rejection = co_await stream.read_all();
        co_return status == 503 ? fetch_failure::busy : fetch_failure::absent;
    }
    co_return co_await read_chunk(std::move(opened).value(), version_->chunks[chunk].size);
}

auto transfer::read_chunk(std::unique_ptr<http_stream> stream, std::uint64_t size)
    -> asio::awaitable<fetch_result>
{
    auto bytes = std::make_shared<std::string>();
    bytes->reserve(size);
    auto watch = progress_watch{size, resources_.settings.plan.progress_deadline, clock::now()};
    while (true) {
        auto piece = co_await stream->read();
        if (!piece) co_return to_failure(piece.error());
        if (!piece.value()) co_return chunk_bytes{std::move(bytes)};
        if (bytes->size() + piece.value()->size() > size) co_return fetch_failure::corrupt;
        *bytes += *piece.value();
        watch.on_bytes_received(piece.value()->size(), clock::now());
        if (watch.is_stalled()) co_return fetch_failure::stalled;
        auto const arrived = clock::now();
        co_await resources_.download.acquire_transfer(piece.value()->size());
        watch.exclude_wait(clock::now() - arrived);
    }
}

auto transfer::verify_version() -> asio::awaitable<bool>
{
    auto parts = resources_.store.all_chunks(*version_);
    if (parts.empty()) co_return false;
    if (version_->sha256.empty()) co_return true; // the source publishes chunk digests only
    co_return co_await resources_.digests.matches(std::move(parts), version_->sha256);
}

} // namespace hibiscuswall
