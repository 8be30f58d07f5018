#include "hibiscuswall/fleet/entry_registration.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/fleet/entry_directory.hpp"
#include "hibiscuswall/observe/log.hpp"

namespace hibiscuswall {

auto entry_registration::run() -> asio::awaitable<void>
{
    while (true) {
        auto const done = lease_ ? co_await renew() : co_await register_self();
        auto const delay = done ? settings_.renew_interval : settings_.retry_delay;
        auto const fraction = 0.5 + 0.5 * random_.fraction(); // spreads the calls of many entries
        co_await sleep_for(
            milliseconds{static_cast<long long>(fraction * static_cast<double>(delay.count()))});
    }
}

auto entry_registration::register_self() -> asio::awaitable<bool>
{
    auto const opened = co_await store_.open_lease(settings_.lease_ttl);
    if (!opened) co_return false;
    // Unconditional: a record under this name is left over from an earlier run of this entry.
    auto const written = co_await store_.put(std::string{entry_prefix} + self_.name, encode_entry(self_),
                                             std::nullopt, opened.value());
    log_event(log_level::info, "entry_listed",
              {{"region", self_.region}, {"outcome", written ? "written" : written.error().message}});
    if (written) lease_ = opened.value();
    co_return static_cast<bool>(written);
}

auto entry_registration::renew() -> asio::awaitable<bool>
{
    auto const renewed = co_await store_.renew_lease(*lease_);
    if (renewed) co_return true;
    if (renewed.error().code != result_code::resource_not_found) co_return false;
    log_event(log_level::warning, "entry_no_longer_listed", {{"reason", renewed.error().message}});
    lease_.reset();
    co_return false;
}

} // namespace hibiscuswall
