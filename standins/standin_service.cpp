// Stand-in for a plain service (booking, records): any path, bounded concurrency, a record of each execution
// (docs/platform.md).
#include "support/named_rate.hpp"
#include "support/standin_program.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "support/worker_slots.hpp"

using namespace hibiscuswall;

namespace {

class plain_service_standin {
public:
    explicit plain_service_standin(standin_program& program)
        : name_{program.value<std::string>("name")}, service_time_{program.value<int>("service-ms")},
          slots_{program.io(), program.value<int>("concurrency")}
    {
        using out_t = http_responder;
        program.add("*", "/",
                    [this](http_request const& request, out_t& out) { return serve(request, out); });
        program.add("GET", "/v1/records",
                    [this](http_request const& /*request*/, out_t& out) -> asio::awaitable<void> {
                        auto const report =
                            nlohmann::json{{"records", records_}, {"most_running", slots_.most_running()}};
                        co_await send_json(out, 200, report);
                    });
        program.add("POST", "/v1/fault",
                    [this](http_request const& request, out_t& out) { return fault(request, out); });
    }

private:
    auto serve(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        if (fail_next_ > 0) {
            --fail_next_;
            co_return co_await send_error(out, 500, "fault", rate_.headers());
        }
        auto const arrived_ms = wall_clock_ms();
        co_await slots_.acquire(0);
        auto const number = records_.size();
        auto const id = std::string{request.headers.find("X-Request-Id")};
        records_.push_back({{"request_id", id},
                            {"method", request.method},
                            {"target", request.target},
                            {"body", request.body},
                            {"arrived_ms", arrived_ms},
                            {"started_ms", wall_clock_ms()},
                            {"finished", false}});
        co_await sleep_for(service_time_);
        records_[number]["finished"] = true;
        slots_.release();
        if (cut_next_ > 0) {
            --cut_next_;
            co_await out.start(200, rate_.headers());
            co_await out.write("{\"service\":");
            out.abort();
            co_return;
        }
        auto const report =
            nlohmann::json{{"service", name_},         {"execution", number + 1},  {"request_id", id},
                           {"method", request.method}, {"target", request.target}, {"body", request.body}};
        co_await send_json(out, 200, report, rate_.headers());
    }

    auto fault(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        auto const body = body_object(request);
        service_time_ = milliseconds{body.value("service_ms", static_cast<int>(service_time_.count()))};
        cut_next_ = body.value("cut_answers", 0);
        fail_next_ = body.value("fail_requests", 0);
        rate_.set(body);
        co_await send_json(out, 200, body);
    }

    std::string name_;
    milliseconds service_time_;
    worker_slots slots_;
    named_rate rate_;
    std::vector<nlohmann::json> records_;
    int cut_next_ = 0;  // executions whose answer is cut
    int fail_next_ = 0; // requests answered 500 without running
};

} // namespace

auto main(int argc, char** argv) -> int
{
    auto program = standin_program{"standin-service", "stand-in for a plain service"};
    program.options().add_options()("name", "name in answers",
                                    cxxopts::value<std::string>()->default_value("plain"))(
        "service-ms", "time of one execution", cxxopts::value<int>()->default_value("5"))(
        "concurrency", "executions at a time; more wait", cxxopts::value<int>()->default_value("16"));
    if (auto const code = program.parse(argc, argv)) return *code;
    auto const service = plain_service_standin{program};
    return program.run();
}
