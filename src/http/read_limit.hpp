#pragma once
// Cancels the reading of a request after a time. The stream's own timeout closes the socket, which leaves no
// way to answer 408.
//
//   auto limit = read_limit{stream, request_timeout};
//   ...                                    // read from the stream
//   if (limit.stop()) answer 408;

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/core/timer.hpp"

#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace hibiscuswall {

class read_limit {
public:
    read_limit(boost::beast::tcp_stream& stream, milliseconds timeout)
        : shared_{std::make_shared<shared>(stream.get_executor(), stream)}
    {
        stream.expires_never();
        shared_->timer.expires_after(timeout);
        shared_->timer.async_wait([shared = shared_](boost::system::error_code code) {
            if (code || shared->stopped) return;
            shared->fired = true;
            auto ignored = boost::system::error_code{};
            shared->stream.socket().cancel(ignored);
        });
    }

    // Ends the watch; true when the time had passed.
    auto stop() -> bool
    {
        shared_->stopped = true;
        shared_->timer.cancel();
        return shared_->fired;
    }

private:
    struct shared {
        shared(boost::asio::any_io_executor const& executor, boost::beast::tcp_stream& watched)
            : timer{executor}, stream{watched}
        {
        }

        clock_timer timer;
        boost::beast::tcp_stream& stream;
        bool stopped = false;
        bool fired = false;
    };
    std::shared_ptr<shared> shared_;
};

} // namespace hibiscuswall
