// An entry that learns of a weights declaration late, because its link to the store carries a large
// configuration.
#include "hibiscuswall/serving/load_datagram.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

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

    // What an agent answers that knows this declaration.
    static auto declaration(std::uint64_t weights_version, std::uint64_t revision, milliseconds age)
        ->scripted_response
    {
        auto const value = encode_base64(json{{"model", "m"}, {"version", weights_version}}.dump());
        auto document = json{{"revision", revision}, {"ages_ms", {{"op/version/m", age.count()}}}};
        document["items"] = json::array();
        document["items"].push_back(json::array({"op/version/m", value, revision}));
        auto const body = document.dump();
        return scripted_response{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                 "\r\n\r\n" + body};
    }

    // Sends the entry a datagram from the given address.
    auto send_datagram(address const& from, std::string const& bytes)->void
    {
        using udp = boost::asio::ip::udp;
        auto const endpoint_of = [](address const& where) {
            return udp::endpoint{boost::asio::ip::make_address(where.ip), where.port};
        };
        auto io = boost::asio::io_context{};
        auto socket = udp::socket{io, endpoint_of(from)};
        socket.send_to(boost::asio::buffer(bytes), endpoint_of(peers));
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
    CHECK(entry.log_text().find("event=weights_declared ") != std::string::npos); // before the configuration
    CHECK(entry.log_text().find("event=configuration_applied version=2") == std::string::npos);
    CHECK_EQUAL(200, ask("/read/a").status); // still within the grace period
    sleep_until(declared_at + excluded_after);
    CHECK_EQUAL(503, ask("/read/a").status);
}

// Guards against an entry that trusts its own, late receipt of a declaration although an agent has known it
// for longer.
TEST(late_declaration, an_entry_takes_over_from_a_load_report_since_when_a_declaration_is_known)
{
    auto endpoint =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "a")}; }};
    entry_settings["version_time_ms"] = version_time.count();
    configure_engine();
    put_engine(endpoint);
    start_entry();
    await_ready();
    declare(2);
    CHECK(await_condition(
        seconds{1}, [&] { return entry.log_text().find("event=weights_declared ") != std::string::npos; }));
    CHECK_EQUAL(200, ask("/read/a").status);

    auto const stored = json::parse(call(store, {"GET", "/kv-key?key=op/version/m"}).body);
    auto report = load_report{};
    report.where = {"127.0.0.1", 9};
    report.weights_revision = stored["revision"].get<std::uint64_t>();
    report.weights_age = excluded_after;
    send_datagram(port_pool::next(), encode_for_subscriber(encode(report), 0, 0));
    CHECK(await_condition(milliseconds{800}, [&] { return ask("/read/a").status == 503; }));
}

// The store tells this entry nothing any more. Guards against an entry that learns of a declaration only from
// the store or from other entries, although the agents of the engines that it sends to know it.
TEST(late_declaration, an_entry_without_the_store_gets_a_declaration_and_its_age_from_an_agent)
{
    constexpr auto age = milliseconds{2'000}; // of the declaration, when the agent tells it
    constexpr auto revision = std::uint64_t{1'000'000};
    auto endpoint =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "a")}; }};
    auto agent = scripted_endpoint{[&](auto const& /*request*/) { return declaration(2, revision, age); }};
    entry_settings["version_time_ms"] = version_time.count();
    configure_engine();
    put_engine(endpoint);
    start_entry_behind_proxy();
    CHECK_EQUAL(200, ask("/read/a").status);
    CHECK_EQUAL(200, call(proxy_control, {"POST", "/v1/faults", {}, json{{"stall", true}}.dump()}).status);

    auto report = load_report{};
    report.where = agent.where(); // of an engine that the store does not list
    report.weights_revision = revision;
    report.weights_age = age;
    auto const told_at = clock::now();
    send_datagram(agent.where(), encode_for_subscriber(encode(report), 0, 0));
    sleep_until(told_at + milliseconds{800});
    CHECK_EQUAL(200, ask("/read/a").status); // still within the grace period
    sleep_until(told_at + excluded_after - age);
    CHECK_EQUAL(503, ask("/read/a").status);
}

// Two versions are declared while the store tells this entry nothing, and an agent knows the second one.
// Guards against an entry that counts the grace period of the version before both from the second
// declaration.
TEST(late_declaration, an_entry_that_missed_two_declarations_counts_from_when_it_knew_all)
{
    constexpr auto revision = std::uint64_t{1'000'000};
    auto endpoint =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "a")}; }};
    auto agent = scripted_endpoint{[&](auto const& /*request*/) { return declaration(3, revision, {}); }};
    entry_settings["version_time_ms"] = version_time.count();
    configure_engine();
    put_engine(endpoint);
    start_entry_behind_proxy();
    CHECK_EQUAL(200, ask("/read/a").status);
    CHECK_EQUAL(200, call(proxy_control, {"POST", "/v1/faults", {}, json{{"stall", true}}.dump()}).status);
    auto const stalled_at = clock::now();
    sleep_until(stalled_at + milliseconds{2'500});

    auto report = load_report{};
    report.where = agent.where();
    report.weights_revision = revision;
    send_datagram(agent.where(), encode_for_subscriber(encode(report), 0, 0));
    sleep_until(stalled_at + excluded_after + milliseconds{300});
    CHECK_EQUAL(503, ask("/read/a").status);
}
