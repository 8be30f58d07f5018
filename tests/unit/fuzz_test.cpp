// Parsers of everything that comes from outside, under seeded mutations of valid inputs. Guards against a
// crash, a hang or an exception that would end the process on malformed input.
#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/http/http_message.hpp"
#include "hibiscuswall/membership/member.hpp"
#include "hibiscuswall/rpc/rpc_dispatcher.hpp"

#include "support/mutation.hpp"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

constexpr auto rounds = 3000;
constexpr auto fuzz_seed = 20261204UL;

} // namespace

TEST_GROUP(fuzz){};

TEST(fuzz, json_rpc_requests_and_answers)
{
    auto dispatcher = rpc_dispatcher{};
    dispatcher.add("echo",
                   [](nlohmann::json const& params) -> result<nlohmann::json> { return params.at("a"); });
    auto const seeds = std::vector<std::string>{
        jsonrpc_request("echo", R"({"a":{"b":[1,2,3]}})", 1),
        R"([{"jsonrpc":"2.0","method":"echo","params":{"a":1},"id":1},{"jsonrpc":"2.0","method":"echo","id":2}])",
        R"({"jsonrpc":"2.0","result":{"x":1},"id":1})"};
    for_each_mutation(seeds, rounds, fuzz_seed, [&](std::string const& text) {
        dispatcher.handle(text);
        jsonrpc_answer(text);
    });
}

TEST(fuzz, members_from_peers)
{
    auto known = member{};
    known.name = "host-1";
    known.control = address{"127.0.0.1", 80};
    auto const seeds = std::vector<std::string>{to_json(known).dump()};
    for_each_mutation(seeds, rounds, fuzz_seed, [](std::string const& text) {
        auto const value = nlohmann::json::parse(text, nullptr, false);
        if (!value.is_discarded()) static_cast<void>(member_from_json(value));
    });
}

TEST(fuzz, addresses_and_targets)
{
    auto const seeds =
        std::vector<std::string>{"127.0.0.1:8080", "[::1]:80", "/v1/kv/a%2Fb?expect=12&lease=%zz&x"};
    for_each_mutation(seeds, rounds, fuzz_seed, [](std::string const& text) {
        static_cast<void>(parse_address(text));
        auto const request = http_request{"GET", text};
        static_cast<void>(request.query("expect"));
        static_cast<void>(percent_decode(percent_encode(text)));
    });
}
