// Stand-in for the platform's host list, with a lag (docs/platform.md).
#include "support/standin_program.hpp"

#include <deque>
#include <fstream>

using namespace hibiscuswall;

namespace {

class host_list_standin {
public:
    host_list_standin(standin_program& program, nlohmann::json hosts)
        : lag_{program.value<int>("lag-ms")}, newest_(hosts),
          visible_(std::move(hosts)) // parentheses: braces would make an array of the list
    {
        using out_t = http_responder;
        program.add("GET", "/v1/hosts",
                    [this](http_request const& /*request*/, out_t& out) { return list(out); });
        program.add("PUT", "/v1/hosts",
                    [this](http_request const& request, out_t& out) { return replace(request, out); });
        program.add("PUT", "/v1/hosts/",
                    [this](http_request const& request, out_t& out) { return set_state(request, out); });
        program.add("DELETE", "/v1/hosts/",
                    [this](http_request const& request, out_t& out) { return remove(request, out); });
        program.add("GET", "/v1/stats",
                    [this](http_request const& /*request*/, out_t& out) -> asio::awaitable<void> {
                        co_await send_field(out, 200, "reads", reads_);
                    });
    }

private:
    struct change {
        time_point visible_at;
        nlohmann::json hosts;
    };

    auto publish() -> void { pending_.push_back({clock::now() + lag_, newest_}); }

    auto list(http_responder& out) -> asio::awaitable<void>
    {
        ++reads_;
        while (!pending_.empty() && pending_.front().visible_at <= clock::now()) {
            visible_ = std::move(pending_.front().hosts);
            pending_.pop_front();
        }
        co_await send_field(out, 200, "hosts", visible_);
    }

    auto replace(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        auto const body = body_object(request);
        if (!body.contains("hosts") || !body["hosts"].is_array()) co_return co_await send_status(out, 400);
        newest_ = body["hosts"];
        publish();
        co_await send_status(out, 200);
    }

    // PUT /v1/hosts/{name}/state {"state"} changes a host's state, PUT /v1/hosts/{name} adds or replaces it.
    auto set_state(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        auto const rest = path_after(request, "/v1/hosts/");
        auto const name = rest.substr(0, rest.find('/'));
        auto body = body_object(request);
        for (auto& host : newest_) {
            if (host.value("name", "") != name) continue;
            if (rest.ends_with("/state"))
                host["state"] = body.value("state", "live");
            else
                host = std::move(body);
            publish();
            co_return co_await send_status(out, 200);
        }
        if (rest.ends_with("/state")) co_return co_await send_status(out, 404);
        newest_.push_back(std::move(body));
        publish();
        co_await send_status(out, 200);
    }

    auto remove(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        auto const name = path_after(request, "/v1/hosts/");
        auto kept = nlohmann::json::array();
        for (auto const& host : newest_)
            if (host.value("name", "") != name) kept.push_back(host);
        newest_ = std::move(kept);
        publish();
        co_await send_status(out, 200);
    }

    milliseconds lag_;
    nlohmann::json newest_;
    nlohmann::json visible_;
    std::deque<change> pending_;
    std::uint64_t reads_ = 0;
};

} // namespace

auto main(int argc, char** argv) -> int
{
    auto program = standin_program{"standin-hosts", "stand-in for the host list"};
    program.options().add_options()("hosts", "JSON file {\"hosts\":[...]}", cxxopts::value<std::string>())(
        "lag-ms", "time until a change shows", cxxopts::value<int>()->default_value("0"));
    if (auto const code = program.parse(argc, argv)) return *code;
    auto hosts = nlohmann::json::array();
    if (program.given().count("hosts") > 0) {
        auto file = std::ifstream{program.value<std::string>("hosts")};
        auto const document = nlohmann::json::parse(file, nullptr, false);
        if (!document.is_object() || !document.contains("hosts"))
            return program.usage("--hosts: no host list");
        hosts = document["hosts"];
    }
    auto const service = host_list_standin{program, std::move(hosts)};
    return program.run();
}
