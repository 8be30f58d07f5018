// Core helpers: what every process must compute alike, and settings mistakes that must be named by their
// path.
#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/core/result_code.hpp"
#include "hibiscuswall/core/settings_reader.hpp"
#include "hibiscuswall/core/sha256.hpp"
#include "hibiscuswall/http/error_body.hpp"

#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(core){};

// Guards against two builds that disagree on who owns a chunk.
TEST(core, rendezvous_order_is_independent_of_the_input_order)
{
    auto const forward = std::vector<std::string>{"a", "b", "c", "d"};
    auto const backward = std::vector<std::string>{"d", "c", "b", "a"};
    CHECK(rendezvous_rank("chunk", forward) == rendezvous_rank("chunk", backward));
}

// Guards against a name that leaves moving the keys of the others.
TEST(core, rendezvous_moves_only_the_keys_of_a_name_that_leaves)
{
    auto const all = std::vector<std::string>{"a", "b", "c", "d"};
    auto const rest = std::vector<std::string>{"a", "b", "c"};
    for (auto i = 0; i < 200; ++i) {
        auto const key = std::to_string(i);
        auto const before = rendezvous_rank(key, all).front();
        if (before != "d") CHECK(rendezvous_rank(key, rest).front() == before);
    }
}

TEST(core, sha256_of_a_known_text)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", sha256("abc").c_str());
}

// Guards against a name look-up sneaking in through the settings.
TEST(core, address_accepts_only_ip_numbers)
{
    CHECK(parse_address("127.0.0.1:80").has_value());
    CHECK(parse_address("[::1]:80").has_value());
    for (auto const* bad : {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "", ":1"})
        CHECK(!parse_address(bad).has_value());
}

TEST(core, settings_mistakes_are_named_by_path)
{
    auto const document = nlohmann::json::parse(R"({"name": 3, "limits": {"queue": 0, "quue": 1}})");
    auto errors = std::vector<std::string>{};
    auto reader = settings_reader{document, "", errors};
    reader.text("name", "");
    auto limits = reader.child("limits");
    limits.integer("queue", 8, 1, 10);
    limits.finish();
    reader.endpoint_address("listen");
    reader.finish();
    CHECK_EQUAL(4U, errors.size());
    STRCMP_EQUAL("name: must be a string", errors[0].c_str());
    STRCMP_EQUAL("limits.queue: 0 is below 1", errors[1].c_str());
    STRCMP_EQUAL("limits.quue: unknown field", errors[2].c_str());
    STRCMP_EQUAL("listen: is required", errors[3].c_str());
}

// Guards against a name as a source address, which would be found wrong only at the first connection.
TEST(core, a_source_address_must_be_an_ip_number)
{
    auto const document = nlohmann::json{{"good", "127.0.10.1"}, {"bad", "host-1"}};
    auto errors = std::vector<std::string>{};
    auto reader = settings_reader{document, "", errors};
    STRCMP_EQUAL("127.0.10.1", reader.optional_ip("good").c_str());
    STRCMP_EQUAL("", reader.optional_ip("absent").c_str());
    STRCMP_EQUAL("", reader.optional_ip("bad").c_str());
    CHECK_EQUAL(1U, errors.size());
    STRCMP_EQUAL("bad: \"host-1\" is not an IP number", errors[0].c_str());
}

// Guards against the table in the docs and the codes drifting apart.
TEST(core, result_codes_match_the_table_in_the_docs)
{
    auto file = std::ifstream{HW_SOURCE_DIR "/docs/result-codes.md"};
    auto page = std::stringstream{};
    page << file.rdbuf();
    for (auto const& info : result_code_table()) {
        auto row = std::stringstream{};
        row << "| " << static_cast<int>(info.code) << " | `" << info.name << "` | " << info.http_status
            << " | " << ran_text(info.outcome) << " | " << info.meaning << " |";
        CHECK_TRUE_TEXT(page.str().find(row.str()) != std::string::npos, row.str().c_str());
    }
}

// Guards against an exception, and so a 500, for a refusal that quotes bytes which are not UTF-8.
TEST(core, an_error_body_may_quote_any_bytes)
{
    auto const refusal = error_response(fail(result_code::resource_not_found, "unknown kind \"\xff\""));
    LONGS_EQUAL(404, refusal.status);
    auto const body = nlohmann::json::parse(refusal.body);
    STRCMP_EQUAL("no", body["ran"].get<std::string>().c_str());
    CHECK_FALSE(body.contains("call_id"));
}
