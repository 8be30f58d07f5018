// Bytes without end from an engine to its agent, whose client must not keep them.
#include "hibiscuswall/weights/engine_stage.hpp"

#include "support/run_coroutine.hpp"
#include "support/scripted_endpoint.hpp"
#include "support/weights_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(endless_answers)
{
    static constexpr auto kept_bytes = std::size_t{1U << 20U}; // far more than any answer that is due

    asio::io_context io;
    http_client client{io, nullptr};

    static auto endless(std::string head, std::string repeated)->scripted_response
    {
        auto response = scripted_response{std::move(head)};
        response.repeated = std::move(repeated);
        return response;
    }
    auto received(std::string const& purpose)->std::size_t
    {
        auto const found = client.traffic().find(purpose);
        return found == client.traffic().end() ? 0 : found->second.received;
    }
};

TEST(endless_answers, a_chunk_header_that_does_not_end_is_an_error)
{
    auto const piece = std::string(64U * 1'024, 'x');
    auto engine = scripted_endpoint{[&](auto const&) {
        return endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", piece);
    }};
    auto options = http_call_options{};
    options.timeout = milliseconds{2'000};
    auto const answer = run_coroutine(io, client.fetch(engine.where(), {"GET", "/report"}, options));
    CHECK(!answer);
    CHECK(answer.error().code == result_code::response_malformed); // before the time is over
}

TEST(endless_answers, a_header_that_does_not_end_is_an_error)
{
    auto const line = "X-Field: " + std::string(1'024, 'x') + "\r\n";
    auto engine = scripted_endpoint{[&](auto const&) { return endless("HTTP/1.1 200 OK\r\n", line); }};
    auto options = http_call_options{};
    options.timeout = milliseconds{2'000};
    auto const answer = run_coroutine(io, client.fetch(engine.where(), {"GET", "/report"}, options));
    CHECK(!answer);
    CHECK(answer.error().code == result_code::response_malformed);
}

// Guards against a gate or an agent that takes an answer without a status for one.
TEST(endless_answers, a_status_outside_of_the_protocol_is_an_error)
{
    auto engine = scripted_endpoint{
        [&](auto const&) { return scripted_response{"HTTP/1.1 000 Oops\r\nContent-Length: 0\r\n\r\n"}; }};
    auto const answer = run_coroutine(io, client.fetch(engine.where(), {"GET", "/report"}, {}));
    CHECK(!answer);
    CHECK(answer.error().code == result_code::response_malformed);
}

// Guards against an agent that keeps up to 64 MB of a staged chunk of a few kilobytes.
TEST(endless_answers, a_staged_chunk_larger_than_its_size_is_not_kept)
{
    auto const piece = std::string(64U * 1'024, 'x');
    auto engine = scripted_endpoint{[&](auto const& request) {
        auto const is_list = request.line.find("sampleCount") == std::string::npos;
        if (is_list) return scripted_response{"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"held\":[1]}"};
        return endless("HTTP/1.1 200 OK\r\n\r\n", piece);
    }};
    auto fleet = weights_fleet{};
    auto chunks = chunk_store{kept_bytes};
    auto digests = verifier{io};
    auto context = process_context{
        io, fleet.self, client, fleet.rpc, fleet.control, fleet.events, fleet.metrics_registry, fleet.random};
    auto stage = engine_stage{context, engine.where(), chunks, digests};
    auto const version =
        std::make_shared<manifest const>(platform::decode_manifest(fleet_manifest(2).dump()).value());
    auto const held = run_coroutine(io, stage.read_back(version));
    CHECK(held.has_value());
    CHECK_FALSE(held.value()[1]);
    CHECK(received("stage") < kept_bytes);
}
