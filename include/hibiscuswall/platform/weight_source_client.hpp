#pragma once
// The platform's weight store and origin (docs/platform.md): manifests, and chunks by range request.
//
//   auto source = weight_source_client{client, {store, origin}, milliseconds{1000}};
//   auto text = co_await source.manifest("m", "v1");
//   auto opened = co_await source.open_chunk(manifest, index, timeout);
//   source.mark_suspect(opened.value().from, now);            // what it sent was stalled or did not match
//
// weight_targets says under which paths a source serves them; the default is the published interface.
//
// Sources are tried in order, those in doubt (no answer, stalled, corrupt) after the others. One that
// asked to wait (429) is left out until its Retry-After has passed; when all are waiting, the error is
// chunk_unavailable and available_at() tells when to come back.

#include "hibiscuswall/http/http_client.hpp"
#include "hibiscuswall/weights/manifest.hpp"

#include <functional>
#include <string>
#include <vector>

namespace hibiscuswall {

// A chunk on its way from one source.
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

    // Replaces the sources unless they are the same.
    auto set_sources(std::vector<address> const& sources) -> void;

    auto manifest(std::string model, std::string version) -> asio::awaitable<result<std::string>>;

    // Streams the chunk; timeout is that of each piece.
    auto open_chunk(manifest_ptr version, std::size_t chunk, milliseconds timeout)
        -> asio::awaitable<result<source_stream>>;

    // The source is asked after the others for a while.
    auto mark_suspect(address const& from, time_point now) -> void;

    // When the first source may be asked again.
    [[nodiscard]] auto available_at() const -> time_point;

private:
    struct source {
        address where;
        time_point wait_until;  // not asked before
        time_point doubt_until; // asked after the others before
    };

    auto open(http_request request, milliseconds timeout) -> asio::awaitable<result<source_stream>>;
    [[nodiscard]] auto in_order(time_point now) const -> std::vector<std::size_t>;

    http_client& client_;
    std::vector<source> sources_;
    milliseconds timeout_;
    weight_targets targets_;
};

} // namespace hibiscuswall
