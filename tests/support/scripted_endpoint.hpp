#pragma once
// An HTTP endpoint for tests that sends raw response bytes chosen by the test. Runs on its own threads.
//
//   auto endpoint = scripted_endpoint{respond}; // called for each request, returns a scripted_response
//   connect_to(endpoint.where());
//   CHECK_EQUAL(1U, endpoint.requests().size());

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

struct scripted_request {
    std::string line;                           // request line: method, target, protocol
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    int number_on_connection = 1; // 2 or more: on a connection that was kept

    [[nodiscard]] auto header(std::string const& name) const -> std::string
    {
        auto const found = headers.find(name);
        return found == headers.end() ? std::string{} : found->second;
    }
};

struct scripted_response {
    std::string bytes;
    bool close = false;              // close the connection after the bytes
    milliseconds delay{0};           // wait before sending the bytes
    std::string repeated{};          // then sent again and again until the other side closes; empty: nothing
    milliseconds repeat_interval{0}; // between two of them
    std::string late_bytes{};        // sent once, late_delay after the bytes
    milliseconds late_delay{0};
    std::vector<std::string> pieces{}; // then sent one by one, repeat_interval apart
    bool reset = false;                // reset the connection after the bytes
    bool ends_endpoint = false;        // then reset all connections and listen no more
};

class scripted_endpoint {
public:
    using respond_function = std::function<scripted_response(scripted_request const&)>;

    // Responds to the head of a request and never reads the body; `late_delay` passes before it resets or
    // closes the connection.
    enum class body_reading { complete, none };

    explicit scripted_endpoint(respond_function respond, std::string const& ip = "127.0.0.1",
                               body_reading reading = body_reading::complete);
    ~scripted_endpoint();
    scripted_endpoint(scripted_endpoint const&) = delete;
    auto operator=(scripted_endpoint const&) -> scripted_endpoint& = delete;

    [[nodiscard]] auto where() const -> address const& { return where_; }
    [[nodiscard]] auto requests() -> std::vector<scripted_request>;

    // Number of connections accepted.
    [[nodiscard]] auto connections() -> std::size_t;

    // Number of connections closed by the other side.
    [[nodiscard]] auto closed() const -> int { return closed_; }

private:
    auto accept_loop() -> void;
    auto serve(int socket) -> void;
    auto stop_as_crashed() -> void;
    auto send_repeatedly(int socket, scripted_response const& response) -> void;

    auto respond_to_head(int socket, scripted_request request) -> void;

    respond_function respond_;
    body_reading reading_;
    address where_;
    int listener_ = -1;
    std::atomic<bool> stopping_{false};
    std::atomic<int> closed_{0};
    std::mutex lock_;
    std::vector<scripted_request> requests_;
    std::vector<int> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace hibiscuswall
