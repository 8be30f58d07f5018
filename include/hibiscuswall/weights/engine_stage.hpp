#pragma once
// Client for the chunks staged at the engine beside an agent. The engine stores what it receives, verifies
// nothing, and loads the staged chunks when it is ordered to.
//
//   auto held = co_await stage.read_back(version);            // chunks whose staged bytes match the manifest
//   auto done = co_await stage.write(version, chunk, bytes);
//
// Staged chunks that match their digests are also added to the chunk store, so that peers can fetch them.

#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/weights/chunk_store.hpp"
#include "hibiscuswall/weights/verifier.hpp"

namespace hibiscuswall {

class engine_stage {
public:
    engine_stage(process_context& context, address engine, chunk_store& chunks, verifier& digests)
        : context_{context}, engine_{std::move(engine)}, chunks_{chunks}, digests_{digests}
    {
    }

    // One flag per chunk. Errors: transport errors, unexpected_status, response_malformed.
    auto read_back(manifest_ptr version) -> asio::awaitable<result<std::vector<bool>>>;

    auto write(manifest_ptr version, std::size_t chunk, chunk_bytes bytes) -> asio::awaitable<result<void>>;

private:
    auto read_chunk(manifest_ptr version, std::size_t chunk) -> asio::awaitable<bool>;

    process_context& context_;
    address engine_;
    chunk_store& chunks_;
    verifier& digests_;
};

} // namespace hibiscuswall
