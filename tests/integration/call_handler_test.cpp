// Calls of an entry with simulated agents and a simulated store, so that each response can be lost, delayed
// or wrong. Everything runs in the test's process.
#include "hibiscuswall/calls/call_handler.hpp"
#include "hibiscuswall/calls/call_registry.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/daemon/daemon_base.hpp"
#include "hibiscuswall/http/http_server.hpp"

#include "standins/support/key_value_table.hpp"
#include "support/port_pool.hpp"
#include "support/run_coroutine.hpp"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

struct fixed_config final : config_source {
    std::shared_ptr<config_view> view = std::make_shared<config_view>();

    [[nodiscard]] auto current() const -> config_view_ptr override { return view; }
    [[nodiscard]] auto confirmed(time_point /*now*/) const -> bool override { return true; }
    auto subscribe(std::function<void(config_view const&)> /*changed*/) -> void override {}
};

struct fixed_members final : member_source {
    std::vector<member> list;

    [[nodiscard]] auto members() const -> std::vector<member> override { return list; }
    [[nodiscard]] auto find(std::string_view name) const -> member const* override
    {
        auto const resolved =
            std::find_if(list.begin(), list.end(), [&](auto const& host) { return host.name == name; });
        return resolved == list.end() ? nullptr : &*resolved;
    }
    auto subscribe(std::function<void(member const&)> /*changed*/) -> void override {}
};

constexpr auto endless_limit = std::size_t{64} << 20U;

enum class behaviour {
    respond,
    interrupt_before_run,
    interrupt_after_run,
    reject,
    wrong_id,
    hang,
    interrupt_stream,
    endless_event,
    stall_stream
};

// A simulated agent and its endpoint, with a planned behaviour for the next calls.
struct simulated_agent {
    std::string name;
    http_router routes;
    rpc_dispatcher rpc;
    call_registry registry{{}};
    std::vector<behaviour> plan; // Of the next calls; empty: respond.
    std::vector<std::string> executed_ids;
    int received = 0;
    bool saw_disconnect = false;
    std::string version = "v1";
    std::string last_event_id;
    std::size_t endless_bytes = 0;       // Bytes of one event that the entry has read.
    std::function<void()> on_stream_cut; // Called after a stream was interrupted.
    std::unique_ptr<http_server> server;

    explicit simulated_agent(std::string agent_name) : name{std::move(agent_name)}
    {
        routes.add("POST", "/forward", [this](http_request const& request, http_responder& out) {
            return forward(request, out);
        });
        rpc.add("call.resolve", [this](nlohmann::json const& params) -> result<nlohmann::json> {
            if (params.at("incarnation") != 1) return nlohmann::json{{"state", "other_incarnation"}};
            auto const age = milliseconds{params.at("age_ms").get<long long>()};
            auto const resolved = registry.resolve(params.at("call_id"), age, clock::now());
            constexpr char const* states[] = {"running", "answered", "refused", "revoked", "unknown"};
            auto result_json = nlohmann::json{{"state", states[static_cast<int>(resolved.state)]}};
            if (resolved.response)
                result_json["answer"] = {{"status", resolved.response->status},
                                         {"content_type", resolved.response->content_type},
                                         {"body", resolved.response->body}};
            return result_json;
        });
        rpc.serve(routes);
    }

    auto headers(std::string const& call_id, std::string_view outcome, result_code code) -> http_headers
    {
        auto fields = http_headers{};
        fields.set("Hw-Call-Id", call_id);
        fields.set("Hw-Ran", outcome);
        fields.set("Hw-Code", static_cast<long long>(code));
        fields.set("Hw-Limit", 8LL);
        fields.set("Hw-Agent-Incarnation", 1LL);
        fields.set("Hw-Endpoint-State", "ready");
        fields.set("Hw-Weights-Version", version);
        fields.set("Content-Type", "text/plain");
        return fields;
    }

    auto forward(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        ++received;
        auto const id = std::string{request.headers.find("Hw-Call-Id")};
        auto current = behaviour::respond;
        if (!plan.empty()) {
            current = plan.front();
            plan.erase(plan.begin());
        }
        if (request.headers.find("Hw-Target") == "/v1/completions") {
            co_await complete(request, out, current);
            co_return;
        }
        if (current == behaviour::hang) {
            out.on_disconnect([this] { saw_disconnect = true; });
            while (!out.disconnected())
                co_await sleep_for(milliseconds{1});
            auto rejection = http_response{503, {}, {}};
            co_await out.send(std::move(rejection));
            co_return;
        }
        auto const interrupt =
            current == behaviour::interrupt_before_run || current == behaviour::interrupt_after_run;
        auto rejection_code = current == behaviour::reject ? result_code::endpoint_draining : result_code::ok;
        if (current != behaviour::interrupt_before_run && rejection_code == result_code::ok)
            rejection_code = registry.begin(id, clock::now());
        if (rejection_code != result_code::ok) {
            auto response = http_response{503, headers(id, "no", rejection_code), "{}"};
            co_await out.send(std::move(response));
            co_return;
        }
        if (current != behaviour::interrupt_before_run) {
            executed_ids.push_back(id);
            registry.record_response(id, stored_response{200, "text/plain", "done by " + name});
        }
        if (interrupt) {
            auto fields = headers(id, "yes", result_code::ok);
            co_await out.start(200, std::move(fields));
            out.abort();
            co_return;
        }
        auto const call_id = current == behaviour::wrong_id ? std::string{"another"} : id;
        auto response = http_response{200, headers(call_id, "yes", result_code::ok), "done by " + name};
        co_await out.send(std::move(response));
    }

