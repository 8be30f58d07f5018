#include "models/engine_model.hpp"

#include <algorithm>
#include <chrono>

namespace hibiscuswall::models {

auto engine_model::add(engine_request const& request, time_point now) -> bool
{
    if (running() < profile_.slots)
        batch_.push_back({request, std::max(1, request.prompt_tokens)});
    else if (queued() < max_queue_)
        queue_.push_back(request);
    else
        return false;
    if (!pass_end_) begin_pass(now);
    return true;
}

auto engine_model::remove(std::size_t call) -> void
{
    std::erase_if(batch_, [&](batch_entry const& each) { return each.request.call == call; });
    std::erase_if(queue_, [&](engine_request const& each) { return each.call == call; });
}

auto engine_model::begin_pass(time_point now) -> void
{
    while (running() < profile_.slots && !queue_.empty()) {
        batch_.push_back({queue_.front(), std::max(1, queue_.front().prompt_tokens)});
        queue_.pop_front();
    }
    pass_end_.reset();
    if (batch_.empty()) return;
    auto writers = 0;
    auto readable = std::max(1, profile_.prompt_tokens_per_pass);
    auto read_tokens = 0;
    for (auto& each : batch_) {
        each.writes = each.unread_tokens == 0;
        each.reads_now = std::min(each.unread_tokens, readable);
        readable -= each.reads_now;
        read_tokens += each.reads_now;
        writers += each.writes ? 1 : 0;
    }
    auto const steps = writers > 0 ? profile_.steps_per_pass : 1;
    auto const pass_ms = steps * (profile_.step_ms + profile_.step_per_request_ms * writers) +
                         read_tokens / std::max(0.001, profile_.prompt_tokens_per_ms);
    pass_end_ = now + std::chrono::duration_cast<clock::duration>(
                          std::chrono::duration<double, std::milli>(slowdown_ * pass_ms));
}

auto engine_model::end_pass(time_point now) -> std::vector<engine_progress>
{
    auto progress = std::vector<engine_progress>{};
    for (auto& each : batch_) {
        auto const was_unread = each.unread_tokens > 0;
        each.unread_tokens -= each.reads_now;
        if (each.writes) each.written_tokens += profile_.steps_per_pass;
        // Reading the last part of a prompt yields the first token.
        auto const is_first = was_unread && each.unread_tokens == 0;
        if (is_first) each.written_tokens = 1;
        auto const has_ended = each.unread_tokens == 0 && each.written_tokens >= each.request.response_tokens;
        if (is_first || has_ended) progress.push_back({each.request.call, is_first, has_ended});
        each.reads_now = 0;
        each.writes = false;
    }
    std::erase_if(batch_, [](batch_entry const& each) {
        return each.unread_tokens == 0 && each.written_tokens >= each.request.response_tokens;
    });
    begin_pass(now);
    return progress;
}

} // namespace hibiscuswall::models
