#pragma once
// Serves verified chunks to peers and complete versions to the local engine.
//
//   auto server = chunk_server{context, store, upload, settings};     // registers its routes and methods
//
// - GET /chunks/{sha256}[?version=ID]: the chunk or the requested range of it. 404: the chunk is not held;
// 503: every
//   upload slot is taken. With ?version= the response header Hw-Have states which chunks of that version are
//   held.
// - GET /weights/{version}: all chunks in order, once the version is complete.
// - weights.have {version} -> {chunks}
// - weights.manifest {version} -> {manifest, digest}

#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/weights/chunk_store.hpp"
#include "hibiscuswall/weights/link_budget.hpp"
#include "hibiscuswall/weights/weights_settings.hpp"

namespace hibiscuswall {

class chunk_server {
public:
    chunk_server(process_context& context, chunk_store& store, link_budget& upload,
                 weights_settings const& settings);

private:
    auto serve_chunk(http_request const& request, http_responder& out) -> asio::awaitable<void>;
    auto serve_version(http_request const& request, http_responder& out) -> asio::awaitable<void>;
    auto send_paced(chunk_bytes bytes, std::size_t first, std::size_t size, int status, http_headers headers,
                    http_responder& out) -> asio::awaitable<void>;
    [[nodiscard]] auto find_version(std::string_view name) const -> manifest_ptr;

    process_context& context_;
    chunk_store& store_;
    link_budget& upload_;
    std::size_t upload_slots_;
    std::size_t active_uploads_ = 0;
};

} // namespace hibiscuswall
