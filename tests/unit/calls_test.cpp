// What an entry may say about a call, and the claims and events that it works with.
#include "hibiscuswall/calls/caller_call.hpp"
#include "hibiscuswall/calls/claim_bucket.hpp"
#include "hibiscuswall/calls/event_parser.hpp"
#include "hibiscuswall/calls/forward_response.hpp"
#include "hibiscuswall/lifecycle/call_machine.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(call_machine)
{
    call_machine booking{false};
    call_machine reading{true};
};

// Guards against a booking that is sent again although it may have run.
TEST(call_machine, a_booking_with_an_unknown_outcome_is_never_sent_again)
{
    CHECK(booking.process(call_event::claimed));
    CHECK(booking.process(call_event::sent));
    CHECK(booking.outcome() == ran::unknown);
    CHECK(booking.process(call_event::lost));
    CHECK(!booking.process(call_event::sent));
    CHECK(booking.phase() == call_phase::unknown);
}

TEST(call_machine, a_true_refusal_allows_another_attempt)
{
    CHECK(booking.process(call_event::sent));
    CHECK(booking.process(call_event::not_run));
    CHECK(booking.outcome() == ran::no);
    CHECK(booking.process(call_event::claimed));
    CHECK(booking.process(call_event::sent));
    CHECK(booking.process(call_event::answered));
    CHECK(booking.outcome() == ran::yes);
}

TEST(call_machine, the_agent_can_settle_a_lost_answer)
{
    CHECK(booking.process(call_event::sent));
    CHECK(booking.process(call_event::lost));
    CHECK(booking.process(call_event::not_run));
    CHECK(booking.outcome() == ran::no);
}

// Guards against "not run" after a first attempt that may have run and a second one that was refused.
TEST(call_machine, a_refused_repeat_does_not_undo_an_unknown_first_attempt)
{
    CHECK(reading.process(call_event::sent));
    CHECK(reading.process(call_event::lost));
    CHECK(reading.process(call_event::sent));
    CHECK(reading.process(call_event::not_run));
    CHECK(reading.outcome() == ran::unknown);
}

TEST_GROUP(claim_bucket){
    auto make(std::string id, long long at_ms, std::size_t answer_size)->claim{auto value = claim{};
value.call_id = std::move(id);
value.at_ms = at_ms;
value.state = claim_state::answered;
if (answer_size > 0) value.answer = claim_answer{200, "text/plain", std::string(answer_size, 'x')};
return value;
}
}
;

TEST(claim_bucket, a_claim_survives_the_store)
{
    auto bucket = claim_bucket{};
    bucket.set("guild/deposit-1", make("c1", 5, 10));
    auto const read = claim_bucket::parse(bucket.text());
    CHECK(read.has_value());
    auto const* found = read->find("guild/deposit-1");
    CHECK(found != nullptr);
    STRCMP_EQUAL("c1", found->call_id.c_str());
    CHECK(found->state == claim_state::answered);
    CHECK_EQUAL(10U, found->answer->body.size());
}

// Guards against a damaged bucket that is overwritten, which would forget every claim in it.
TEST(claim_bucket, a_damaged_bucket_is_no_bucket)
{
    CHECK(!claim_bucket::parse("[]").has_value());
    CHECK(!claim_bucket::parse("{\"a/b\":{\"call_id\":7}}").has_value());
    CHECK(!claim_bucket::parse("{\"a/b\":").has_value());
    CHECK(claim_bucket::parse("").has_value());
}

