#include "hibiscuswall/weights/fencing.hpp"

#include "platform/store_revision.hpp"

#include <charconv>

namespace hibiscuswall {
namespace {

auto era_of(std::uint64_t revision) -> std::uint64_t { return store_revision::from_ordered(revision).era; }

} // namespace

auto next_fencing_number(key_value_client& store, std::string host) -> asio::awaitable<result<std::uint64_t>>
{
    constexpr auto max_attempts = 4;
    auto const key = "fencing/" + host;
    auto last_error = fail(result_code::store_unavailable, key);
    for (auto i = 0; i < max_attempts; ++i) {
        auto found = co_await store.find(key);
        if (!found) co_return found.error();
        auto number = std::uint64_t{0};
        auto revision = std::uint64_t{0};
        if (found.value()) {
            auto const& text = found.value()->value;
            revision = found.value()->revision;
            auto const parsed = std::from_chars(text.data(), text.data() + text.size(), number);
            if (parsed.ec != std::errc{})
                co_return fail(result_code::response_malformed,
                               key + ": expected a fencing number, found: " + text.substr(0, 32));
        }
        ++number;
        auto written = co_await store.put(key, std::to_string(number), revision);
        if (written) co_return store_revision{era_of(written.value()), number}.ordered();
        last_error = written.error();
    }
    co_return last_error;
}

} // namespace hibiscuswall
