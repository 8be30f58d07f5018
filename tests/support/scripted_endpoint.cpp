#include "support/scripted_endpoint.hpp"

#include "support/port_pool.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cctype>
#include <cstdlib>

namespace hibiscuswall {
namespace {

constexpr auto backlog = 64;
constexpr auto small_receive_buffer = 4096; // bytes: a long body is not written to its end
constexpr auto receive_buffer_size = std::size_t{16 * 1024};

auto parse_head(std::string const& head) -> scripted_request
{
    auto request = scripted_request{};
    auto start = head.find("\r\n");
    request.line = head.substr(0, start);
    while (start != std::string::npos && start + 2 < head.size()) {
        auto const begin = start + 2;
        start = head.find("\r\n", begin);
        auto const line = head.substr(begin, start - begin);
        auto const colon = line.find(": ");
        if (colon == std::string::npos) continue;
        auto name = line.substr(0, colon);
        for (auto& c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        request.headers[name] = line.substr(colon + 2);
    }
    return request;
}

// Returns false if the other side has closed the connection.
auto receive_more(int socket, std::string& buffer) -> bool
{
    auto bytes = std::string(receive_buffer_size, '\0');
    auto const size = ::recv(socket, bytes.data(), bytes.size(), 0);
    if (size <= 0) return false;
    buffer.append(bytes, 0, static_cast<std::size_t>(size));
    return true;
}

// Resets the connection without closing the descriptor, whose number would be given to another connection.
auto reset_connection(int socket) -> void
{
    auto nowhere = sockaddr{};
    nowhere.sa_family = AF_UNSPEC;
    ::connect(socket, &nowhere, sizeof nowhere);
}

} // namespace

scripted_endpoint::scripted_endpoint(respond_function respond, std::string const& ip, body_reading reading)
    : respond_{std::move(respond)}, reading_{reading}, where_{port_pool::next()}
{
    where_.ip = ip;
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    auto const on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (reading_ == body_reading::none)
        ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &small_receive_buffer, sizeof small_receive_buffer);
    auto at = sockaddr_in{};
    at.sin_family = AF_INET;
    at.sin_port = htons(where_.port);
    ::inet_pton(AF_INET, where_.ip.c_str(), &at.sin_addr);
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) std::abort();
    ::listen(listener_, backlog);
    acceptor_ = std::thread{[this] { accept_loop(); }};
}

scripted_endpoint::~scripted_endpoint()
{
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    acceptor_.join();
    {
        auto const guard = std::lock_guard{lock_};
        for (auto const socket : open_)
            ::shutdown(socket, SHUT_RDWR);
    }
    for (auto& each : threads_)
        each.join();
    for (auto const socket : open_)
        ::close(socket);
}

auto scripted_endpoint::requests() -> std::vector<scripted_request>
{
    auto const guard = std::lock_guard{lock_};
    return requests_;
}

auto scripted_endpoint::connections() -> std::size_t
{
    auto const guard = std::lock_guard{lock_};
    return open_.size();
}

auto scripted_endpoint::accept_loop() -> void
{
    while (!stopping_) {
        auto const socket = ::accept(listener_, nullptr, nullptr);
        if (socket < 0) return;
        auto const guard = std::lock_guard{lock_};
        open_.push_back(socket);
        threads_.emplace_back([this, socket] { serve(socket); });
    }
}

// As if the process had crashed. The descriptors stay open until the destructor closes them.
auto scripted_endpoint::stop_as_crashed() -> void
{
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    auto const guard = std::lock_guard{lock_};
    for (auto const socket : open_)
        reset_connection(socket);
}

auto scripted_endpoint::send_repeatedly(int socket, scripted_response const& response) -> void
{
    while (!stopping_) {
        auto const size = ::send(socket, response.repeated.data(), response.repeated.size(), MSG_NOSIGNAL);
        if (size <= 0) break;
        std::this_thread::sleep_for(response.repeat_interval);
    }
    ++closed_;
}

auto scripted_endpoint::respond_to_head(int socket, scripted_request request) -> void
{
    auto const response = respond_(request);
    {
        auto const guard = std::lock_guard{lock_};
        requests_.push_back(std::move(request));
    }
    ::send(socket, response.bytes.data(), response.bytes.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(response.late_delay);
    if (response.reset) return reset_connection(socket);
    ::shutdown(socket, SHUT_RDWR);
}

auto scripted_endpoint::serve(int socket) -> void
{
    auto buffer = std::string{};
    for (auto number = 1; !stopping_; ++number) {
        auto end = buffer.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!receive_more(socket, buffer)) {
                ++closed_;
                return;
            }
            end = buffer.find("\r\n\r\n");
        }
        auto request = parse_head(buffer.substr(0, end));
        request.number_on_connection = number;
        buffer.erase(0, end + 4);
        if (reading_ == body_reading::none) return respond_to_head(socket, std::move(request));
        auto const size = static_cast<std::size_t>(std::atoi(request.header("content-length").c_str()));
        while (buffer.size() < size)
            if (!receive_more(socket, buffer)) return;
        request.body = buffer.substr(0, size);
        buffer.erase(0, size);
        auto const response = respond_(request);
        {
            auto const guard = std::lock_guard{lock_};
            requests_.push_back(std::move(request));
        }
        std::this_thread::sleep_for(response.delay);
        ::send(socket, response.bytes.data(), response.bytes.size(), MSG_NOSIGNAL);
        if (!response.repeated.empty()) return send_repeatedly(socket, response);
        for (auto const& piece : response.pieces) {
            std::this_thread::sleep_for(response.repeat_interval);
            ::send(socket, piece.data(), piece.size(), MSG_NOSIGNAL);
        }
        if (!response.late_bytes.empty()) {
            std::this_thread::sleep_for(response.late_delay);
            ::send(socket, response.late_bytes.data(), response.late_bytes.size(), MSG_NOSIGNAL);
        }
        if (response.ends_endpoint) return stop_as_crashed();
        if (response.reset) return reset_connection(socket);
        if (!response.close) continue;
        ::shutdown(socket, SHUT_RDWR);
        return;
    }
}

} // namespace hibiscuswall
