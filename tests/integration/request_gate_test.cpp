// The request gate between an entry and an endpoint, over TCP connections: what it rejects before anything
// ran, what it relays, and which outcome it reports when a response is lost.
#include "hibiscuswall/calls/request_gate.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/http/http_server.hpp"

#include "support/port_pool.hpp"
#include "support/run_coroutine.hpp"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

class fixed_config final : public config_source {
public:
    [[nodiscard]] auto current() const -> config_view_ptr override { return view; }
    [[nodiscard]] auto confirmed(time_point /*now*/) const -> bool override { return is_confirmed; }
    auto subscribe(std::function<void(config_view const&)> callback) -> void override
    {
        changed = std::move(callback);
    }

    auto set_in_service(bool in_service) -> void
    {
        auto next = std::make_shared<config_view>(*view);
        next->revision += 1;
        next->failure_domains["gor-a"] = {"gor-a", "gorenjska", in_service};
        view = next;
        changed(*next);
    }

    std::shared_ptr<config_view const> view;
    bool is_confirmed = true;
    std::function<void(config_view const&)> changed;
};

constexpr auto own_incarnation = std::uint64_t{1'000};

} // namespace

TEST_GROUP(gate)
{
    asio::io_context io;
    timeline events{"agent-1", 100};
    metrics metrics_registry;
    random_source random{1};
    http_client client{io, nullptr};
    rpc_dispatcher rpc;
    http_router routes;
    member self;
    std::optional<process_context> context;
    fixed_config config;
    std::unique_ptr<request_gate> gate;
    std::unique_ptr<http_server> server;
    address where = port_pool::next();

    // ---- endpoint behind the gate
    http_router endpoint_routes;
    std::unique_ptr<http_server> endpoint;
    address endpoint_where = port_pool::next();
    std::string instance = "one";
    std::string digest = "digest-1";
    std::string engine_text_state = "ready";
    std::string response_version = "v1";
    int runs = 0;
    int cancel_count = 0;
    bool interrupt_response = false;
    milliseconds service_time{0};

    auto start(service_type type, int cold_limit = 4)->void
    {
        auto view = std::make_shared<config_view>();
        view->revision = 1;
        auto service = service_resource{};
        service.cold_limit = cold_limit;
        service.max_limit = 8;
        service.queue_limit = 4;
        view->services["s"] = service;
        config.view = view;

        self.name = "agent-1";
        self.failure_domain = "gor-a";
        self.incarnation = own_incarnation;
        context.emplace(process_context{io, self, client, rpc, routes, events, metrics_registry, random});
        auto settings = endpoint_settings{};
        settings.target_address = endpoint_where;
        settings.service = "s";
        settings.type = type;
        settings.poll_interval = milliseconds{10};
        start_endpoint();
        gate = std::make_unique<request_gate>(*context, config, settings, admission_settings{});
        rpc.serve(routes);
        server = std::make_unique<http_server>(io, routes, nullptr, http_server_limits{});
        CHECK(server->listen(where).has_value());
        gate->start();
        if (type == service_type::engine) gate->serve({"m", "", "v1", "digest-1"});
    }

    auto start_endpoint()->void
    {
        endpoint_routes.add("GET", "/v1/status",
                            [this](http_request const&, http_responder& out) -> asio::awaitable<void> {
                                auto const body = nlohmann::json{{"instance", instance},
                                                                 {"state", engine_text_state},
                                                                 {"version", "v1"},
                                                                 {"manifest_digest", digest}};
                                co_await out.send(json_response(200, body.dump()));
                            });
        endpoint_routes.add("POST", "/v1/cancel/",
                            [this](http_request const&, http_responder& out) -> asio::awaitable<void> {
                                ++cancel_count;
                                co_await out.send({200, {}, "{}"});
                            });
        endpoint_routes.add(
            "POST", "/v1/run",
            [this](http_request const& request, http_responder& out) -> asio::awaitable<void> {
                ++runs;
                auto const id = std::string{request.headers.find("X-Request-Id")};
                co_await sleep_for(service_time);
                if (interrupt_response) {
                    co_await out.start(200, {});
                    co_await out.write("half");
                    out.abort();
                    co_return;
                }
                auto const body = nlohmann::json{{"weights_version", response_version}, {"request_id", id}};
                co_await out.send(json_response(200, body.dump()));
            });
        endpoint_routes.add("POST", "/v1/foreign",
                            [](http_request const&, http_responder& out) -> asio::awaitable<void> {
                                auto response = http_response{200, {}, "of somebody else"};
                                response.headers.set("X-Request-Id", "another-call");
                                co_await out.send(std::move(response));
                            });
        endpoint_routes.add("POST", "/v1/stream",
                            [](http_request const&, http_responder& out) -> asio::awaitable<void> {
                                co_await out.start(200, {});
                                for (auto i = 0; i < 500; ++i) {
                                    if (!co_await out.write("piece ")) co_return;
                                    co_await sleep_for(milliseconds{5});
                                }
                                co_await out.finish();
                            });
        endpoint = std::make_unique<http_server>(io, endpoint_routes, nullptr, http_server_limits{});
        CHECK(endpoint->listen(endpoint_where).has_value());
    }

    auto request(std::string const& call_id, bool idempotent, std::string const& target = "/v1/run")
        ->http_request
    {
        auto message = http_request{"POST", "/forward", {}, "{}"};
        message.headers.set("Hw-Call-Id", call_id);
        message.headers.set("Hw-Account", "office");
        message.headers.set("Hw-Class", "booking");
        message.headers.set("Hw-Deadline-Ms", 2'000LL);
        message.headers.set("Hw-Method", "POST");
        message.headers.set("Hw-Target", target);
        message.headers.set("Hw-Idempotent", idempotent ? 1LL : 0LL);
        if (!idempotent) message.headers.set("Hw-Agent-Incarnation", static_cast<long long>(own_incarnation));
        return message;
    }

    auto send(http_request message)->http_response
    {
        auto response = run_coroutine(io, client.fetch(where, std::move(message)));
        CHECK(response.has_value());
        return std::move(response).value();
    }

    auto run_for(milliseconds time)->void
    {
        io.restart();
        io.run_for(time);
    }

    auto check_not_run(http_response const& response, result_code code)->void
    {
        LONGS_EQUAL(static_cast<int>(code), response.headers.number("Hw-Code", -1));
        STRCMP_EQUAL("no", std::string{response.headers.find("Hw-Ran")}.c_str());
        LONGS_EQUAL(0, runs);
    }

    auto resolve(std::string const& call_id, std::uint64_t incarnation = own_incarnation)->std::string
    {
        auto params = nlohmann::json{{"call_id", call_id}, {"incarnation", incarnation}};
        auto response = run_coroutine(io, rpc_call(client, where, "call.resolve", params, seconds{1}));
        CHECK(response.has_value());
        return response.value().value("state", "");
    }

    auto teardown()->void override
    {
        endpoint.reset();
        server.reset();
        gate.reset();
    }
};

TEST(gate, complete_response_is_relayed_with_the_endpoint_state)
{
    start(service_type::engine);
    auto const response = send(request("a", true));
    LONGS_EQUAL(200, response.status);
    STRCMP_EQUAL("a", std::string{response.headers.find("Hw-Call-Id")}.c_str());
    STRCMP_EQUAL("yes", std::string{response.headers.find("Hw-Ran")}.c_str());
    STRCMP_EQUAL("v1", std::string{response.headers.find("Hw-Weights-Version")}.c_str());
    LONGS_EQUAL(4, response.headers.number("Hw-Limit", 0));
}

// Guards against reporting "not run" for a call that ran, and against running a call that must be rejected.
TEST(gate, calls_that_are_not_admissible_are_rejected_before_they_run)
{
    start(service_type::engine);
    config.is_confirmed = false;
    check_not_run(send(request("a", true)), result_code::configuration_unconfirmed);
    config.is_confirmed = true;
    config.set_in_service(false);
    check_not_run(send(request("a", true)), result_code::failure_domain_out);
    config.set_in_service(true);

    auto outdated = request("b", false);
    outdated.headers.set("Hw-Agent-Incarnation", static_cast<long long>(own_incarnation - 1));
    check_not_run(send(outdated), result_code::agent_restarted);
    // If its response were lost, its outcome could not be resolved.
    auto without_incarnation = request("b2", false);
    without_incarnation.headers.set("Hw-Agent-Incarnation", 0LL);
    check_not_run(send(without_incarnation), result_code::agent_restarted);
    auto pinned = request("c", true);
    pinned.headers.set("Hw-Weights-Version", "v0");
    check_not_run(send(pinned), result_code::version_mismatch);
    auto expired = request("d", true);
    expired.headers.set("Hw-Deadline-Ms", 0LL);
    check_not_run(send(expired), result_code::deadline_exceeded);

    gate->begin_leaving();
    check_not_run(send(request("e", true)), result_code::endpoint_draining);
}

// Guards against responses from weights that were not ordered.
TEST(gate, engine_with_other_weights_closes_the_gate)
{
    start(service_type::engine);
    LONGS_EQUAL(200, send(request("a", true)).status);
    runs = 0;
    digest = "other";
    run_for(milliseconds{60});
    DOUBLES_EQUAL(1, metrics_registry.value("engine_changes_total"), 0);
    CHECK_FALSE(gate->serving().has_value());
    check_not_run(send(request("b", true)), result_code::endpoint_cold);
    digest = "digest-1";
    gate->serve({"m", "", "v1", "digest-1"});
    LONGS_EQUAL(200, send(request("c", true)).status);
}

TEST(gate, engine_restart_with_the_same_weights_closes_the_gate)
{
    start(service_type::engine);
    run_for(milliseconds{40});
    instance = "two";
    run_for(milliseconds{60});
    DOUBLES_EQUAL(1, metrics_registry.value("engine_changes_total"), 0);
    check_not_run(send(request("b", true)), result_code::endpoint_cold);
}

TEST(gate, response_of_another_request_or_weights_version_is_dropped)
{
    start(service_type::engine);
    auto response = send(request("a", true, "/v1/foreign"));
    LONGS_EQUAL(static_cast<int>(result_code::response_malformed), response.headers.number("Hw-Code", 0));
    STRCMP_EQUAL("unknown", std::string{response.headers.find("Hw-Ran")}.c_str());
    response_version = "v0";
    response = send(request("b", true));
    LONGS_EQUAL(static_cast<int>(result_code::response_malformed), response.headers.number("Hw-Code", 0));
}

// Guards against a booking that is reported as not run, or run again, after its response was interrupted.
TEST(gate, interrupted_response_of_plain_service_is_outcome_unknown)
{
    start(service_type::plain);
    interrupt_response = true;
    auto const response = send(request("a", false));
    LONGS_EQUAL(static_cast<int>(result_code::outcome_unknown), response.headers.number("Hw-Code", 0));
    STRCMP_EQUAL("unknown", std::string{response.headers.find("Hw-Ran")}.c_str());
    interrupt_response = false;
    send(request("a", false));
    LONGS_EQUAL(1, runs);
    STRCMP_EQUAL("other_incarnation", resolve("a").c_str());
}

TEST(gate, duplicate_call_id_gets_the_first_response)
{
    start(service_type::plain);
    auto const first = send(request("a", false));
    auto const second = send(request("a", false));
    STRCMP_EQUAL(first.body.c_str(), second.body.c_str());
    LONGS_EQUAL(1, runs);
    STRCMP_EQUAL("answered", resolve("a").c_str());
    STRCMP_EQUAL("other_incarnation", resolve("a", own_incarnation - 1).c_str());
}

// Guards against a first request that runs although it arrives after its retry was allowed to run.
TEST(gate, call_revoked_before_its_arrival_is_rejected)
{
    start(service_type::plain);
    STRCMP_EQUAL("revoked", resolve("late").c_str());
    check_not_run(send(request("late", false)), result_code::call_revoked);
}

// Guards against a paused process that resolves calls of its replacement: it has no record of them, so if it
// revoked them, they could run twice.
TEST(gate, call_of_another_process_of_the_same_name_is_not_resolved)
{
    start(service_type::plain);
    context->self.incarnation = own_incarnation + 10; // Above that of the replacement, own_incarnation + 5.
    STRCMP_EQUAL("other_incarnation", resolve("theirs", own_incarnation + 5).c_str());
    STRCMP_EQUAL("revoked", resolve("first", own_incarnation).c_str());
    STRCMP_EQUAL("revoked", resolve("second", own_incarnation + 10).c_str());
}

// Guards against an outcome other than "not run" when nothing can have run.
TEST(gate, failed_connection_to_the_service_is_not_run)
{
    start(service_type::plain);
    run_for(milliseconds{10}); // The server's accept loop holds its state only after it has started.
    endpoint.reset();
    check_not_run(send(request("a", false)), result_code::connect_failed);
}

// Guards against an engine that continues to generate for a disconnected caller.
TEST(gate, entry_disconnect_cancels_the_request_at_the_engine)
{
    start(service_type::engine);
    auto opened = run_coroutine(io, client.open(where, request("a", true, "/v1/stream")));
    CHECK(opened.has_value());
    LONGS_EQUAL(1, static_cast<long>(gate->in_flight()));
    opened.value().reset();
    run_for(milliseconds{100});
    LONGS_EQUAL(1, cancel_count);
    LONGS_EQUAL(0, static_cast<long>(gate->in_flight()));
}

// Guards against a graceful stop or a drain that interrupts running requests.
TEST(gate, leaving_gate_finishes_running_requests_and_rejects_new_ones)
{
    start(service_type::plain);
    service_time = milliseconds{100};
    auto first = std::optional<http_response>{};
    auto const store = [&]() -> asio::awaitable<void> {
        auto response = co_await client.fetch(where, request("a", false));
        if (response) first = std::move(response).value();
    };
    asio::co_spawn(io, store(), asio::detached);
    run_for(milliseconds{30});
    config.set_in_service(false);
    gate->begin_leaving();
    auto const second = send(request("b", false));
    STRCMP_EQUAL("no", std::string{second.headers.find("Hw-Ran")}.c_str());
    run_for(milliseconds{200});
    CHECK(first.has_value());
    LONGS_EQUAL(200, first->status);
    LONGS_EQUAL(1, runs);
    LONGS_EQUAL(0, static_cast<long>(gate->in_flight()));
}
