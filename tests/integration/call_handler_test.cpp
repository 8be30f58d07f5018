// An entry's calls against agents and a store that this test plays, so that each answer can be lost, late or
// wrong at will. No other process takes part.
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
        auto const found =
            std::find_if(list.begin(), list.end(), [&](auto const& host) { return host.name == name; });
        return found == list.end() ? nullptr : &*found;
    }
    auto subscribe(std::function<void(member const&)> /*changed*/) -> void override {}
};

constexpr auto endless_limit = std::size_t{64} << 20U;

enum class behaviour {
    answer,
    cut_before_run,
    cut_after_run,
    refuse,
    wrong_id,
    hang,
    cut_stream,
    endless_event,
    stall_stream
};

// An agent and its endpoint, with the behaviour of the next calls.
struct played_agent {
    std::string name;
    http_router routes;
    rpc_dispatcher rpc;
    call_registry registry{{}};
    std::vector<behaviour> plan; // of the next calls; answer when it is empty
    std::vector<std::string> ran;
    int received = 0;
    bool saw_disconnect = false;
    std::string version = "v1";
    std::string last_event_id;
    std::size_t endless_bytes = 0;   // of one event, taken by the entry
    std::function<void()> after_cut; // of a stream
    std::unique_ptr<http_server> server;

