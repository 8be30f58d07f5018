#pragma once
// Model of one engine: batch, queue, prompts read in pieces between the tokens of other requests, as the
// platform's protocol describes it. No network, no clock.
//
//   auto engine = engine_model{profile, 16};
//   if (!engine.add({call, 1'200, 40}, now)) respond_503();
//   while (auto const end = engine.pass_end())               // when the current pass ends; nullopt: idle
//       for (auto const& each : engine.end_pass(*end)) ...   // first tokens, and requests that ended
//
// A pass takes the steps of the requests that generate, and reads prompts of the others, the oldest first, at
// most prompt_tokens_per_pass tokens. Not modelled: memory and preemption, quadratic reading time, weights.

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/serving/service_map.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace hibiscuswall::models {

struct engine_request {
    std::size_t call = 0; // chosen by the caller, returned in the progress
    int prompt_tokens = 1;
    int response_tokens = 1;
};

struct engine_progress {
    std::size_t call = 0;
    bool is_first = false; // the first tokens of the response
    bool has_ended = false;
};

class engine_model {
public:
    // `slowdown` multiplies all times.
    engine_model(engine_profile const& profile, int max_queue, double slowdown = 1)
        : profile_{profile}, max_queue_{max_queue}, slowdown_{slowdown}
    {
    }

    // Returns false if all slots are in use and the queue is full.
    auto add(engine_request const& request, time_point now) -> bool;

    // Ends the request, whose caller has left. The pass goes on.
    auto remove(std::size_t call) -> void;

    // When the current pass ends; nullopt if there is nothing to do.
    [[nodiscard]] auto pass_end() const -> std::optional<time_point> { return pass_end_; }

    // Ends the current pass at its time and begins the next one.
    auto end_pass(time_point now) -> std::vector<engine_progress>;

    [[nodiscard]] auto running() const -> int { return static_cast<int>(batch_.size()); }
    [[nodiscard]] auto queued() const -> int { return static_cast<int>(queue_.size()); }

private:
    struct batch_entry {
        engine_request request;
        int unread_tokens = 0;
        int written_tokens = 0;
        int reads_now = 0;   // prompt tokens that the current pass reads
        bool writes = false; // the current pass generates tokens for it
    };

    auto begin_pass(time_point now) -> void;

    engine_profile profile_;
    int max_queue_ = 0;
    double slowdown_ = 1;
    std::vector<batch_entry> batch_;
    std::deque<engine_request> queue_;
    std::optional<time_point> pass_end_;
};

} // namespace hibiscuswall::models
