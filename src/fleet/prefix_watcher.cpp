#include "hibiscuswall/fleet/prefix_watcher.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace hibiscuswall {
namespace {

constexpr auto return_time = milliseconds{2'500}; // after an outage, deletions may still come from it

} // namespace

auto prefix_mirror::run() -> asio::awaitable<void>
{
    while (true) {
        auto done = result<void>{success()};
        if (complete_)
            done = co_await follow();
        else
            done = co_await read_all();
        if (done) continue;
        if (done.error().code == result_code::history_unavailable) {
            note_answer();
            complete_ = false;
            continue;
        }
        co_await note_failure(done.error());
    }
}

auto prefix_mirror::read_all() -> asio::awaitable<result<void>>
{
    auto found = co_await store_.range(prefix_);
    if (!found) co_return found.error();
    note_answer();
    revision_ = found.value().revision;
    complete_ = true;
    events_.all(found.value(), was_away(clock::now()));
    co_return success();
}

auto prefix_mirror::follow() -> asio::awaitable<result<void>>
{
    auto const wait = short_watches_ > 0 ? settings_.first_wait : settings_.wait;
    if (short_watches_ > 0) --short_watches_;
    auto news = co_await store_.watch_prefix(prefix_, revision_, wait);
    if (!news) co_return news.error();
    note_answer();
    revision_ = std::max(revision_, news.value().revision);
    auto const away = was_away(clock::now());
    auto keys = std::set<std::string_view>{};
    for (auto const& change : news.value().changes) {
        events_.change(change, away);
        // A watch brings each value that a key had. Behind a narrow link, reading the newest ones catches up.
        if (!keys.insert(change.key).second) complete_ = false;
    }
    if (!news.value().changes.empty() && settings_.gather.count() > 0) co_await sleep_for(settings_.gather);
    co_return success();
}

auto prefix_mirror::note_answer() -> void
{
    auto const now = clock::now();
    if (failures_ > 0) {
        back_at_ = now;
        log_event(log_level::info, "store_regained",
                  {{"prefix", prefix_}, {"failures", std::to_string(failures_)}});
    }
    failures_ = 0;
    confirmed_at_ = now;
}

auto prefix_mirror::note_failure(error const& why) -> asio::awaitable<void>
{
    short_watches_ = settings_.first_watches;
    complete_ = false; // the next watch would ask for all that the failed one could not bring
    if (failures_++ == 0)
        log_event(log_level::warning, "store_lost", {{"prefix", prefix_}, {"reason", why.message}});
    auto const longest = std::min(settings_.longest_pause, settings_.shortest_pause * failures_);
    auto const part = 0.5 + 0.5 * random_.fraction(); // so that processes do not return together
    co_await sleep_for(milliseconds{static_cast<long long>(part * static_cast<double>(longest.count()))});
}

auto prefix_mirror::was_away(time_point now) const -> bool
{
    return back_at_ != time_point{} && now - back_at_ < return_time;
}

} // namespace hibiscuswall