    explicit played_agent(std::string given) : name{std::move(given)}
    {
        routes.add("POST", "/forward", [this](http_request const& request, http_responder& out) {
            return forward(request, out);
        });
        rpc.add("call.resolve", [this](nlohmann::json const& params) -> result<nlohmann::json> {
            if (params.at("incarnation") != 1) return nlohmann::json{{"state", "other_incarnation"}};
            auto const age = milliseconds{params.at("age_ms").get<long long>()};
            auto const found = registry.resolve(params.at("call_id"), age, clock::now());
            constexpr char const* states[] = {"running", "answered", "refused", "revoked", "unknown"};
            auto told = nlohmann::json{{"state", states[static_cast<int>(found.state)]}};
            if (found.answer)
                told["answer"] = {{"status", found.answer->status},
                                  {"content_type", found.answer->content_type},
                                  {"body", found.answer->body}};
            return told;
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
        auto act = behaviour::answer;
        if (!plan.empty()) {
            act = plan.front();
            plan.erase(plan.begin());
        }
        if (request.headers.find("Hw-Target") == "/v1/completions") {
            co_await complete(request, out, act);
            co_return;
        }
        if (act == behaviour::hang) {
            out.on_disconnect([this] { saw_disconnect = true; });
            while (!out.disconnected())
                co_await sleep_for(milliseconds{1});
            auto late = http_response{503, {}, {}};
            co_await out.send(std::move(late));
            co_return;
        }
        auto const cut = act == behaviour::cut_before_run || act == behaviour::cut_after_run;
        auto refusal = act == behaviour::refuse ? result_code::endpoint_draining : result_code::ok;
        if (act != behaviour::cut_before_run && refusal == result_code::ok)
            refusal = registry.begin(id, clock::now());
        if (refusal != result_code::ok) {
            auto answer = http_response{503, headers(id, "no", refusal), "{}"};
            co_await out.send(std::move(answer));
            co_return;
        }
        if (act != behaviour::cut_before_run) {
            ran.push_back(id);
            registry.answered(id, kept_answer{200, "text/plain", "done by " + name});
        }
        if (cut) {
            auto fields = headers(id, "yes", result_code::ok);
            co_await out.start(200, std::move(fields));
            out.abort();
            co_return;
        }
        auto const told = act == behaviour::wrong_id ? std::string{"another"} : id;
        auto answer = http_response{200, headers(told, "yes", result_code::ok), "done by " + name};
        co_await out.send(std::move(answer));
    }

    auto complete(http_request const& request, http_responder& out, behaviour act) -> asio::awaitable<void>
    {
        auto const id = std::string{request.headers.find("Hw-Call-Id")};
        auto const after = request.headers.number("Last-Event-ID", 0);
        last_event_id = std::string{request.headers.find("Last-Event-ID")};
        auto const pinned = version; // an endpoint goes on with the weights that began a request
        auto fields = headers(id, "yes", result_code::ok);
        fields.set("Content-Type", "text/event-stream");
        co_await out.start(200, std::move(fields));
        if (act == behaviour::endless_event) {
            auto const piece = std::string(64 * 1024, 'x');
            while (endless_bytes < endless_limit && co_await out.write(piece))
                endless_bytes += piece.size();
            out.abort();
            co_return;
        }
        for (auto event = after + 1; event <= 6; ++event) {
            if (act == behaviour::stall_stream && event == 4) {
                while (!out.disconnected())
                    co_await sleep_for(milliseconds{1});
                out.abort();
                co_return;
            }
            if (act == behaviour::cut_stream && event == 4) {
                // Half an event, as a killed process leaves it.
                co_await out.write("id: 4\nda");
                out.abort();
                if (after_cut) after_cut();
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

TEST_BASE(calls_base)
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
    played_agent one{"one"};
    played_agent two{"two"};
    address store_at = port_pool::next();
    key_value_client kv{context.client, {store_at}, milliseconds{200}};
    http_router callers;
    address entry_at = port_pool::next();
    std::unique_ptr<http_server> entry;
    std::unique_ptr<call_handler> handler;
    call_settings settings;
    http_headers asked;

    void setup() override
    {
        asked.set("Authorization", "Bearer secret");
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
        settings.endpoint_wait = milliseconds{100};
        settings.status_timeout = milliseconds{200};
        settings.event_timeout = milliseconds{200};
        handler = std::make_unique<call_handler>(context, config, members, kv, settings, callers);
        handler->start();
        entry = serve(callers, entry_at);
    }

    // Runs what is left, so that every connection's coroutine ends before what it refers to.
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

    auto add(played_agent & agent, std::string domain)->void
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
        auto request = http_request{std::move(method), "/v1/services/booking/visits", asked, std::move(body)};
        if (!key.empty()) request.headers.set("Idempotency-Key", key);
        return send(std::move(request));
    }

    auto send(http_request request)->http_response
    {
        auto answer = run_coroutine(io, context.client.fetch(entry_at, std::move(request)));
        CHECK(answer.has_value());
        // Claims are finished after the caller has its answer.
        while (handler->in_flight() > 0)
            io.run_one();
        return std::move(answer).value();
    }

    [[nodiscard]] auto runs() const->std::size_t { return one.ran.size() + two.ran.size(); }
};

TEST_GROUP_BASE(calls_once, calls_base){};

TEST(calls_once, a_booking_runs_once_and_a_repeat_gets_its_first_answer)
{
    auto const first = call("POST", "k1");
    auto const repeat = call("POST", "k1");
    CHECK_EQUAL(200, first.status);
    STRCMP_EQUAL(first.body.c_str(), repeat.body.c_str());
    STRCMP_EQUAL("yes", std::string{repeat.headers.find("X-Replayed")}.c_str());
    CHECK(first.headers.find("X-Call-Id") == repeat.headers.find("X-Call-Id"));
    CHECK_EQUAL(1U, runs());
}

// Guards against a second booking after a cut answer: the agent tells what became of the first.
TEST(calls_once, a_cut_answer_is_settled_by_the_agent)
{
    one.plan = {behaviour::cut_after_run};
    auto const answer = call("POST", "k1");
    CHECK_EQUAL(200, answer.status);
    STRCMP_EQUAL("done by one", answer.body.c_str());
    CHECK_EQUAL(1U, runs());
}

TEST(calls_once, a_call_that_never_arrived_is_revoked_and_runs_elsewhere)
{
    one.plan = {behaviour::cut_before_run};
    auto const answer = call("POST", "");
    CHECK_EQUAL(200, answer.status);
    STRCMP_EQUAL("done by two", answer.body.c_str());
    CHECK_EQUAL(1U, runs());
}

// Guards against a guess where the agent that held the call has restarted.
TEST(calls_once, a_restarted_agent_leaves_the_outcome_unknown_for_good)
{
    one.plan = {behaviour::cut_after_run};
    members.list[0].incarnation = 7; // the entry asks for an incarnation that the agent does not have
    handler->start();
    for (auto i = 0; i < 3; ++i) {
        auto const answer = call("POST", "k1");
        CHECK_EQUAL(504, answer.status);
        STRCMP_EQUAL("unknown", std::string{answer.headers.find("X-Ran")}.c_str());
        STRCMP_EQUAL("outcome_unknown",
                     nlohmann::json::parse(answer.body).at("name").get<std::string>().c_str());
    }
    CHECK_EQUAL(1U, runs());
}

TEST(calls_once, a_key_with_another_body_is_refused)
{
    call("POST", "k1");
    auto const other = call("POST", "k1", "another visit");
    CHECK_EQUAL(422, other.status);
    STRCMP_EQUAL("no", std::string{other.headers.find("X-Ran")}.c_str());
    CHECK_EQUAL(1U, runs());
}

// Guards against a claim that is lost or doubled when the store's answer is.
TEST(calls_once, lost_store_answers_are_read_back)
{
    store.drop_responses = 2;
    CHECK_EQUAL(200, call("POST", "k1").status);
    CHECK_EQUAL(200, call("POST", "k1").status);
    CHECK_EQUAL(1U, runs());
}

// Guards against a keyed call that is sent without its claim.
TEST(calls_once, without_the_store_a_keyed_call_is_not_run_and_one_without_key_runs)
{
    store_server.reset();
    auto const keyed = call("POST", "k1");
    CHECK_EQUAL(503, keyed.status);
    STRCMP_EQUAL("no", std::string{keyed.headers.find("X-Ran")}.c_str());
    CHECK_EQUAL(0, one.received + two.received);
    CHECK_EQUAL(200, call("POST", "").status);
    CHECK_EQUAL(1U, runs());
}

// Guards against a repeat that finds the claim of a call which was refused, and cannot run.
TEST(calls_once, a_key_is_free_again_after_a_refusal)
{
    one.plan.assign(20, behaviour::refuse);
    two.plan.assign(20, behaviour::refuse);
    auto const refused = call("POST", "k1");
    CHECK_EQUAL(503, refused.status);
    STRCMP_EQUAL("no", std::string{refused.headers.find("X-Ran")}.c_str());
    CHECK(!refused.headers.find("Retry-After").empty());
    one.plan.clear();
    two.plan.clear();
    io.restart();
    io.run_for(settings.routing.rejection_pause);
    CHECK_EQUAL(200, call("POST", "k1").status);
    CHECK_EQUAL(1U, runs());
}

TEST_GROUP_BASE(calls_retry, calls_base){};

TEST(calls_retry, a_refused_call_runs_elsewhere)
{
    one.plan = {behaviour::refuse};
    STRCMP_EQUAL("done by two", call("POST", "").body.c_str());
}

// Guards against an answer that reaches the wrong caller.
TEST(calls_retry, an_answer_with_another_call_id_is_dropped_and_counted)
{
    one.plan = {behaviour::wrong_id};
    STRCMP_EQUAL("done by two", call("GET", "").body.c_str());
    CHECK_EQUAL(1.0, context.metrics_registry.value("answers_dropped_total"));
}

// Guards against a status read that waits for a frozen endpoint until its deadline.
TEST(calls_retry, a_late_status_read_is_asked_elsewhere)
{
    one.plan = {behaviour::hang};
    auto const begun = clock::now();
    STRCMP_EQUAL("done by two", call("GET", "").body.c_str());
    CHECK(clock::now() - begun < milliseconds{1'000});
}

// Guards against work that goes on for a caller that left.
TEST(calls_retry, a_caller_that_leaves_cancels_the_forwarded_call)
{
    one.plan = {behaviour::hang};
    auto options = http_call_options{};
    options.timeout = milliseconds{50};
    auto request = http_request{"GET", "/v1/services/booking/visits", asked, {}};
    CHECK(!run_coroutine(io, context.client.fetch(entry_at, std::move(request), options)).has_value());
    auto const until = clock::now() + milliseconds{150};
    while (!one.saw_disconnect && clock::now() < until)
        io.run_one_for(milliseconds{5});
    CHECK(one.saw_disconnect);
    CHECK_EQUAL(0, two.received);
}

TEST_GROUP_BASE(calls_stream, calls_base){auto stream()->std::string{
    return send({"POST", "/v1/completions", asked, R"({"model":"draft","prompt":"p","stream":true})"}).body;
}

auto events(std::string const& from, std::string const& rest) -> std::string
{
    auto text = std::string{};
    for (auto event = 1; event <= 6; ++event)
        text += "id: " + std::to_string(event) + "\ndata: " + (event < 4 ? from : rest) + "\n\n";
    return text + "event: done\ndata: {}\n\n";
}
}
;

TEST(calls_stream, a_cut_stream_goes_on_after_its_last_whole_event)
{
    one.plan = {behaviour::cut_stream};
    two.plan = {behaviour::cut_stream};
    STRCMP_EQUAL(events("v1", "v1").c_str(), stream().c_str());
    CHECK(one.last_event_id == "3" || two.last_event_id == "3");
}

// Guards against an answer from two weights versions.
TEST(calls_stream, a_stream_never_goes_on_with_another_version)
{
    for (auto* agent : {&one, &two})
        agent->plan = {behaviour::cut_stream};
    // The version changes at both agents once the first part is out.
    one.after_cut = two.after_cut = [this] { one.version = two.version = "v2"; };
    one.plan.insert(one.plan.begin(), behaviour::cut_stream);
    auto const text = stream();
    auto const has_both =
        text.find("data: v1") != std::string::npos && text.find("data: v2") != std::string::npos;
    CHECK(!has_both);
    CHECK(text.find("event: error") != std::string::npos);
    auto const complete = text.find("event: done") != std::string::npos;
    CHECK(complete != (text.find("event: error") != std::string::npos));
}

// Guards against an entry whose memory grows with an event that an engine never ends.
TEST(calls_stream, an_event_without_end_is_given_up)
{
    for (auto* agent : {&one, &two})
        agent->plan = {behaviour::endless_event};
    STRCMP_EQUAL(events("v1", "v1").c_str(), stream().c_str());
    CHECK(one.endless_bytes + two.endless_bytes < endless_limit / 4);
}

// Guards against a caller that waits for answer_timeout_ms because an agent was paused between two events.
TEST(calls_stream, a_stream_that_stalls_between_events_goes_on_elsewhere)
{
    one.plan = {behaviour::stall_stream};
    two.plan = {behaviour::stall_stream};
    auto const begun = clock::now();
    STRCMP_EQUAL(events("v1", "v1").c_str(), stream().c_str());
    CHECK(clock::now() - begun < settings.response_timeout / 2);
    CHECK(one.last_event_id == "3" || two.last_event_id == "3");
}
