// Activation against a minimal engine and key-value service on a listener of this process.
#include "hibiscuswall/http/http_server.hpp"
#include "hibiscuswall/weights/activation.hpp"

#include "standins/support/key_value_table.hpp"
#include "support/port_pool.hpp"
#include "support/run_coroutine.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

struct always_confirmed final : config_source {
    bool is_confirmed = true;
    [[nodiscard]] auto current() const -> config_view_ptr override { return nullptr; }
    [[nodiscard]] auto confirmed(time_point /*now*/) const -> bool override { return is_confirmed; }
    auto subscribe(std::function<void(config_view const&)> /*changed*/) -> void override {}
};

struct recording_gate final : admission_gate {
    std::optional<served_weights> now;
    std::optional<served_weights> before_drain;
    bool drains = true;
    auto drain(milliseconds /*timeout*/) -> asio::awaitable<bool> override
    {
        before_drain = now;
        now.reset();
        co_return drains;
    }
    auto serve(served_weights const& weights) -> void override { now = weights; }
    auto close(result_code /*reason*/) -> void override { now.reset(); }
    [[nodiscard]] auto serving() const -> std::optional<served_weights> override { return now; }
};

} // namespace

TEST_GROUP(weights_activation)
{
    asio::io_context io;
    timeline events{"host-1", 64};
    metrics metrics_registry;
    random_source random{1};
    http_client client{io, nullptr};
    rpc_dispatcher rpc;
    http_router control;
    address where = port_pool::next();
    process_context context{io, {}, client, rpc, control, events, metrics_registry, random};
    http_router routes;
    std::unique_ptr<http_server> server;
    always_confirmed config;
    recording_gate gate;
    weights_settings settings;
    key_value_client store{client, {where}, milliseconds{500}};
    engine_client engine{client, where, milliseconds{500}};
    served_weights old_weights{"m", "", "v1", "digest-1"};
    served_weights new_weights{"m", "", "v2", "digest-2"};

    // ---- state of the minimal engine and key-value service
    nlohmann::json loaded = {{"state", "ready"}, {"version", "v1"}, {"manifest_digest", "digest-1"}};
    std::uint64_t newest_fencing = 0;
    std::string refused_version;
    int orders = 0;
    std::vector<std::string> ordered; // versions in the order of their load orders
    bool order_warms = false;         // whether an accepted order makes the engine ready
    std::string restarts_at;          // the order for this version makes the engine restart
    key_value_table table{io};

    void setup() override
    {
        context.self.name = "host-1";
        context.self.control_address = where;
        settings.load_timeout = milliseconds{300};
        settings.probe_interval = milliseconds{5};
        routes.add("GET", "/v1/status", [this](http_request const& /*request*/, http_responder& out) {
            return answer(out, 200, loaded.dump());
        });
        routes.add("POST", "/v1/orders", [this](http_request const& request, http_responder& out) {
            return answer(out, take_order(nlohmann::json::parse(request.body)), "{}");
        });
        table.entries["fencing/host-1"] = {"0", ++table.revision};
        table.serve(routes);
        server = std::make_unique<http_server>(io, routes, nullptr, http_server_limits{});
        CHECK(server->listen(where).has_value());
        gate.serve(old_weights);
    }

    auto answer(http_responder & out, int status, std::string body)->asio::awaitable<void>
    {
        auto response = json_response(status, std::move(body));
        co_await out.send(std::move(response));
    }

    auto take_order(nlohmann::json const& order)->int
    {
        ++orders;
        ordered.push_back(order.value("version", ""));
        if (ordered.back() == restarts_at) {
            restarts_at.clear();
            loaded = {{"instance", "after"}, {"state", "cold"}};
            return 500;
        }
        auto const number = order.value("fencing", std::uint64_t{0});
        if (number <= newest_fencing) return 409;
        newest_fencing = number;
        if (order.value("version", "") == refused_version) return 500;
        loaded["version"] = order.value("version", "");
        loaded["manifest_digest"] = order.value("manifest_digest", "");
        if (order_warms) loaded["state"] = "ready";
        return 200;
    }

    auto order(bool wanted = true)->result<void>
    {
        auto activating = activation{context, config, store, engine, gate, settings};
        return run_coroutine(io, activating.order(new_weights, [wanted] { return wanted; }));
    }
};

TEST(weights_activation, order_drains_loads_probes_and_serves_the_new_version)
{
    CHECK(order().has_value());
    CHECK(gate.before_drain == old_weights);
    CHECK(gate.now == new_weights);
    STRCMP_EQUAL("1", table.entries["fencing/host-1"].value.c_str());
}

// Guards against orders that an engine always rejects because a newer incarnation used the fencing number.
TEST(weights_activation, outdated_fencing_number_is_replaced_by_a_higher_one)
{
    newest_fencing = 2;
    CHECK(order().has_value());
    CHECK_EQUAL(3, orders);
    CHECK_EQUAL(3U, newest_fencing);
    CHECK(gate.now == new_weights);
}

// Guards against an endpoint that stays closed after the engine could not load a version.
TEST(weights_activation, failed_load_restores_the_old_version)
{
    refused_version = "v2";
    auto const done = order();
    CHECK(!done && done.error().code == result_code::load_rejected);
    CHECK(gate.now == old_weights);
}

// Guards against mixed weights: an engine that lost the old version is ordered to load it again.
TEST(weights_activation, failed_load_that_lost_the_old_weights_orders_them_again)
{
    refused_version = "v2";
    loaded["state"] = "cold";
    loaded["manifest_digest"] = "";
    auto const done = order();
    CHECK(!done);
    CHECK_EQUAL(2U, ordered.size());
    STRCMP_EQUAL("v2", ordered[0].c_str());
    STRCMP_EQUAL("v1", ordered[1].c_str());
    CHECK(!gate.now.has_value()); // the engine is still cold and must not serve
}

// Guards against an endpoint that stays closed although the engine loaded its old weights again.
TEST(weights_activation, engine_that_reloaded_its_old_weights_serves_them)
{
    refused_version = "v2";
    order_warms = true;
    loaded["state"] = "cold";
    loaded["manifest_digest"] = "";
    CHECK(!order());
    CHECK_EQUAL(2U, ordered.size());
    STRCMP_EQUAL("v1", ordered[1].c_str());
    CHECK(gate.now == old_weights);
}

// Guards against a rollout that stops on every host because one engine restarted: the version counted as
// failed.
TEST(weights_activation, engine_restart_during_a_load_defers_the_order)
{
    loaded["instance"] = "before";
    restarts_at = "v2";
    order_warms = true;
    auto const done = order();
    CHECK(!done && done.error().code == result_code::endpoint_cold);
    CHECK(order().has_value());
    CHECK(gate.now == new_weights);
}

// Guards against a truncated response: requests in flight keep their version.
TEST(weights_activation, requests_that_do_not_drain_defer_the_switch)
{
    gate.drains = false;
    auto const done = order();
    CHECK(!done && done.error().code == result_code::endpoint_draining);
    CHECK(gate.now == old_weights);
    CHECK_EQUAL(0, orders);
}

// Guards against an order from a process that was paused or whose declaration changed.
TEST(weights_activation, no_order_is_sent_unconfirmed_superseded_or_after_a_pause)
{
    config.is_confirmed = false;
    CHECK(order().error().code == result_code::configuration_unconfirmed);
    config.is_confirmed = true;
    CHECK(order(false).error().code == result_code::cancelled);
    settings.max_order_pause = milliseconds{-1};
    CHECK(order().error().code == result_code::fencing_outdated);
    CHECK_EQUAL(0, orders);
    CHECK(gate.now == old_weights);
}
