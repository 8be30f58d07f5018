#pragma once
// A deployment whose links can be faulted, with callers and counts, as the base of test groups.
//
//   TEST_GROUP_BASE(a_faulty_link, faulty_system) { void setup() override { options.bookings = 2; } };
//   begin();
//   auto answer = book(*system->entries()[0], "key-1", "ridge 7");
//   LONGS_EQUAL(1, executions_of("ridge 7"));

#include "support/await_condition.hpp"
#include "support/caller_load.hpp"
#include "support/unprotected.hpp"

#include <memory>

#include <CppUTest/TestHarness.h>

namespace hibiscuswall {

class faulty_system : public Utest {
public:
    faulty_system()
    {
        options.entries = 2;
        options.engines = 0;
        options.link_proxies = true;
        options.platform_proxies = true;
    }
    ~faulty_system() override = default;
    faulty_system(faulty_system const&) = delete;
    auto operator=(faulty_system const&) -> faulty_system& = delete;

    void teardown() override
    {
        load.reset();
        system.reset();
    }

    auto begin() -> void
    {
        system = std::make_unique<deployment>(options);
        auto const started = system->start(milliseconds{30'000});
        CHECK_TEXT(started, system->problem().c_str());
        // All know each other, and the incarnations that non-idempotent calls need.
        CHECK_TEXT(await_condition(milliseconds{10'000}, [&] { return all_alive(); }), "members");
    }

    auto all_alive() -> bool
    {
        for (auto const* entry : system->entries()) {
            auto const listed = call_json(entry->control, "GET", "/v1/members");
            if (!listed.is_object() || listed["members"].size() != system->hosts().size()) return false;
            for (auto const& item : listed["members"])
                if (item["state"] != "alive" || item["incarnation"] == 0) return false;
        }
        return true;
    }

    auto book(deployment_host const& entry, std::string const& key, std::string const& body,
              int timeout_ms = 5'000) const -> http_response
    {
        auto request = http_request{"POST", "/v1/services/booking/visits"};
        request.headers.set("Authorization", "Bearer key-guild");
        request.headers.set("X-Request-Timeout-Ms", static_cast<long long>(timeout_ms));
        if (!key.empty()) request.headers.set("Idempotency-Key", key);
        request.body = body;
        return call(entry.client, std::move(request), milliseconds{timeout_ms + 5'000});
    }

    // Text and bytes of a draft that is whole, of its own prompt and of one version; else empty.
    static auto draft(deployment_host const& entry, std::string const& prompt, int tokens) -> std::string
    {
        auto const answer = call_completion(entry.client, "key-drustvo", "snow", prompt, tokens);
        if (!answer.whole) return {};
        CHECK_TEXT(text_is_consistent(answer.text, prompt, tokens), answer.text.c_str());
        return answer.text;
    }

    // Executions of all bookings, by body.
    auto executions() -> std::map<std::string, int>
    {
        auto counts = std::map<std::string, int>{};
        for (auto const* agent : system->agents()) {
            if (agent->service != "booking") continue;
            auto const records = call_json(agent->endpoint, "GET", "/v1/records");
            for (auto const& record : records["records"])
                ++counts[record["body"].get<std::string>()];
        }
        return counts;
    }

    auto executions_of(std::string const& body) -> int { return executions()[body]; }

    auto started_in(std::string const& domain) -> std::size_t
    {
        auto count = std::size_t{0};
        for (auto const* agent : system->agents()) {
            if (agent->failure_domain != domain) continue;
            auto const records = call_json(agent->endpoint, "GET", "/v1/records");
            count += records[agent->service == "drafting" ? "requests" : "records"].size();
        }
        return count;
    }

    static auto has_event(deployment_host const& host, std::string const& name) -> bool
    {
        auto const line = call_json(host.control, "GET", "/timeline");
        if (!line.is_object()) return false;
        for (auto const& event : line["events"])
            if (event["event"] == name) return true;
        return false;
    }

    // 0 when the process does not answer.
    static auto revision_at(deployment_host const& host) -> std::uint64_t
    {
        auto const answer = call_json(host.control, "POST", "/rpc",
                                      {{"jsonrpc", "2.0"},
                                       {"id", 1},
                                       {"method", "config.fetch"},
                                       {"params", {{"have_revision", 999'999'999}}}});
        return answer.is_object() && answer.contains("result")
                   ? answer["result"].value("revision", std::uint64_t{0})
                   : 0;
    }

    auto set_policy(int max_unconfirmed_ms) -> void
    {
        auto const answer =
            system->apply(nlohmann::json::array({{{"kind", "Policy"},
                                                  {"name", "default"},
                                                  {"spec", {{"max_unconfirmed_ms", max_unconfirmed_ms}}}}}));
        CHECK_TEXT(answer.status == 200, answer.body.c_str());
    }

    // X-Ran of an answer.
    static auto ran_of(http_response const& answer) -> std::string
    {
        return std::string{answer.headers.find("X-Ran")};
    }

    deployment_options options;
    std::unique_ptr<deployment> system;
    std::unique_ptr<caller_load> load;
};

} // namespace hibiscuswall