    auto complete(http_request const& request, http_responder& out, behaviour current)
        -> asio::awaitable<void>
    {
        auto const id = std::string{request.headers.find("Hw-Call-Id")};
        auto const after = request.headers.number("Last-Event-ID", 0);
        last_event_id = std::string{request.headers.find("Last-Event-ID")};
        auto const pinned = version; // An endpoint finishes a request with the weights that started it.
        auto fields = headers(id, "yes", result_code::ok);
        fields.set("Content-Type", "text/event-stream");
        co_await out.start(200, std::move(fields));
        if (current == behaviour::endless_event) {
            auto const piece = std::string(64 * 1024, 'x');
            while (endless_bytes < endless_limit && co_await out.write(piece))
                endless_bytes += piece.size();
            out.abort();
            co_return;
        }
        for (auto event = after + 1; event <= 6; ++event) {
            if (current == behaviour::stall_stream && event == 4) {
                while (!out.disconnected())
                    co_await sleep_for(milliseconds{1});
                out.abort();
                co_return;
            }
            if (current == behaviour::interrupt_stream && event == 4) {
                // An incomplete event, as left by a killed process.
                co_await out.write("id: 4\nda");
                out.abort();
                if (on_stream_cut) on_stream_cut();
                co_return;
            }
            auto const text = "id: " + std::to_string(event) + "\ndata: " + pinned + "\n\n";
            co_await out.write(text);
        }
        co_await out.write("event: done\ndata: {}\n\n");
        co_await out.finish();
    }
};

} // namespace

TEST_BASE(call_handler_fixture)
{
    member self;
    daemon_base base{self, 1};
    process_context& context = base.context();
    asio::io_context& io = context.io;
    fixed_config config;
    fixed_members members;
    key_value_table store{io};
    http_router store_routes;
    std::unique_ptr<http_server> store_server;
    simulated_agent one{"one"};
    simulated_agent two{"two"};
    address store_at = port_pool::next();
    key_value_client kv{context.client, {store_at}, milliseconds{200}};
    http_router callers;
    address entry_at = port_pool::next();
    std::unique_ptr<http_server> entry;
    std::unique_ptr<call_handler> handler;
    call_settings settings;
    http_headers request_headers;

    void setup() override
    {
        request_headers.set("Authorization", "Bearer secret");
        config.view->accounts["guild"].name = "guild";
        config.view->accounts["guild"].key = "secret";
        auto& booking = config.view->services["booking"];
        booking.type = service_type::plain;
        booking.routes = {{"GET", "/", request_class::status, true},
                          {"POST", "/", request_class::booking, false}};
        auto& serving = config.view->servings["draft"];
        serving.model = "draft";
        serving.service = "booking";
        serving.failure_domains = {"near", "far"};
        add(one, "near");
        add(two, "far");
        store.serve(store_routes);
        store_server = serve(store_routes, store_at);
        settings.endpoint_wait_timeout = milliseconds{100};
        settings.status_timeout = milliseconds{200};
        settings.event_timeout = milliseconds{200};
        handler = std::make_unique<call_handler>(context, config, members, kv, settings, callers);
        handler->start();
        entry = serve(callers, entry_at);
    }

    // Runs the remaining handlers, so that the coroutines of all connections end before the objects that they
    // use.
    void teardown() override
    {
        for (auto* server : {entry.get(), one.server.get(), two.server.get(), store_server.get()})
            if (server != nullptr) server->stop_accepting();
        io.restart();
        io.run_for(milliseconds{30});
    }

    auto serve(http_router & routes, address const& where)->std::unique_ptr<http_server>
    {
        auto server = std::make_unique<http_server>(io, routes, nullptr, http_server_limits{});
        auto const bound = server->listen(where);
        CHECK_TEXT(bound.has_value(), bound ? "" : bound.error().message.c_str());
        return server;
    }

    auto add(simulated_agent & agent, std::string domain)->void
    {
        auto host = member{};
        host.name = agent.name;
        host.control_address = port_pool::next();
        host.failure_domain = std::move(domain);
        host.service = "booking";
        host.incarnation = 1;
        members.list.push_back(host);
        agent.server = serve(agent.routes, host.control_address);
    }

    auto call(std::string method, std::string key, std::string body = "visit")->http_response
    {
        auto request =
            http_request{std::move(method), "/v1/services/booking/visits", request_headers, std::move(body)};
        if (!key.empty()) request.headers.set("Idempotency-Key", key);
        return send(std::move(request));
    }

    auto send(http_request request)->http_response
    {
        auto response = run_coroutine(io, context.client.fetch(entry_at, std::move(request)));
        CHECK(response.has_value());
        // Claims are finished after the response was sent.
        while (handler->in_flight() > 0)
            io.run_one();
        return std::move(response).value();
    }

    [[nodiscard]] auto runs() const->std::size_t { return one.executed_ids.size() + two.executed_ids.size(); }
};

