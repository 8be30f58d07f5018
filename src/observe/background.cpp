#include "hibiscuswall/observe/background.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/co_spawn.hpp>

#include <exception>

namespace hibiscuswall {
namespace {

constexpr auto restart_delay = milliseconds{200}; // a loop that fails at once must not occupy the processor

auto report_failure(std::string const& name, std::string const& reason, metrics* counters) -> void
{
    log_event(log_level::error, "background_failed", {{"name", name}, {"reason", reason}});
    if (counters != nullptr) counters->count("background_failures", {{"name", name}});
}

auto reason_of(std::exception_ptr const& failure) -> std::string
{
    try {
        std::rethrow_exception(failure);
    } catch (std::exception const& problem) {
        return problem.what();
    } catch (...) {
        return "not a standard exception";
    }
}

auto run_until_it_ends(std::string name, std::function<asio::awaitable<void>()> body, metrics* counters)
    -> asio::awaitable<void>
{
    while (true) {
        auto failure = std::exception_ptr{};
        try {
            co_await body();
        } catch (...) {
            failure = std::current_exception();
        }
        if (failure == nullptr) co_return;
        report_failure(name, reason_of(failure), counters);
        co_await sleep_for(restart_delay);
    }
}

} // namespace

auto start_loop(asio::any_io_executor const& executor, std::string const& name,
                std::function<asio::awaitable<void>()> body, metrics* counters) -> void
{
    start_task(executor, name, run_until_it_ends(name, std::move(body), counters), counters);
}

auto start_task(asio::any_io_executor const& executor, std::string name, asio::awaitable<void> task,
                metrics* counters) -> void
{
    asio::co_spawn(executor, std::move(task),
                   [name = std::move(name), counters](std::exception_ptr const& failure) {
                       if (failure != nullptr) report_failure(name, reason_of(failure), counters);
                   });
}

} // namespace hibiscuswall
