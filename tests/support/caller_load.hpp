#pragma once
// Load generator for drafts. Callers send one request after another, as behind the platform's load balancer:
// each call goes to an entry whose /readyz responds with 200. Every response is checked: it must be complete
// and match its own prompt and a single weights version.
//
//   auto load = caller_load{system, 6, 40};
//   ...
//   auto counts = load.stop();
//   LONGS_EQUAL(0, counts.failed);   // counts.problems holds the reasons
//
// The callers run on their own threads and use only addresses copied from the deployment.

#include "support/deployment.hpp"

#include <atomic>
#include <mutex>
#include <thread>

namespace hibiscuswall {

struct load_counts {
    int complete = 0; // Complete and correct.
    int failed = 0;   // Rejected, interrupted or without a response, which the caller could detect.
    int wrong = 0; // Complete for the caller, but of another prompt, of mixed weights or with missing tokens.
    std::map<std::string, int> versions; // Number of complete responses by weights version.
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
    struct entry_addresses {
        address client;
        address control;
    };

    auto run(int caller) -> void
    {
        for (auto sequence = 0; !stopping_; ++sequence) {
            auto const& entry = entries_[static_cast<std::size_t>(caller + sequence) % entries_.size()];
            if (call(entry.control, {"GET", "/readyz"}, milliseconds{500}).status != 200) {
                std::this_thread::sleep_for(milliseconds{5});
                continue;
            }
            auto const prompt = "caller " + std::to_string(caller) + " draft " + std::to_string(sequence);
            record_response(call_completion(entry.client, "key-drustvo", "snow", prompt, tokens_), prompt);
        }
    }

    auto record_response(streamed_response const& response, std::string const& prompt) -> void
    {
        auto const lock = std::lock_guard{mutex_};
        if (response.whole && text_is_consistent(response.text, prompt, tokens_)) {
            ++counts_.complete;
            auto const at = response.text.find('@') + 1; // "<prompt>#<n>@<version>:<content> "
            ++counts_.versions[response.text.substr(at, response.text.find(':', at) - at)];
            return;
        }
        ++(response.whole ? counts_.wrong : counts_.failed);
        counts_.problems.push_back(std::to_string(response.status) + " " + response.body.substr(0, 300));
    }

    int tokens_;
    std::vector<entry_addresses> entries_;
    std::vector<std::thread> threads_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    load_counts counts_;
};

inline auto describe_problems(load_counts const& counts) -> std::string
{
    auto text = std::to_string(counts.complete) + " complete, " + std::to_string(counts.failed) +
                " failed, " + std::to_string(counts.wrong) + " wrong";
    for (auto i = std::size_t{0}; i < std::min<std::size_t>(3, counts.problems.size()); ++i)
        text += "; " + counts.problems[i];
    return text;
}

} // namespace hibiscuswall
