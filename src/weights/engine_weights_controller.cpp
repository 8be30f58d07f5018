#include "hibiscuswall/weights/engine_weights_controller.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto report_timeout = milliseconds{500};
constexpr auto work_period = milliseconds{50};
constexpr auto failure_pause = milliseconds{200}; // after a step that did not succeed
constexpr auto notice_time = milliseconds{120};   // entries hear of the pause before the engine stops taking
constexpr auto change_timeout = milliseconds{8'000}; // of an order that began
constexpr auto order_timeout = milliseconds{1'000};
constexpr auto source_timeout = milliseconds{1'000};

auto outcome_name(platform::order_outcome outcome) -> std::string
{
    switch (outcome) {
    case platform::order_outcome::begun:
        return "begun";
    case platform::order_outcome::in_effect:
        return "in_effect";
    case platform::order_outcome::state_differs:
        return "state_differs";
    case platform::order_outcome::outdated:
        return "outdated";
    case platform::order_outcome::refused:
        return "refused";
    case platform::order_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

auto ms_text(clock::duration span) -> std::string
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

auto origin_targets() -> weight_targets { return {platform::manifest_target, platform::chunk_target}; }

} // namespace

engine_keeper::engine_keeper(process_context& context, fleet_state& fleet, agent_directory& directory,
                             load_announcer& loads, engine_keeper_settings settings)
    : context_{context}, fleet_{fleet}, directory_{directory}, loads_{loads}, settings_{std::move(settings)},
      chunks_{settings_.weights.staged_bytes}, digests_{context.io}, stage_{context, settings_.engine,
                                                                            chunks_, digests_},
      origin_{context.client, {}, source_timeout, origin_targets()}, upload_{context.io,
                                                                             settings_.weights.upload_rate,
                                                                             settings_.weights.burst},
      download_{context.io, settings_.weights.download_rate, settings_.weights.burst}, draw_{context.io, 0,
                                                                                             0},
      server_{context, chunks_, upload_, settings_.weights}, parts_{context,  settings_.weights, chunks_,
                                                                    digests_, origin_,           download_,
                                                                    draw_}
{
}

engine_keeper::~engine_keeper() = default;

auto engine_keeper::start() -> void
{
    loads_.on_holdings([this](chunk_holdings const& told) { take_holdings(told); });
    asio::co_spawn(context_.io, report_loop(), asio::detached);
    asio::co_spawn(context_.io, work_loop(), asio::detached);
}

auto engine_keeper::serves_wanted() const -> bool
{
    auto const* service = engine_service();
    return service != nullptr && held_version() == fleet_.newest_version(service->engine->model);
}

// ---- reports

auto engine_keeper::report_loop() -> asio::awaitable<void>
{
    while (true) {
        auto const known = co_await read_report();
        if (known) tell_load();
        tell_holdings();
        co_await sleep_for(settings_.report_period);
    }
}

auto engine_keeper::read_report() -> asio::awaitable<bool>
{
    auto options = http_call_options{};
    options.connect_timeout = report_timeout;
    options.timeout = report_timeout;
    options.purpose = "report";
    auto answer = co_await context_.client.fetch(settings_.engine, platform::report_request(), options);
    if (!answer || answer.value().status != 200) co_return false;
    auto report = platform::decode_report(answer.value().body);
    if (!report) {
        log_event(log_level::warning, "engine_report_refused", {{"reason", report.error().message}});
        co_return false;
    }
    report_ = std::move(report).value();
    reported_at_ = clock::now();
    if (report_->started_at_ms != engine_start_) {
        // A restarted engine knows no order, and what is staged there may have gone with it.
        engine_start_ = report_->started_at_ms;
        staged_.reset();
        stage_known_ = false;
        shared_.reset();
        log_event(log_level::info, "engine_started", {{"started_at_ms", std::to_string(engine_start_)}});
    }
    co_return true;
}

auto engine_keeper::tell_load() -> void
{
    auto news = engine_news{};
    news.where = settings_.engine;
    news.started_at_ms = report_->started_at_ms;
    news.running = report_->running;
    news.queued = report_->queued;
    news.pace = report_->pace;
    news.weights = report_->weights;
    news.paused = paused_;
    loads_.announce(std::move(news), clock::now());
}

// ---- weights

auto engine_keeper::engine_service() const -> service_entry const*
{
    if (fleet_.map() == nullptr) return nullptr;
    auto const* service = fleet_.map()->service(settings_.service);
    return service != nullptr && service->engine && service->engine->chunks > 0 ? service : nullptr;
}

auto engine_keeper::held_version() const -> std::optional<std::uint64_t>
{
    if (!report_ || !report_->weights) return std::nullopt;
    auto const& weights = *report_->weights;
    auto const* service = engine_service();
    auto const whole =
        service != nullptr && weights.first_layer == 0 && weights.end_layer >= service->engine->layers;
    return whole ? std::optional{weights.version} : std::nullopt;
}

auto engine_keeper::view() const -> weights_view
{
    auto seen = weights_view{};
    seen.declared = declared_;
    seen.held = held_version();
    seen.order_running = report_->order_running;
    seen.staged = staged_;
    seen.drained_at = drained_at_;
    // The same rank for every version: an engine has the same time between two changes as all others.
    seen.rank = directory_.rank(settings_.service);
    return seen;
}

auto engine_keeper::work_loop() -> asio::awaitable<void>
{
    while (true) {
        co_await sleep_for(work_period);
        if (engine_service() == nullptr || !report_) continue;
        for (auto const& each : fleet_.map()->services())
            if (each.weight_origin) origin_.set_sources({*each.weight_origin});
        note_declared();
        stop_old_transfers();
        start_transfers();
        order_draws(clock::now());
        auto const next = next_weights_step(view(), settings_.schedule, clock::now());
        co_await act(next);
    }
}

auto engine_keeper::act(weights_step const& next) -> asio::awaitable<void>
{
    auto const wanted = declared_.back().version;
    auto const goes_on = next.action == weights_action::drain || next.action == weights_action::stage;
    if (paused_ && !goes_on && next.action != weights_action::change) pause(false);
    switch (next.action) {
    case weights_action::none:
        drained_at_.reset();
        if (shared_ != wanted) co_await share_held(wanted);
        break;
    case weights_action::wait:
        break;
    case weights_action::drain:
        if (!paused_) pause(true);
        break;
    case weights_action::stage:
        co_await stage(next.version);
        break;
    case weights_action::change:
        co_await change(next.version);
        break;
    }
}

auto engine_keeper::pause(bool on) -> void
{
    paused_ = on;
    if (on) drained_at_ = clock::now();
    tell_load();
}

auto engine_keeper::note_declared() -> void
{
    declared_.clear();
    for (auto const& each : fleet_.declared(engine_service()->engine->model))
        declared_.push_back(
            {each.version, each.since, whole_.contains(each.version), held_part(each.version)});
    // Version 1 is there from the beginning, without a declaration.
    if (declared_.empty()) declared_.push_back({1, time_point{}, whole_.contains(1), held_part(1)});
}

auto engine_keeper::held_part(std::uint64_t version) const -> double
{
    auto const moving = moving_.find(version);
    if (moving == moving_.end()) return whole_.contains(version) ? 1.0 : 0.0;
    auto const all = manifests_.at(version)->chunks.size();
    return static_cast<double>(moving->second->held_chunks()) / static_cast<double>(all);
}

// The engine holds the wanted version: what is staged there can serve peers that lack it.
auto engine_keeper::share_held(std::uint64_t version) -> asio::awaitable<void>
{
    auto const found = co_await find_manifest(version);
    auto held = result<std::vector<bool>>{fail(result_code::chunk_unavailable, "no manifest")};
    if (found != nullptr && !whole_.contains(version)) held = co_await stage_.read_back(found);
    if (found != nullptr && whole_.contains(version)) held = std::vector<bool>(found->chunks.size(), true);
    if (!held) {
        co_await sleep_for(failure_pause);
        co_return;
    }
    shared_ = version;
    auto const good = std::count(held.value().begin(), held.value().end(), true);
    if (static_cast<std::size_t>(good) == held.value().size()) whole_.try_emplace(version, clock::now());
    log_event(log_level::info, "weights_shared",
              {{"version", found->id()}, {"chunks", std::to_string(good)}});
}

auto engine_keeper::stage(std::uint64_t version) -> asio::awaitable<void>
{
    auto const found = co_await find_manifest(version);
    if (found == nullptr) co_return;
    auto present = std::vector<bool>(found->chunks.size());
    // What is staged is known to be of another version unless this process has just started.
    if (!stage_known_ || staged_ == version) {
        auto const staged = co_await stage_.read_back(found);
        if (staged) present = staged.value();
    }
    stage_known_ = true;
    staged_.reset();
    auto const written = co_await stage_chunks(found, present);
    if (!written) {
        co_await sleep_for(failure_pause);
        co_return;
    }
    staged_ = version;
    log_event(log_level::info, "weights_staged",
              {{"version", found->id()},
               {"written", std::to_string(std::count(present.begin(), present.end(), false))}});
}

auto engine_keeper::stage_chunks(manifest_ptr version, std::vector<bool> const& staged)
    -> asio::awaitable<bool>
{
    for (auto i = std::size_t{0}; i < version->chunks.size(); ++i) {
        if (staged[i]) continue;
        auto const bytes = chunks_.find(version->chunks[i].sha256);
        if (bytes == nullptr) co_return false;
        auto const done = co_await stage_.write(version, i, bytes);
        if (!done) {
            log_event(
                log_level::warning, "stage_failed",
                {{"version", version->id()}, {"chunk", std::to_string(i)}, {"reason", done.error().message}});
            co_return false;
        }
    }
    co_return true;
}

auto engine_keeper::change(std::uint64_t version) -> asio::awaitable<void>
{
    auto const found = co_await find_manifest(version);
    if (found == nullptr) co_return;
    // An engine without weights gets nothing anyway.
    if (held_version() && !paused_) {
        pause(true);
        co_await sleep_for(notice_time);
    }
    // Staged chunks can turn bad at any time: what the engine will load is compared once more.
    auto const staged = co_await stage_.read_back(found);
    auto const good =
        staged && std::all_of(staged.value().begin(), staged.value().end(), [](bool each) { return each; });
    if (good) {
        auto const outcome = co_await order(version);
        if (outcome == platform::order_outcome::begun || outcome == platform::order_outcome::in_effect)
            co_await await_change(version);
        else
            co_await sleep_for(failure_pause);
    } else {
        staged_.reset();
        stage_known_ = false; // the next staging writes only what is bad
        log_event(log_level::warning, "staged_chunks_bad", {{"version", found->id()}});
    }
    pause(false);
}

auto engine_keeper::order(std::uint64_t version) -> asio::awaitable<platform::order_outcome>
{
    auto command = platform::load_order{};
    command.model = engine_service()->engine->model;
    command.version = version;
    command.expected_orders = report_->orders_begun;
    // The engine counts the orders that it began over restarts of this process, so the number rises with
    // each.
    command.fencing = report_->orders_begun + 1;
    auto options = http_call_options{};
    options.connect_timeout = order_timeout;
    options.timeout = order_timeout;
    options.fresh_connection = true;
    options.purpose = "order";
    auto answer = co_await context_.client.fetch(settings_.engine, platform::load_request(command), options);
    auto const outcome =
        answer ? platform::order_outcome_of(answer.value().status) : platform::order_outcome::unknown;
    log_event(log_level::info, "engine_ordered",
              {{"version", weights_id(command.model, std::to_string(version))},
               {"fencing", std::to_string(command.fencing)},
               {"outcome", outcome_name(outcome)},
               {"answer", answer ? answer.value().body : answer.error().message}});
    // An order whose answer was lost shows in the next report, if it began.
    if (outcome != platform::order_outcome::begun) co_await read_report();
    co_return outcome;
}

auto engine_keeper::await_change(std::uint64_t version) -> asio::awaitable<void>
{
    auto const begun = clock::now();
    auto const start = engine_start_;
    while (clock::now() - begun < change_timeout && engine_start_ == start) {
        co_await sleep_for(work_period);
        if (held_version() != version) continue;
        log_event(log_level::info, "weights_serving",
                  {{"version", std::to_string(version)}, {"took_ms", ms_text(clock::now() - begun)}});
        co_return;
    }
    log_event(log_level::warning, "weights_change_unfinished", {{"version", std::to_string(version)}});
}

} // namespace hibiscuswall
