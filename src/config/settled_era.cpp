#include "hibiscuswall/config/settled_era.hpp"

#include <charconv>
#include <string>
#include <utility>

namespace hibiscuswall {
namespace {

constexpr auto settled_era_key = "restore/settled_era";

struct era_record {
    std::uint64_t era = 0;      // 0: none is recorded
    std::uint64_t revision = 0; // of the record
};

auto parse_record(key_value_entry const& entry) -> result<era_record>
{
    auto record = era_record{0, entry.revision};
    auto const& text = entry.value;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), record.era);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size())
        return fail(result_code::response_malformed,
                    std::string{settled_era_key} + ": expected an era, found: " + text.substr(0, 32));
    return record;
}

auto read_record(key_value_client& store) -> asio::awaitable<result<era_record>>
{
    auto found = co_await store.find(settled_era_key);
    if (!found) co_return found.error();
    if (!found.value()) co_return era_record{};
    co_return parse_record(*found.value());
}

} // namespace

auto read_settled_era(key_value_client& store) -> asio::awaitable<result<std::uint64_t>>
{
    auto record = co_await read_record(store);
    if (!record) co_return record.error();
    co_return record.value().era;
}

auto record_settled_era(key_value_client& store, std::uint64_t era) -> asio::awaitable<result<std::uint64_t>>
{
    auto record = co_await read_record(store);
    // A record that is no number is replaced.
    auto const is_malformed = !record && record.error().code == result_code::response_malformed;
    if (!record && !is_malformed) co_return record.error();
    if (record && record.value().era >= era) co_return record.value().era;
    auto const expect = record ? std::optional{record.value().revision} : std::nullopt;
    auto written = co_await store.put(settled_era_key, std::to_string(era), expect);
    if (!written) co_return written.error();
    co_return era;
}

} // namespace hibiscuswall