TEST_GROUP_BASE(calls_once, call_handler_fixture){};

TEST(calls_once, retry_with_same_key_replays_first_response)
{
    auto const first = call("POST", "k1");
    auto const retry = call("POST", "k1");
    CHECK_EQUAL(200, first.status);
    STRCMP_EQUAL(first.body.c_str(), retry.body.c_str());
    STRCMP_EQUAL("yes", std::string{retry.headers.find("X-Replayed")}.c_str());
    CHECK(first.headers.find("X-Call-Id") == retry.headers.find("X-Call-Id"));
    CHECK_EQUAL(1U, runs());
}

// Guards against a second booking after an interrupted response: the agent reports the outcome of the first
// one.
TEST(calls_once, interrupted_response_is_resolved_by_the_agent)
{
    one.plan = {behaviour::interrupt_after_run};
    auto const response = call("POST", "k1");
    CHECK_EQUAL(200, response.status);
    STRCMP_EQUAL("done by one", response.body.c_str());
    CHECK_EQUAL(1U, runs());
}

TEST(calls_once, call_that_did_not_reach_its_agent_is_revoked_and_runs_at_another)
{
    one.plan = {behaviour::interrupt_before_run};
    auto const response = call("POST", "");
    CHECK_EQUAL(200, response.status);
    STRCMP_EQUAL("done by two", response.body.c_str());
    CHECK_EQUAL(1U, runs());
}

// Guards against a guessed outcome after a restart of the agent that had received the call.
TEST(calls_once, call_sent_to_restarted_agent_keeps_unknown_outcome)
{
    one.plan = {behaviour::interrupt_after_run};
    members.list[0].incarnation = 7; // The entry asks for an incarnation that the agent does not have.
    handler->start();
    for (auto i = 0; i < 3; ++i) {
        auto const response = call("POST", "k1");
        CHECK_EQUAL(504, response.status);
        STRCMP_EQUAL("unknown", std::string{response.headers.find("X-Ran")}.c_str());
        STRCMP_EQUAL("outcome_unknown",
                     nlohmann::json::parse(response.body).at("name").get<std::string>().c_str());
    }
    CHECK_EQUAL(1U, runs());
}

TEST(calls_once, key_reused_with_another_body_is_rejected)
{
    call("POST", "k1");
    auto const other = call("POST", "k1", "another visit");
    CHECK_EQUAL(422, other.status);
    STRCMP_EQUAL("no", std::string{other.headers.find("X-Ran")}.c_str());
    CHECK_EQUAL(1U, runs());
}

// Guards against a claim that is lost or duplicated when the store's response is lost.
TEST(calls_once, claim_with_lost_store_response_is_read_back)
{
    store.drop_responses = 2;
    CHECK_EQUAL(200, call("POST", "k1").status);
    CHECK_EQUAL(200, call("POST", "k1").status);
    CHECK_EQUAL(1U, runs());
}

// Guards against sending a call with a key whose claim is not stored.
TEST(calls_once, unavailable_store_rejects_calls_with_key_and_runs_calls_without)
{
    store_server.reset();
    auto const keyed = call("POST", "k1");
    CHECK_EQUAL(503, keyed.status);
    STRCMP_EQUAL("no", std::string{keyed.headers.find("X-Ran")}.c_str());
    CHECK_EQUAL(0, one.received + two.received);
    CHECK_EQUAL(200, call("POST", "").status);
    CHECK_EQUAL(1U, runs());
}

// Guards against the claim of a rejected call that prevents its retry from running.
TEST(calls_once, key_of_rejected_call_can_be_claimed_again)
{
    one.plan.assign(20, behaviour::reject);
    two.plan.assign(20, behaviour::reject);
    auto const rejected = call("POST", "k1");
    CHECK_EQUAL(503, rejected.status);
    STRCMP_EQUAL("no", std::string{rejected.headers.find("X-Ran")}.c_str());
    CHECK(!rejected.headers.find("Retry-After").empty());
    one.plan.clear();
    two.plan.clear();
    io.restart();
    io.run_for(settings.routing.rejection_pause);
    CHECK_EQUAL(200, call("POST", "k1").status);
    CHECK_EQUAL(1U, runs());
}

