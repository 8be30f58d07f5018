#pragma once
// Callers that ask for drafts all the time, as behind the platform's balancer: each call goes to an entry
// that answers /readyz. Every answer is checked: whole, of its own prompt, of one weights version.
//
//   auto load = caller_load{system, 6, 40};
//   ...
//   auto counts = load.stop();
//   LONGS_EQUAL(0, counts.failed);   counts.problems says why
//
// The callers have their own threads and touch only addresses copied from the deployment.

#include "support/deployment.hpp"

#include <atomic>
#include <mutex>
#include <thread>

namespace hibiscuswall {

struct load_counts {
    int complete = 0; // complete and correct
    int failed = 0;   // refused, cut or without an answer; the caller was told so
    int wrong = 0;    // presented as complete but of another prompt, mixed weights or missing tokens
    std::map<std::string, int> versions; // of the whole answers, by weights version
    std::vector<std::string> problems;
};

class caller_load {
public:
    caller_load(deployment& system, int callers, int tokens) : tokens_{tokens}
    {
        for (auto const* entry : system.entries())
            entries_.push_back({entry->client, entry->control});
        for (auto i = 0; i < callers; ++i)
            threads_.emplace_back([this, i] { run(i); });
    }
    ~caller_load() { stop(); }
    caller_load(caller_load const&) = delete;
    auto operator=(caller_load const&) -> caller_load& = delete;

    auto stop() -> load_counts
    {
        stopping_ = true;
        for (auto& thread : threads_)
            thread.join();
        threads_.clear();
        return counts_;
    }

    [[nodiscard]] auto complete_count() -> int
    {
        auto const lock = std::lock_guard{mutex_};
        return counts_.complete;
    }

private:
    struct entry_place {
        address client;
        address control;
    };

    auto run(int caller) -> void
    {
        for (auto number = 0; !stopping_; ++number) {
            auto const& entry = entries_[static_cast<std::size_t>(caller + number) % entries_.size()];
            if (call(entry.control, {"GET", "/readyz"}, milliseconds{500}).status != 200) {
                std::this_thread::sleep_for(milliseconds{5});
                continue;
            }
            auto const prompt = "caller " + std::to_string(caller) + " draft " + std::to_string(number);
            note(call_completion(entry.client, "key-drustvo", "snow", prompt, tokens_), prompt);
        }
    }

    auto note(streamed_response const& answer, std::string const& prompt) -> void
    {
        auto const lock = std::lock_guard{mutex_};
        if (answer.whole && text_is_consistent(answer.text, prompt, tokens_)) {
            ++counts_.complete;
            auto const at = answer.text.find('@') + 1; // "<prompt>#<n>@<version>:<content> "
            ++counts_.versions[answer.text.substr(at, answer.text.find(':', at) - at)];
            return;
        }
        ++(answer.whole ? counts_.wrong : counts_.failed);
        counts_.problems.push_back(std::to_string(answer.status) + " " + answer.body.substr(0, 300));
    }

    int tokens_;
    std::vector<entry_place> entries_;
    std::vector<std::thread> threads_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    load_counts counts_;
};

inline auto describe_problems(load_counts const& counts) -> std::string
{
    auto text = std::to_string(counts.complete) + " whole, " + std::to_string(counts.failed) + " failed, " +
                std::to_string(counts.wrong) + " wrong";
    for (auto i = std::size_t{0}; i < std::min<std::size_t>(3, counts.problems.size()); ++i)
        text += "; " + counts.problems[i];
    return text;
}

} // namespace hibiscuswall
