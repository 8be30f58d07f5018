#pragma once
// Limits the concurrent peer fetches of a host to what its link carries without a long queue, because client
// calls wait behind the chunks. One slow fetch reduces the limit to 1; each fast one raises it by 1.
//
//   auto window = fetch_window{3};
//   window.on_fetch_ended(now - begun);          // after each peer fetch
//   plan.set_max_peer_fetches(window.size());

#include "hibiscuswall/core/time.hpp"

#include <algorithm>
#include <cstddef>

namespace hibiscuswall {

class fetch_window {
public:
    explicit fetch_window(std::size_t max_size) : max_size_{max_size}, size_{max_size} {}

    auto on_fetch_ended(clock::duration took) -> void
    {
        if (took > slow_fetch_threshold)
            size_ = 1;
        else if (took < fast_fetch_threshold)
            size_ = std::min(max_size_, size_ + 1);
    }

    [[nodiscard]] auto size() const -> std::size_t { return size_; }

private:
    static constexpr auto slow_fetch_threshold = milliseconds{400};
    static constexpr auto fast_fetch_threshold = milliseconds{200};

    std::size_t max_size_;
    std::size_t size_;
};

} // namespace hibiscuswall