TEST_GROUP_BASE(calls_retry, call_handler_fixture){};

TEST(calls_retry, rejected_call_runs_at_another_agent)
{
    one.plan = {behaviour::reject};
    STRCMP_EQUAL("done by two", call("POST", "").body.c_str());
}

// Guards against relaying a response to the wrong caller.
TEST(calls_retry, response_with_another_call_id_is_dropped_and_counted)
{
    one.plan = {behaviour::wrong_id};
    STRCMP_EQUAL("done by two", call("GET", "").body.c_str());
    CHECK_EQUAL(1.0, context.metrics_registry.value("answers_dropped_total"));
}

// Guards against a status call that waits for a stalled endpoint until its deadline.
TEST(calls_retry, timed_out_status_call_is_retried_at_another_agent)
{
    one.plan = {behaviour::hang};
    auto const started_at = clock::now();
    STRCMP_EQUAL("done by two", call("GET", "").body.c_str());
    CHECK(clock::now() - started_at < milliseconds{1'000});
}

// Guards against work that continues for a disconnected caller.
TEST(calls_retry, caller_disconnect_cancels_the_forwarded_call)
{
    one.plan = {behaviour::hang};
    auto options = http_call_options{};
    options.timeout = milliseconds{50};
    auto request = http_request{"GET", "/v1/services/booking/visits", request_headers, {}};
    CHECK(!run_coroutine(io, context.client.fetch(entry_at, std::move(request), options)).has_value());
    auto const until = clock::now() + milliseconds{150};
    while (!one.saw_disconnect && clock::now() < until)
        io.run_one_for(milliseconds{5});
    CHECK(one.saw_disconnect);
    CHECK_EQUAL(0, two.received);
}

TEST_GROUP_BASE(calls_stream, call_handler_fixture){
    auto stream()->std::string{return send({"POST", "/v1/completions", request_headers,
                                            R"({"model":"draft","prompt":"p","stream":true})"})
                                   .body;
}

auto events(std::string const& from, std::string const& resumed_from) -> std::string
{
    auto text = std::string{};
    for (auto event = 1; event <= 6; ++event)
        text += "id: " + std::to_string(event) + "\ndata: " + (event < 4 ? from : resumed_from) + "\n\n";
    return text + "event: done\ndata: {}\n\n";
}
}
;

TEST(calls_stream, interrupted_stream_resumes_after_its_last_complete_event)
{
    one.plan = {behaviour::interrupt_stream};
    two.plan = {behaviour::interrupt_stream};
    STRCMP_EQUAL(events("v1", "v1").c_str(), stream().c_str());
    CHECK(one.last_event_id == "3" || two.last_event_id == "3");
}

// Guards against a response generated with two weights versions.
TEST(calls_stream, interrupted_stream_is_not_resumed_with_another_weights_version)
{
    for (auto* agent : {&one, &two})
        agent->plan = {behaviour::interrupt_stream};
    // The version changes at both agents after the first events were sent.
    one.on_stream_cut = two.on_stream_cut = [this] { one.version = two.version = "v2"; };
    one.plan.insert(one.plan.begin(), behaviour::interrupt_stream);
    auto const text = stream();
    auto const has_both =
        text.find("data: v1") != std::string::npos && text.find("data: v2") != std::string::npos;
    CHECK(!has_both);
    CHECK(text.find("event: error") != std::string::npos);
    auto const complete = text.find("event: done") != std::string::npos;
    CHECK(complete != (text.find("event: error") != std::string::npos));
}

// Guards against an entry whose memory grows with an event that the engine never ends.
TEST(calls_stream, stream_with_oversized_event_is_resumed_at_another_agent)
{
    for (auto* agent : {&one, &two})
        agent->plan = {behaviour::endless_event};
    STRCMP_EQUAL(events("v1", "v1").c_str(), stream().c_str());
    CHECK(one.endless_bytes + two.endless_bytes < endless_limit / 4);
}

// Guards against a caller that waits for answer_timeout_ms because an agent was paused between two events.
TEST(calls_stream, stream_stalled_between_events_resumes_at_another_agent)
{
    one.plan = {behaviour::stall_stream};
    two.plan = {behaviour::stall_stream};
    auto const started_at = clock::now();
    STRCMP_EQUAL(events("v1", "v1").c_str(), stream().c_str());
    CHECK(clock::now() - started_at < settings.response_timeout / 2);
    CHECK(one.last_event_id == "3" || two.last_event_id == "3");
}
