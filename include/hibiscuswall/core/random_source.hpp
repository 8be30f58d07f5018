#pragma once
// The one generator of a process, seeded by --seed so that a run can be repeated.
//
// Ids come from an engine of their own: two processes, or two lives of one process, with the same seed must
// repeat their choices but never share a call id or write id.
//
//   auto random = random_source{42};
//   auto index = random.below(endpoints.size());

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace hibiscuswall {

class random_source {
public:
    explicit random_source(std::uint64_t seed) : random_source{seed, seed} {}
    random_source(std::uint64_t seed, std::uint64_t id_seed) : engine_{seed}, id_engine_{id_seed} {}

    // Uniform in [0, limit); 0 when limit is 0.
    auto below(std::size_t limit) -> std::size_t
    {
        if (limit == 0) return 0;
        return std::uniform_int_distribution<std::size_t>{0, limit - 1}(engine_);
    }

    // Uniform in [0, 1).
    auto fraction() -> double { return std::uniform_real_distribution<double>{0.0, 1.0}(engine_); }

    // 128 random bits as 32 hexadecimal digits, for call ids and write ids.
    auto id() -> std::string
    {
        constexpr auto digits = "0123456789abcdef";
        auto text = std::string(32, '0');
        for (auto at = std::size_t{0}; at < text.size(); at += 16) {
            auto word = id_engine_();
            for (auto i = std::size_t{0}; i < 16; ++i, word >>= 4U)
                text[at + i] = digits[word & 15U];
        }
        return text;
    }

    auto engine() -> std::mt19937_64& { return engine_; }

private:
    std::mt19937_64 engine_;
    std::mt19937_64 id_engine_; // of id()
};

} // namespace hibiscuswall
