#pragma once
// Computes and compares SHA-256 digests on a separate thread, connected to the network thread by two bounded
// rings.
//
//   auto matches = co_await verifier.matches({bytes}, digest);      // the digest of all parts in order
//
// While the ring is full, a call retries after a short delay; the network thread never blocks.

#include "hibiscuswall/core/bounded_ring.hpp"
#include "hibiscuswall/core/timer.hpp"
#include "hibiscuswall/weights/chunk_store.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace hibiscuswall {

class verifier {
public:
    explicit verifier(boost::asio::io_context& io);
    ~verifier();
    verifier(verifier const&) = delete;
    auto operator=(verifier const&) -> verifier& = delete;

    auto matches(std::vector<chunk_bytes> parts, std::string expected) -> boost::asio::awaitable<bool>;

private:
    struct job {
        std::uint64_t id = 0;
        std::vector<chunk_bytes> parts;
        std::string expected;
    };
    struct outcome {
        std::uint64_t id = 0;
        bool matches = false;
    };
    struct waiter {
        clock_timer done;
        bool finished = false;
        bool matches = false;
    };
    struct rings;

    static auto run(rings& shared) -> void;

    boost::asio::io_context& io_;
    std::map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
    std::uint64_t next_id_ = 0;
    std::shared_ptr<rings> rings_;
    std::thread thread_;
};

} // namespace hibiscuswall