// Guards against a bucket above the store's limit, and against room made by forgetting a claim.
TEST(claim_bucket, kept_answers_go_before_any_claim_is_refused)
{
    auto bucket = claim_bucket{};
    for (auto i = 0; i < 10; ++i)
        bucket.set("a/" + std::to_string(i), make("c", i, 1'000));
    CHECK(bucket.fit(6'000));
    CHECK(bucket.text().size() <= 6'000);
    CHECK_EQUAL(10U, bucket.size());
    CHECK(!bucket.find("a/0")->answer.has_value());
    CHECK(bucket.find("a/9")->answer.has_value());
    CHECK(!bucket.fit(500));
    CHECK_EQUAL(10U, bucket.size());
}

TEST(claim_bucket, claims_expire)
{
    auto bucket = claim_bucket{};
    bucket.set("a/old", make("c", 0, 0));
    bucket.set("a/new", make("c", 900, 0));
    bucket.drop_expired(1'001, milliseconds{1'000});
    CHECK(bucket.find("a/old") == nullptr);
    CHECK(bucket.find("a/new") != nullptr);
}

// Guards against a swap that writes an earlier text of the bucket, which would lose a claim.
TEST(claim_bucket, the_text_follows_every_change)
{
    auto bucket = claim_bucket{};
    bucket.set("a/old", make("c", 0, 100));
    CHECK(claim_bucket::parse(bucket.text())->find("a/old") != nullptr);
    bucket.set("a/new", make("d", 900, 100));
    CHECK(claim_bucket::parse(bucket.text())->find("a/new") != nullptr);
    bucket.set("a/new", make("e", 901, 100));
    STRCMP_EQUAL("e", claim_bucket::parse(bucket.text())->find("a/new")->call_id.c_str());
    bucket.fit(1);
    CHECK(!claim_bucket::parse(bucket.text())->find("a/new")->answer.has_value());
    bucket.drop_expired(1'001, milliseconds{1'000});
    CHECK(claim_bucket::parse(bucket.text())->find("a/old") == nullptr);
}

TEST_GROUP(event_parser){};

// Guards against half an event that is relayed before the stream is cut.
TEST(event_parser, only_whole_events_come_out_however_the_bytes_arrive)
{
    auto const text = std::string{
        "id: 1\ndata: {\"text\":\"a\"}\n\nid: 2\r\ndata: b\r\n\r\nevent: done\ndata: c\n\nid: 3\n"};
    for (auto step = std::size_t{1}; step < text.size(); ++step) {
        auto parser = event_parser{};
        auto events = std::vector<stream_event>{};
        for (auto at = std::size_t{0}; at < text.size(); at += step)
            for (auto& event : parser.feed(std::string_view{text}.substr(at, step)))
                events.push_back(std::move(event));
        CHECK_EQUAL(3U, events.size());
        CHECK(events[0].id == 1 && events[1].id == 2 && !events[2].id);
        STRCMP_EQUAL("done", events[2].type.c_str());
        STRCMP_EQUAL("id: 2\ndata: b\n\n", events[1].text.c_str());
        CHECK_EQUAL(6U, parser.pending());
    }
}

TEST_GROUP(forward_answer){};

// Guards against the answer of another call that reaches this caller.
TEST(forward_answer, an_answer_without_this_call_id_is_foreign)
{
    auto headers = http_headers{};
    CHECK(read_forward_answer(headers, "c1").foreign);
    headers.set("Hw-Call-Id", "c2");
    CHECK(read_forward_answer(headers, "c1").foreign);
    headers.set("Hw-Call-Id", "c1");
    CHECK(!read_forward_answer(headers, "c1").foreign);
}

// Guards against a missing Hw-Ran that is read as "not run".
TEST(forward_answer, what_is_not_told_is_unknown)
{
    auto headers = http_headers{};
    headers.set("Hw-Ran", "maybe");
    CHECK(read_forward_answer(headers, "").outcome == ran::unknown);
}

TEST_GROUP(caller_call)
{
    config_view view;
    call_settings settings;
    time_point now{};
    http_request request{"POST", "/v1/services/booking/visits?day=2", {}, "{}"};

    void setup() override
    {
        view.accounts["guild"].name = "guild";
        view.accounts["guild"].key = "secret";
        auto& service = view.services["booking"];
        service.type = service_type::plain;
        service.routes = {{"GET", "/", request_class::status, true},
                          {"POST", "/visits", request_class::booking, false}};
        request.headers.set("Authorization", "Bearer secret");
    }

    auto code()->result_code
    {
        auto const read = read_caller_call(request, view, settings, now);
        return read ? result_code::ok : read.error().code;
    }
};

TEST(caller_call, the_route_of_the_service_decides_class_and_idempotency)
{
    request.headers.set("Idempotency-Key", "k1");
    request.headers.set("X-Request-Timeout-Ms", 700LL);
    auto const read = read_caller_call(request, view, settings, now);
    CHECK(read.has_value());
    auto const& call = read.value();
    CHECK(!call.idempotent);
    CHECK(call.priority == request_class::booking);
    STRCMP_EQUAL("/visits?day=2", call.target.c_str());
    STRCMP_EQUAL("k1", call.idempotency_key.c_str());
    CHECK(call.deadline == now + milliseconds{700});
}

TEST(caller_call, each_mistake_has_its_code)
{
    request.headers.set("Idempotency-Key", "two words");
    CHECK(code() == result_code::request_malformed);
    request.headers.set("Idempotency-Key", "");
    request.headers.set("X-Request-Timeout-Ms", 0LL);
    CHECK(code() == result_code::request_malformed);
    request.headers.set("X-Request-Timeout-Ms", 10LL);
    request.target = "/v1/services/absent/";
    CHECK(code() == result_code::unknown_service);
    request.target = "/v1/completions";
    CHECK(code() == result_code::request_malformed);
    request.body = R"({"model":"absent","prompt":"p"})";
    CHECK(code() == result_code::unknown_model);
    request.headers.set("Authorization", "Bearer wrong");
    CHECK(code() == result_code::unknown_account);
    request.headers.set("X-Account", "guild");
    CHECK(code() == result_code::unknown_account);
    view.policy.allow_account_header = true;
    CHECK(code() == result_code::unknown_model);
}
