// Stand-in for a model engine (docs/platform.md). The text of each token names the prompt, the weights
// version and the digest of the loaded bytes, so that a checker sees mixed or partial weights and answers of
// another caller.
#include "support/engine_records.hpp"
#include "support/named_rate.hpp"
#include "support/standin_program.hpp"
#include "support/worker_slots.hpp"

#include "hibiscuswall/core/sha256.hpp"
#include "hibiscuswall/core/sleep.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <list>
#include <map>
#include <memory>

using namespace hibiscuswall;

namespace {

constexpr auto digest_digits = std::size_t{12};     // of a digest in a token's text
constexpr auto prefix_characters = std::size_t{64}; // of a prompt, as the key of the prefix cache
constexpr auto cached_prefill_share = 4;            // a cached prefix divides the prefill time by this
constexpr auto weights_timeout = milliseconds{30'000};

class engine_standin {
public:
    engine_standin(standin_program& program, engine_settings settings)
        : program_{program}, settings_{settings}, instance_{program.random().id()}, slots_{program.io(),
                                                                                           program.value<int>(
                                                                                               "max-running")}
    {
        using out_t = http_responder;
        program.add("POST", "/v1/completions",
                    [this](http_request const& request, out_t& out) { return complete(request, out); });
        program.add("POST", "/v1/cancel/",
                    [this](http_request const& request, out_t& out) { return cancel(request, out); });
        program.add("POST", "/v1/orders",
                    [this](http_request const& request, out_t& out) { return order(request, out); });
        program.add("GET", "/v1/status",
                    [this](http_request const& /*request*/, out_t& out) { return status(out); });
        program.add("GET", "/v1/records",
                    [this](http_request const& /*request*/, out_t& out) { return records(out); });
        program.add("POST", "/v1/fault",
                    [this](http_request const& request, out_t& out) { return fault(request, out); });
    }

private:
    // ---- warmth

    auto state_text(time_point now) const -> std::string
    {
        if (loading_ > 0 || weights_.version.empty()) return "cold";
        if (now < cold_until_) return "cold";
        if (completed_since_cold_ >= settings_.warm_requests) return "ready";
        return now - std::max(loaded_at_, cold_until_) >= settings_.warm_time ? "ready" : "warming";
    }

    auto turn_cold(time_point now) -> void
    {
        cold_until_ = now + settings_.cold_duration;
        completed_since_cold_ = 0;
        prefixes_.clear();
    }

    // ---- requests

    auto priority_of(http_request const& request) const -> int
    {
        return static_cast<int>(request.headers.number("X-Priority", 0));
    }

    auto prefill_time(std::string const& prompt) -> milliseconds
    {
        auto const prefix = prompt.substr(0, prefix_characters);
        auto const found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
        auto const hit = found != prefixes_.end();
        prefix_hits_ += hit ? 1 : 0;
        if (hit) prefixes_.erase(found);
        prefixes_.push_front(prefix);
        if (prefixes_.size() > settings_.prefix_cache) prefixes_.pop_back();
        auto const time = hit ? settings_.prefill_time / cached_prefill_share : settings_.prefill_time;
        return time * slow_factor_;
    }

    auto token_text(std::string const& prompt_digest, int number) const -> std::string
    {
        return prompt_digest.substr(0, digest_digits) + "#" + std::to_string(number) + "@" +
               weights_.version + ":" + weights_.content_sha256.substr(0, digest_digits) + " ";
    }

    auto complete(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        auto const body = body_object(request);
        if (!body.contains("prompt")) co_return co_await send_error(out, 400, "prompt is missing");
        if (weights_.version.empty() || loading_ > 0) {
            ++refused_cold_;
            co_return co_await send_error(out, 503, "no weights loaded", rate_.headers());
        }
        auto const cold = state_text(clock::now()) != "ready";
        if (cold && slots_.running() + static_cast<int>(slots_.queued()) >= settings_.cold_limit) {
            ++violations_;
            co_return co_await send_error(out, 500, "failed under load while cold", rate_.headers());
        }
        auto record = std::make_shared<run_record>();
        record->arrived_ms = wall_clock_ms();
        record->request_id = std::string{request.headers.find("X-Request-Id")};
        record->resumed_after = static_cast<int>(request.headers.number("Last-Event-ID", 0));
        runs_.push_back(record);
        co_await slots_.acquire(priority_of(request));
        record->version = weights_.version;
        record->content_sha256 = weights_.content_sha256;
        auto const prompt = body.value("prompt", std::string{});
        co_await sleep_for(prefill_time(prompt));
        if (body.value("stream", false))
            co_await stream_tokens(prompt, body.value("max_tokens", 16), record, out);
        else
            co_await whole_answer(prompt, body.value("max_tokens", 16), record, out);
        slots_.release();
        if (record->state == "running") record->state = "finished";
        if (record->state == "finished") ++completed_since_cold_;
    }

    // Waits for the next token; false when the run is over.
    auto next_token(std::shared_ptr<run_record> record, std::string instance, http_responder& out)
        -> asio::awaitable<bool>
    {
        co_await sleep_for(settings_.token_time * slow_factor_);
        while (hang_ && !out.disconnected())
            co_await sleep_for(milliseconds{10});
        if (instance != instance_) record->state = "lost";
        if (out.disconnected() && record->state == "running") record->state = "disconnected";
        co_return record->state == "running";
    }

    auto stream_tokens(std::string prompt, int count, std::shared_ptr<run_record> record, http_responder& out)
        -> asio::awaitable<void>
    {
        auto const digest = sha256(prompt);
        auto const instance = instance_;
        auto const version = weights_.version;
        auto headers = rate_.headers();
        headers.set("Content-Type", "text/event-stream");
        auto connected = co_await out.start(200, headers);
        for (auto number = record->resumed_after + 1; connected && number <= count; ++number) {
            if (!co_await next_token(record, instance, out)) {
                out.abort();
                co_return;
            }
            ++record->tokens;
            auto const data = nlohmann::json{{"text", token_text(digest, number)}}.dump();
            connected = co_await out.write("id: " + std::to_string(number) + "\ndata: " + data + "\n\n");
        }
        if (!connected) {
            record->state = "disconnected";
            co_return;
        }
        auto const data = nlohmann::json{{"events", count}, {"weights_version", version}}.dump();
        co_await out.write("event: done\ndata: " + data + "\n\n");
        co_await out.finish();
    }

    auto whole_answer(std::string prompt, int count, std::shared_ptr<run_record> record, http_responder& out)
        -> asio::awaitable<void>
    {
        auto const digest = sha256(prompt);
        auto const instance = instance_;
        auto const version = weights_.version;
        auto text = std::string{};
        for (auto number = 1; number <= count; ++number) {
            if (!co_await next_token(record, instance, out)) {
                co_await out.start(200, {});
                out.abort();
                co_return;
            }
            ++record->tokens;
            text += token_text(digest, number);
        }
        auto const report = nlohmann::json{{"text", text}, {"events", count}, {"weights_version", version}};
        co_await send_json(out, 200, report, rate_.headers());
    }

    auto cancel(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        auto const id = path_after(request, "/v1/cancel/");
        auto found = false;
        for (auto const& record : runs_) {
            if (record->request_id != id || record->state != "running") continue;
            record->state = "cancelled";
            found = true;
        }
        co_await send_status(out, found ? 200 : 404);
    }

    // ---- orders

    // Answers once the weights are loaded.
    auto order(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        auto const body = body_object(request);
        auto const fencing = body.value("fencing", std::uint64_t{0});
        auto const source = parse_address(body.value("source", std::string{}));
        if (body.value("order", "") != "load" || !source)
            co_return co_await send_error(out, 400, "order or source is malformed");
        if (settings_.enforces_fencing && fencing < fencing_) {
            ++fenced_off_;
            co_return co_await send_field(out, 409, "fencing", fencing_);
        }
        if (fail_loads_ > 0) {
            --fail_loads_;
            co_return co_await send_error(out, 500, "the load failed");
        }
        fencing_ = fencing;
        loads_while_running_ += slots_.running() > 0 ? 1 : 0;
        auto const instance = instance_;
        ++loading_;
        auto made = loaded_weights{body.value("model", ""), body.value("adapter", ""),
                                   body.value("version", ""), body.value("manifest_digest", ""), ""};
        auto const digest = co_await read_weights(source.value(), made.version);
        co_await sleep_for(settings_.load_duration * slow_factor_);
        --loading_;
        // An order that came meanwhile with a higher number has the last word where numbers are enforced.
        if (settings_.enforces_fencing && fencing < fencing_)
            co_return co_await send_field(out, 409, "fencing", fencing_);
        if (instance != instance_ || digest.empty())
            co_return co_await send_error(out, 500, "the weights could not be read");
        made.content_sha256 = digest;
        weights_ = std::move(made);
        ++loads_;
        loaded_at_ = clock::now();
        cold_until_ = loaded_at_;
        completed_since_cold_ = 0;
        prefixes_.clear();
        auto const report =
            nlohmann::json{{"version", weights_.version}, {"content_sha256", weights_.content_sha256}};
        co_await send_json(out, 200, report);
    }

    // SHA-256 of all bytes; empty when they could not be read.
    auto read_weights(address source, std::string version) -> asio::awaitable<std::string>
    {
        auto options = http_call_options{};
        options.timeout = weights_timeout;
        auto request = http_request{"GET", "/weights/" + percent_encode(version)};
        auto opened = co_await program_.client().open(source, std::move(request), options);
        if (!opened || opened.value()->status() != 200) co_return std::string{};
        auto hasher = sha256_hasher{};
        while (true) {
            auto piece = co_await opened.value()->read();
            if (!piece) co_return std::string{};
            if (!piece.value()) break;
            hasher.update(*piece.value());
        }
        co_return hasher.finish();
    }

    // ---- reports

    auto status(http_responder& out) -> asio::awaitable<void>
    {
        auto const now = clock::now();
        if (now - reported_at_ >= settings_.load_report_lag) {
            reported_running_ = slots_.running();
            reported_queued_ = slots_.queued();
            reported_at_ = now;
        }
        auto const age = std::chrono::duration_cast<milliseconds>(now - reported_at_).count();
        auto const report = nlohmann::json{{"instance", instance_},
                                           {"state", state_text(now)},
                                           {"model", weights_.model},
                                           {"adapter", weights_.adapter},
                                           {"version", weights_.version},
                                           {"manifest_digest", weights_.manifest_digest},
                                           {"content_sha256", weights_.content_sha256},
                                           {"fencing", fencing_},
                                           {"running", reported_running_},
                                           {"queued", reported_queued_},
                                           {"load_age_ms", age}};
        co_await send_json(out, 200, report, rate_.headers());
    }

    auto records(http_responder& out) -> asio::awaitable<void>
    {
        auto requests = nlohmann::json::array();
        for (auto const& run : runs_)
            requests.push_back({{"request_id", run->request_id},
                                {"arrived_ms", run->arrived_ms},
                                {"version", run->version},
                                {"content_sha256", run->content_sha256},
                                {"tokens", run->tokens},
                                {"resumed_after", run->resumed_after},
                                {"state", run->state}});
        auto const report = nlohmann::json{{"requests", requests},
                                           {"violations", violations_},
                                           {"refused_cold", refused_cold_},
                                           {"most_running", slots_.most_running()},
                                           {"loads", loads_},
                                           {"loads_while_running", loads_while_running_},
                                           {"fenced_off", fenced_off_},
                                           {"prefix_hits", prefix_hits_}};
        co_await send_json(out, 200, report);
    }

    auto fault(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        auto const body = body_object(request);
        if (body.value("cold", false)) turn_cold(clock::now());
        if (body.value("restart", false)) {
            instance_ = program_.random().id();
            weights_ = {};
            fencing_ = 0;
            turn_cold(clock::now());
        }
        slow_factor_ = body.value("slow_factor", slow_factor_);
        fail_loads_ = body.value("fail_loads", fail_loads_);
        hang_ = body.value("hang", hang_);
        rate_.set(body);
        co_await send_json(out, 200, body);
    }

    standin_program& program_;
    engine_settings settings_;
    std::string instance_;
    worker_slots slots_;
    loaded_weights weights_;
    std::vector<std::shared_ptr<run_record>> runs_;
    std::list<std::string> prefixes_; // most recently used first
    time_point loaded_at_{};
    time_point cold_until_{};
    time_point reported_at_{};
    int reported_running_ = 0;
    std::size_t reported_queued_ = 0;
    std::uint64_t fencing_ = 0;
    int loading_ = 0; // load orders under way
    int completed_since_cold_ = 0;
    int slow_factor_ = 1;
    int fail_loads_ = 0;
    bool hang_ = false;
    named_rate rate_;
    int violations_ = 0; // requests beyond the cold limit
    int refused_cold_ = 0;
    int loads_ = 0;
    int loads_while_running_ = 0;
    int fenced_off_ = 0;
    int prefix_hits_ = 0;
};

auto read_settings(standin_program const& program) -> engine_settings
{
    auto const time = [&](char const* name) { return milliseconds{program.value<int>(name)}; };
    auto settings = engine_settings{};
    settings.token_time = time("token-ms");
    settings.prefill_time = time("prefill-ms");
    settings.load_duration = time("load-ms");
    settings.cold_duration = time("cold-ms");
    settings.warm_time = time("warm-ms");
    settings.load_report_lag = time("load-report-lag-ms");
    settings.warm_requests = program.value<int>("warm-requests");
    settings.cold_limit = program.value<int>("cold-limit");
    settings.prefix_cache = program.value<std::size_t>("prefix-cache");
    settings.enforces_fencing = program.value<std::string>("fencing") == "enforced";
    return settings;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto program = standin_program{"standin-engine", "stand-in for a model engine"};
    auto const number = [](char const* fallback) { return cxxopts::value<int>()->default_value(fallback); };
    program.options().add_options()("token-ms", "time of a token",
                                    number("10"))("prefill-ms", "time before the first token",
                                                  number("10"))("load-ms", "added to each load", number("0"))(
        "cold-ms", "time until an engine turned cold warms up",
        number("300"))("warm-ms", "time until a warming engine is ready", number("10000"))(
        "warm-requests", "completed requests until a warming engine is ready",
        number("8"))("cold-limit", "requests at a time while cold or warming",
                     number("1"))("max-running", "requests at a time; more wait", number("16"))(
        "load-report-lag-ms", "age of the load in the status", number("0"))(
        "prefix-cache", "prompt prefixes kept", cxxopts::value<std::size_t>()->default_value("64"))(
        "fencing", "enforced or ignored", cxxopts::value<std::string>()->default_value("enforced"));
    if (auto const code = program.parse(argc, argv)) return *code;
    auto const fencing = program.value<std::string>("fencing");
    if (fencing != "enforced" && fencing != "ignored") return program.usage("--fencing: enforced or ignored");
    auto const service = engine_standin{program, read_settings(program)};
    return program.run();
}
