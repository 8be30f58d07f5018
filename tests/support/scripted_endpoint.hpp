#pragma once
// An endpoint whose answers a test writes byte by byte, on a thread of its own.
//
//   auto endpoint = played_endpoint{[](played_request const& request) { return played_answer{"HTTP/1.1 ..."};
//   }}; endpoint.where();  endpoint.requests();

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/time.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hibiscuswall {

struct played_request {
    std::string line;                           // method, target, protocol
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    [[nodiscard]] auto header(std::string const& name) const -> std::string
    {
        auto const found = headers.find(name);
        return found == headers.end() ? std::string{} : found->second;
    }
};

struct played_answer {
    std::string bytes;
    bool close = false;    // after the bytes
    milliseconds delay{0}; // before the bytes
};

class played_endpoint {
public:
    using play_function = std::function<played_answer(played_request const&)>;

    explicit played_endpoint(play_function play);
    ~played_endpoint();
    played_endpoint(played_endpoint const&) = delete;
    auto operator=(played_endpoint const&) -> played_endpoint& = delete;

    [[nodiscard]] auto where() const -> address const& { return where_; }
    [[nodiscard]] auto requests() -> std::vector<played_request>;

    // Connections that the other side closed.
    [[nodiscard]] auto closed() const -> int { return closed_; }

private:
    auto accept_loop() -> void;
    auto serve(int socket) -> void;

    play_function play_;
    address where_;
    int listener_ = -1;
    std::atomic<bool> stopping_{false};
    std::atomic<int> closed_{0};
    std::mutex lock_;
    std::vector<played_request> requests_;
    std::vector<int> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace hibiscuswall
