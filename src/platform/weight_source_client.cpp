#include "hibiscuswall/platform/weight_source_client.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <iterator>
#include <numeric>

namespace hibiscuswall {
namespace {

constexpr auto min_retry_wait = milliseconds{10};
constexpr auto default_retry_wait = milliseconds{1'000}; // after a 429 or 503 without a valid Retry-After
constexpr auto failure_retry_wait = milliseconds{500};   // after a source did not respond
constexpr auto max_manifest_bytes = std::size_t{16} << 20U;
constexpr auto max_error_bytes = std::size_t{64 * 1024}; // of an answer in place of a small chunk
constexpr auto suspect_duration = seconds{30}; // a failed source is tried after the others for this long

// Parses Retry-After in seconds; accepts fractions.
auto retry_after(http_headers const& headers) -> milliseconds
{
    auto const text = std::string{headers.find("Retry-After")};
    char* end = nullptr;
    auto const value = std::strtod(text.c_str(), &end);
    if (text.empty() || end == text.c_str() || !std::isfinite(value) || value < 0 || value > 3600)
        return default_retry_wait;
    return std::max(min_retry_wait, milliseconds{static_cast<long long>(value * 1000)});
}

} // namespace

auto published_targets() -> weight_targets
{
    auto targets = weight_targets{};
    targets.manifest_target = [](std::string_view model, std::string_view version) {
        return "/v1/models/" + percent_encode(model) + "/" + percent_encode(version) + "/manifest";
    };
    targets.chunk_target = [](manifest const& version, std::size_t chunk) {
        return "/v1/blobs/" + version.chunks[chunk].sha256;
    };
    return targets;
}

weight_source_client::weight_source_client(http_client& client, std::vector<address> const& sources,
                                           milliseconds timeout, weight_targets targets)
    : client_{client}, timeout_{timeout}, targets_{std::move(targets)}
{
    set_sources(sources);
}

auto weight_source_client::set_sources(std::vector<address> const& sources) -> void
{
    auto new_sources = std::vector<address>{};
    std::copy_if(sources.begin(), sources.end(), std::back_inserter(new_sources),
                 [](auto const& where) { return !where.empty(); });
    auto const same = std::equal(sources_.begin(), sources_.end(), new_sources.begin(), new_sources.end(),
                                 [](auto const& known, auto const& where) { return known.where == where; });
    if (same) return;
    sources_.clear();
    for (auto& where : new_sources)
        sources_.push_back({std::move(where), {}, {}});
}

auto weight_source_client::available_at() const -> time_point
{
    auto const first =
        std::min_element(sources_.begin(), sources_.end(), [](auto const& left, auto const& right) {
            return left.unavailable_until < right.unavailable_until;
        });
    return first == sources_.end() ? time_point::max() : first->unavailable_until;
}

auto weight_source_client::mark_suspect(address const& from, time_point now) -> void
{
    for (auto& candidate : sources_)
        if (candidate.where == from) candidate.suspect_until = now + suspect_duration;
}

auto weight_source_client::by_preference(time_point now) const -> std::vector<std::size_t>
{
    auto order = std::vector<std::size_t>(sources_.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_partition(order.begin(), order.end(),
                          [&](std::size_t i) { return sources_[i].suspect_until <= now; });
    return order;
}

auto weight_source_client::open(http_request request, milliseconds timeout, std::size_t max_bytes)
    -> asio::awaitable<result<source_stream>>
{
    auto last_error =
        fail(result_code::chunk_unavailable, "no weight source is available now: " + request.target);
    auto options = http_call_options{};
    options.connect_timeout = timeout_;
    options.timeout = timeout;
    options.body_limit = max_bytes;
    // The source accepts few connections from all hosts together: idle connections of many hosts would block
    // active fetches.
    options.keep_connection = false;
    options.may_end_with_connection = true; // a cut manifest is not valid JSON, and chunks have digests
    for (auto const i : by_preference(clock::now())) {
        if (sources_[i].unavailable_until > clock::now()) continue;
        auto opened = co_await client_.open(sources_[i].where, request, options);
        if (!opened) {
            sources_[i].unavailable_until = clock::now() + failure_retry_wait;
            mark_suspect(sources_[i].where, clock::now());
            last_error = opened.error();
            continue;
        }
        auto const status = opened.value()->status();
        if (status == 200 || status == 206) {
            auto stream = source_stream{sources_[i].where, std::move(opened).value()};
            co_return stream;
        }
        auto const is_unknown = status == 404;
        last_error = fail(is_unknown ? result_code::resource_not_found : result_code::chunk_unavailable,
                          sources_[i].where.text() + request.target + ": expected status 200 or 206, got " +
                              std::to_string(status));
        if (status == 429 || status == 503)
            sources_[i].unavailable_until = clock::now() + retry_after(opened.value()->headers());
        // Reads the short error body before the stream is closed.
        [[maybe_unused]] auto const error_body = co_await opened.value()->read_all();
    }
    co_return last_error;
}

auto weight_source_client::manifest(std::string model, std::string version)
    -> asio::awaitable<result<std::string>>
{
    auto request = http_request{};
    request.target = targets_.manifest_target(model, version);
    auto opened = co_await open(std::move(request), timeout_, max_manifest_bytes);
    if (!opened) co_return opened.error();
    co_return co_await opened.value().stream->read_all();
}

auto weight_source_client::open_chunk(manifest_ptr version, std::size_t chunk, milliseconds timeout)
    -> asio::awaitable<result<source_stream>>
{
    auto request = http_request{};
    request.target = targets_.chunk_target(*version, chunk);
    request.headers.set("Range", "bytes=0-" + std::to_string(version->chunks[chunk].size - 1));
    co_return co_await open(std::move(request), timeout,
                            std::max<std::size_t>(version->chunks[chunk].size, max_error_bytes));
}

} // namespace hibiscuswall
