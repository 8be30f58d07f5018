// TCP relay that injects faults between any two processes of a test (docs/platform.md).
#include "support/proxy_connection.hpp"
#include "support/standin_program.hpp"

using namespace hibiscuswall;

namespace {

using tcp = asio::ip::tcp;

class fault_proxy {
public:
    fault_proxy(standin_program& program, address const& listen, address const& target)
        : shared_{program.io(), program.random(), {}, {}}, target_{asio::ip::make_address(target.ip),
                                                                   target.port},
          acceptor_{program.io(), {asio::ip::make_address(listen.ip), listen.port}}
    {
        using out_t = http_responder;
        program.add("POST", "/v1/faults", [this](http_request const& request, out_t& out) {
            shared_.rules.add(body_object(request));
            apply_rate();
            return send_json(out, 200, body_object(request));
        });
        program.add("POST", "/v1/clear", [this](http_request const& /*request*/, out_t& out) {
            shared_.rules = {};
            apply_rate();
            return send_status(out, 200);
        });
        program.add("POST", "/v1/cut", [this](http_request const& request, out_t& out) {
            for (auto const& held : open_from(body_object(request).value("source", std::string{})))
                held->reset();
            return send_status(out, 200);
        });
        program.add("POST", "/v1/silence", [this](http_request const& request, out_t& out) {
            for (auto const& held : open_from(body_object(request).value("source", std::string{})))
                held->silence();
            return send_status(out, 200);
        });
        program.add("GET", "/v1/stats",
                    [this](http_request const& /*request*/, out_t& out) { return stats(out); });
        asio::co_spawn(program.io(), accept_loop(), asio::detached);
    }

private:
    auto apply_rate() -> void
    {
        shared_.to_target.set_rate(shared_.rules.all.rate);
        shared_.to_caller.set_rate(shared_.rules.all.rate);
    }

    // The open connections of callers whose IP begins with `source`.
    [[nodiscard]] auto open_from(std::string_view source) const
        -> std::vector<std::shared_ptr<proxy_connection>>
    {
        auto found = std::vector<std::shared_ptr<proxy_connection>>{};
        for (auto const& weak : open_)
            if (auto held = weak.lock(); held && held->source().starts_with(source))
                found.push_back(std::move(held));
        return found;
    }

    auto stats(http_responder& out) const -> asio::awaitable<void>
    {
        auto const& counts = shared_.counts;
        return send_json(out, 200,
                         {{"connections", counts.connections},
                          {"open", counts.open},
                          {"bytes_to_target", counts.bytes_to_target},
                          {"bytes_to_caller", counts.bytes_to_caller},
                          {"corrupted", counts.corrupted},
                          {"dropped_answers", counts.dropped_answers}});
    }

    auto accept_loop() -> asio::awaitable<void>
    {
        while (true) {
            auto [code, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
            if (code) co_return;
            auto made = std::make_shared<proxy_connection>(shared_, std::move(socket));
            std::erase_if(open_, [](auto const& weak) { return weak.expired(); });
            open_.push_back(made);
            if (shared_.rules.of(made->source()).refuse)
                made->reset();
            else
                made->start(target_);
        }
    }

    proxy_shared shared_;
    tcp::endpoint target_;
    tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<proxy_connection>> open_;
};

} // namespace

auto main(int argc, char** argv) -> int
{
    auto program = standin_program{"fault-proxy", "TCP relay that injects faults", "control"};
    program.options().add_options()("listen", "ip:port that is relayed", cxxopts::value<std::string>())(
        "target", "ip:port it is relayed to", cxxopts::value<std::string>());
    if (auto const code = program.parse(argc, argv)) return *code;
    if (program.given().count("listen") == 0 || program.given().count("target") == 0)
        return program.usage("--listen and --target are required");
    auto const listen = parse_address(program.value<std::string>("listen"));
    auto const target = parse_address(program.value<std::string>("target"));
    if (!listen || !target) return program.usage("--listen and --target take ip:port");
    try {
        auto const proxy = fault_proxy{program, listen.value(), target.value()};
        return program.run();
    } catch (boost::system::system_error const& problem) {
        return program.usage(problem.what());
    }
}
