// An entry that is stopped while operators declare new weights, and goes on.
#include "support/direct_engine_base.hpp"

using namespace hibiscuswall;

TEST_GROUP_BASE(paused_entry, direct_engine_base)
{
    static constexpr auto version_time = milliseconds{4'000};
};

// Guards against an entry that counts the grace period of the old weights from the moment at which it went
// on, and sends calls there for as much longer as it stood still.
TEST(paused_entry, the_grace_period_of_old_weights_does_not_begin_when_a_pause_ends)
{
    constexpr auto pause = milliseconds{2'300};
    constexpr auto excluded_after =
        milliseconds{3'500}; // 4 s less the time that a call may wait in an engine
    auto endpoint =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "a")}; }};
    entry_settings["version_time_ms"] = version_time.count();
    configure_engine();
    put_engine(endpoint);
    start_entry();
    await_ready();
    CHECK_EQUAL(200, ask("/read/a").status);

    entry.send_signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds{200});
    declare(2);
    auto const declared_at = clock::now();
    std::this_thread::sleep_for(pause);
    entry.send_signal(SIGCONT);
    CHECK_EQUAL(200, ask("/read/a").status); // still within the grace period
    std::this_thread::sleep_until(std::chrono::steady_clock::now() +
                                  (declared_at + excluded_after - clock::now()));
    CHECK_EQUAL(503, ask("/read/a").status);
    CHECK(entry.running());
}
