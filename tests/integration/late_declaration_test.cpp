// An entry that learns of a weights declaration late, because its link to the store carries a large
// configuration.
#include "support/direct_engine_base.hpp"

using namespace hibiscuswall;

TEST_GROUP_BASE(late_declaration, direct_engine_base)
{
    static constexpr auto version_time = milliseconds{4'000};
    // The grace period of old weights less the time that a call may wait in an engine.
    static constexpr auto excluded_after = milliseconds{3'500};
    static constexpr auto link_rate = 200'000;   // bytes/s
    static constexpr auto unused_routes = 2'000; // of the large configuration: 2 to 3 s on that link

    address direct_store;
    address proxy_control = port_pool::next();
    process proxy;

    // The entry reaches the store through the proxy; the test reaches it directly.
    auto start_entry_behind_proxy()->void
    {
        direct_store = store;
        auto const proxied = port_pool::next();
        proxy = process{
            "fault-proxy",
            {"--control", proxy_control.text(), "--listen", proxied.text(), "--target", direct_store.text()},
            folder / "proxy.log"};
        CHECK(await_condition(seconds{5}, [&] {
            return call(proxy_control, {"GET", "/v1/stats"}).status == 200;
        }));
        store = proxied;
        start_entry();
        store = direct_store;
        await_ready();
    }

    auto limit_link()->void
    {
        auto const body = json{{"rate", link_rate}};
        CHECK_EQUAL(200, call(proxy_control, {"POST", "/v1/faults", {}, body.dump()}).status);
    }

    auto sleep_until(time_point until)->void
    {
        std::this_thread::sleep_for(std::max(until - clock::now(), clock::duration{0}));
    }

    void teardown() override
    {
        proxy.kill();
        direct_entry_base::teardown();
    }
};

// Two versions of the configuration and a weights declaration follow each other closely. Guards against an
// entry that counts the grace period of the old weights from the moment at which the declaration's response
// was complete, and sends calls there for as much longer as the configuration took.
TEST(late_declaration, the_grace_period_of_old_weights_does_not_begin_when_a_large_configuration_has_arrived)
{
    auto endpoint =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "a")}; }};
    entry_settings["version_time_ms"] = version_time.count();
    entry_settings["settle_time_ms"] = 20'000; // long watches: none ends during the test
    configure_engine();
    put_engine(endpoint);
    start_entry_behind_proxy();
    CHECK_EQUAL(200, ask("/read/a").status);

    limit_link();
    configure_engine(unused_routes);
    std::this_thread::sleep_for(milliseconds{300});
    declare(2);
    auto const declared_at = clock::now();
    sleep_until(declared_at + milliseconds{1'000});
    CHECK_EQUAL(200, ask("/read/a").status); // still within the grace period
    sleep_until(declared_at + excluded_after);
    CHECK_EQUAL(503, ask("/read/a").status);
}
