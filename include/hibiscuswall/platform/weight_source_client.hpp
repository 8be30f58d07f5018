#pragma once
// Fetches manifests and chunks from the platform's weight store and origin (docs/platform.md). Chunks are
// fetched by range request.
//
//   auto source = weight_source_client{client, {store, origin}, milliseconds{1000}};
//   auto text = co_await source.manifest("m", "v1");
//   auto opened = co_await source.open_chunk(manifest, index, timeout);
//   source.mark_suspect(opened.value().from, now);    // the stream stalled or its digest did not match
//
// weight_targets defines the request paths; the default is the platform's published interface.
//
// Sources are tried in order; suspect ones (unreachable, stalled, corrupt data) after the others. A source
// that responded with 429 or 503 is skipped until its Retry-After has passed, and an unreachable one for a
// short time. If all sources are skipped, the error is chunk_unavailable and available_at() returns when to
// retry.

#include "hibiscuswall/http/http_client.hpp"
#include "hibiscuswall/weights/manifest.hpp"

#include <functional>
#include <string>
#include <vector>

namespace hibiscuswall {

// A chunk or manifest that is being received from one source.
struct source_stream {
    address from;
    std::unique_ptr<http_stream> stream;
};

struct weight_targets {
    std::function<std::string(std::string_view model, std::string_view version)> manifest_target;
    std::function<std::string(manifest const& version, std::size_t chunk)> chunk_target;
};

// GET /v1/models/{model}/{version}/manifest and GET /v1/blobs/{sha256}.
[[nodiscard]] auto published_targets() -> weight_targets;

class weight_source_client {
public:
    weight_source_client(http_client& client, std::vector<address> const& sources, milliseconds timeout,
                         weight_targets targets = published_targets());

    // Replaces the sources. Does nothing if they are unchanged, so that waits and suspect marks are kept.
    auto set_sources(std::vector<address> const& sources) -> void;

    auto manifest(std::string model, std::string version) -> asio::awaitable<result<std::string>>;

    // Opens the stream of a chunk. The timeout applies to each read.
    auto open_chunk(manifest_ptr version, std::size_t chunk, milliseconds timeout)
        -> asio::awaitable<result<source_stream>>;

    // Tries the source only after the others for the next 30 s.
    auto mark_suspect(address const& from, time_point now) -> void;

    // Time from which at least one source may be tried again.
    [[nodiscard]] auto available_at() const -> time_point;

private:
    struct source {
        address where;
        time_point unavailable_until; // the source is skipped until then
        time_point suspect_until;     // the source is tried after the others until then
    };

    auto open(http_request request, milliseconds timeout, std::size_t max_bytes)
        -> asio::awaitable<result<source_stream>>;
    [[nodiscard]] auto by_preference(time_point now) const -> std::vector<std::size_t>;

    http_client& client_;
    std::vector<source> sources_;
    milliseconds timeout_;
    weight_targets targets_;
};

} // namespace hibiscuswall
