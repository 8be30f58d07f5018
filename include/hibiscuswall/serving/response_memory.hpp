#pragma once
// Bounds the bytes of responses that this process holds at one time. Each response has a limit of its own,
// but a hundred endless ones together would fill the memory of a small host.
//
//   auto share = response_memory::share{memory};
//   if (!share.hold(parser.body_size())) fail("...");     // gives back what it holds when it is destroyed
//
// Small responses are always held, so that large ones cannot make calls fail that hold little.

#include <cstddef>

namespace hibiscuswall {

struct response_memory_settings {
    std::size_t max_bytes = 48U << 20U;        // of all responses; buffers take up to twice as much
    std::size_t small_response = 128U * 1'024; // up to this size a response is always held
};

class response_memory {
public:
    explicit response_memory(response_memory_settings settings) : settings_{settings} {}

    class share {
    public:
        explicit share(response_memory& all) : all_{&all} {}
        share(share const&) = delete;
        auto operator=(share const&) -> share& = delete;
        ~share() { all_->held_ -= bytes_; }

        // Records how much this response holds now. False if that exceeds what may be held.
        [[nodiscard]] auto hold(std::size_t bytes) -> bool
        {
            all_->held_ = all_->held_ - bytes_ + bytes;
            bytes_ = bytes;
            return bytes <= all_->settings_.small_response || all_->held_ <= all_->settings_.max_bytes;
        }

    private:
        response_memory* all_;
        std::size_t bytes_ = 0;
    };

    [[nodiscard]] auto held() const -> std::size_t { return held_; }

private:
    response_memory_settings settings_;
    std::size_t held_ = 0;
};

} // namespace hibiscuswall
