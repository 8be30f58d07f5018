// Outcomes that an entry reports for a call, claims of calls, stream events and the parsing of calls.
#include "hibiscuswall/calls/caller_call.hpp"
#include "hibiscuswall/calls/claim_bucket.hpp"
#include "hibiscuswall/calls/event_parser.hpp"
#include "hibiscuswall/calls/forward_response.hpp"
#include "hibiscuswall/lifecycle/call_machine.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(call_machine)
{
    call_machine non_idempotent{false};
    call_machine idempotent{true};
};

// Guards against a retry of a booking that may have run.
TEST(call_machine, non_idempotent_call_with_unknown_outcome_is_not_sent_again)
{
    CHECK(non_idempotent.process(call_event::claimed));
    CHECK(non_idempotent.process(call_event::sent));
    CHECK(non_idempotent.outcome() == ran::unknown);
    CHECK(non_idempotent.process(call_event::response_lost));
    CHECK(!non_idempotent.process(call_event::sent));
    CHECK(non_idempotent.phase() == call_phase::unknown);
}

TEST(call_machine, attempt_that_did_not_run_allows_another_attempt)
{
    CHECK(non_idempotent.process(call_event::sent));
    CHECK(non_idempotent.process(call_event::not_run));
    CHECK(non_idempotent.outcome() == ran::no);
    CHECK(non_idempotent.process(call_event::claimed));
    CHECK(non_idempotent.process(call_event::sent));
    CHECK(non_idempotent.process(call_event::response_received));
    CHECK(non_idempotent.outcome() == ran::yes);
}

TEST(call_machine, lost_response_resolved_as_not_run_has_outcome_no)
{
    CHECK(non_idempotent.process(call_event::sent));
    CHECK(non_idempotent.process(call_event::response_lost));
    CHECK(non_idempotent.process(call_event::not_run));
    CHECK(non_idempotent.outcome() == ran::no);
}

// Guards against reporting "not run" when the first attempt may have run and only the second one was
// rejected.
TEST(call_machine, rejected_retry_keeps_unknown_outcome_of_first_attempt)
{
    CHECK(idempotent.process(call_event::sent));
    CHECK(idempotent.process(call_event::response_lost));
    CHECK(idempotent.process(call_event::sent));
    CHECK(idempotent.process(call_event::not_run));
    CHECK(idempotent.outcome() == ran::unknown);
}

TEST_GROUP(claim_bucket){
    auto make(std::string id, long long claimed_at_ms, std::size_t answer_size)->claim{auto value = claim{};
value.call_id = std::move(id);
value.claimed_at_ms = claimed_at_ms;
value.state = claim_state::answered;
if (answer_size > 0) value.response = claim_response{200, "text/plain", std::string(answer_size, 'x')};
return value;
}
}
;

TEST(claim_bucket, claim_is_equal_after_text_and_parse)
{
    auto bucket = claim_bucket{};
    bucket.set("guild/deposit-1", make("c1", 5, 10));
    auto const read = claim_bucket::parse(bucket.text());
    CHECK(read.has_value());
    auto const* found = read->find("guild/deposit-1");
    CHECK(found != nullptr);
    STRCMP_EQUAL("c1", found->call_id.c_str());
    CHECK(found->state == claim_state::answered);
    CHECK_EQUAL(10U, found->response->body.size());
}

// Guards against overwriting a damaged bucket, which would lose every claim in it.
TEST(claim_bucket, damaged_text_gives_no_bucket)
{
    CHECK(!claim_bucket::parse("[]").has_value());
    CHECK(!claim_bucket::parse("{\"a/b\":{\"call_id\":7}}").has_value());
    CHECK(!claim_bucket::parse("{\"a/b\":").has_value());
    CHECK(claim_bucket::parse("").has_value());
}

// Guards against a bucket above the store's size limit, and against removing a claim to reduce the size.
TEST(claim_bucket, oversized_bucket_drops_oldest_responses_but_no_claims)
{
    auto bucket = claim_bucket{};
    for (auto i = 0; i < 10; ++i)
        bucket.set("a/" + std::to_string(i), make("c", i, 1'000));
    CHECK(bucket.fit(6'000));
    CHECK(bucket.text().size() <= 6'000);
    CHECK_EQUAL(10U, bucket.size());
    CHECK(!bucket.find("a/0")->response.has_value());
    CHECK(bucket.find("a/9")->response.has_value());
    CHECK(!bucket.fit(500));
    CHECK_EQUAL(10U, bucket.size());
}

TEST(claim_bucket, claims_older_than_lifetime_are_dropped)
{
    auto bucket = claim_bucket{};
    bucket.set("a/old", make("c", 0, 0));
    bucket.set("a/new", make("c", 900, 0));
    bucket.drop_expired(1'001, milliseconds{1'000});
    CHECK(bucket.find("a/old") == nullptr);
    CHECK(bucket.find("a/new") != nullptr);
}

// Guards against writing an outdated cached text of the bucket, which would lose a claim.
TEST(claim_bucket, text_reflects_every_change)
{
    auto bucket = claim_bucket{};
    bucket.set("a/old", make("c", 0, 100));
    CHECK(claim_bucket::parse(bucket.text())->find("a/old") != nullptr);
    bucket.set("a/new", make("d", 900, 100));
    CHECK(claim_bucket::parse(bucket.text())->find("a/new") != nullptr);
    bucket.set("a/new", make("e", 901, 100));
    STRCMP_EQUAL("e", claim_bucket::parse(bucket.text())->find("a/new")->call_id.c_str());
    bucket.fit(1);
    CHECK(!claim_bucket::parse(bucket.text())->find("a/new")->response.has_value());
    bucket.drop_expired(1'001, milliseconds{1'000});
    CHECK(claim_bucket::parse(bucket.text())->find("a/old") == nullptr);
}

TEST_GROUP(event_parser){};

// Guards against relaying an incomplete event before the stream is interrupted.
TEST(event_parser, only_complete_events_are_returned_for_every_piece_size)
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

TEST_GROUP(forward_response){};

// Guards against relaying the response of another call to this caller.
TEST(forward_response, missing_or_different_call_id_is_mismatched)
{
    auto headers = http_headers{};
    CHECK(read_forward_response(headers, "c1").is_mismatched);
    headers.set("Hw-Call-Id", "c2");
    CHECK(read_forward_response(headers, "c1").is_mismatched);
    headers.set("Hw-Call-Id", "c1");
    CHECK(!read_forward_response(headers, "c1").is_mismatched);
}

// Guards against reading a missing or invalid Hw-Ran as "not run".
TEST(forward_response, invalid_hw_ran_value_is_unknown_outcome)
{
    auto headers = http_headers{};
    headers.set("Hw-Ran", "maybe");
    CHECK(read_forward_response(headers, "").outcome == ran::unknown);
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

TEST(caller_call, service_route_determines_class_and_idempotency)
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

TEST(caller_call, each_invalid_request_has_its_result_code)
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
