#include "hibiscuswall/weights/engine_weights_controller.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "platform/call_headers.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto report_timeout = milliseconds{500};
constexpr auto max_report_bytes = std::size_t{256 * 1024};
constexpr auto reconcile_interval = milliseconds{50};
constexpr auto idle_reconcile_interval = milliseconds{200}; // while the engine serves the newest version
constexpr auto failure_retry_delay = milliseconds{200};     // after a step that failed
constexpr auto source_timeout = milliseconds{1'000};

auto platform_targets() -> weight_targets { return {platform::manifest_target, platform::chunk_target}; }

} // namespace

engine_weights_controller::engine_weights_controller(process_context& context, declared_state& declared,
                                                     agent_directory& directory, load_report_sender& loads,
                                                     engine_weights_settings settings)
    : context_{context}, declared_state_{declared}, directory_{directory}, loads_{loads}, settings_{std::move(
                                                                                              settings)},
      chunks_{settings_.weights.staged_bytes}, digests_{context.io}, stage_{context, settings_.engine,
                                                                            chunks_, digests_},
      origin_{context.client, {}, source_timeout, platform_targets()}, upload_{context.io,
                                                                               settings_.weights.upload_rate,
                                                                               settings_.weights.burst},
      download_{context.io, settings_.weights.download_rate, settings_.weights.burst},
      source_budget_{context.io, 0, 0}, server_{context, chunks_, upload_, settings_.weights},
      resources_{context, settings_.weights, chunks_, digests_, origin_, download_, source_budget_}
{
}

engine_weights_controller::~engine_weights_controller() = default;

auto engine_weights_controller::start() -> void
{
    loads_.on_holdings([this](chunk_holdings const& holdings) { on_peer_holdings(holdings); });
    start_loop(
        context_.io.get_executor(), "engine_reports", [this] { return report_loop(); },
        &context_.metrics_registry);
    start_loop(
        context_.io.get_executor(), "engine_weights", [this] { return reconcile_loop(); },
        &context_.metrics_registry);
}

auto engine_weights_controller::serves_newest_version() const -> bool
{
    auto const* service = engine_service();
    return service != nullptr && held_version() == declared_state_.newest_version(service->engine->model);
}

// ---- reports

auto engine_weights_controller::report_loop() -> asio::awaitable<void>
{
    while (true) {
        auto const known = co_await read_report();
        if (known) send_load_report();
        send_holdings();
        co_await sleep_for(settings_.report_interval);
    }
}

auto engine_weights_controller::read_report() -> asio::awaitable<bool>
{
    auto options = http_call_options{};
    options.connect_timeout = report_timeout;
    options.timeout = report_timeout;
    options.purpose = "report";
    options.body_limit = max_report_bytes;
    options.may_end_with_connection = true; // a cut report is not valid JSON
    auto const requested_at = clock::now();
    auto response = co_await context_.client.fetch(settings_.engine, platform::report_request(), options);
    if (!response || response.value().status != 200) co_return false;
    engine_leaving_ = platform::is_leaving(response.value().headers);
    auto const stated_rate = platform::decode_rate(response.value().headers);
    auto report = platform::decode_report(response.value().body);
    if (!report) {
        log_event(log_level::warning, "engine_report_refused", {{"reason", report.error().message}});
        co_return false;
    }
    report_ = std::move(report).value();
    reported_at_ = clock::now();
    if (report_->started_at_ms != engine_started_at_ms_) {
        // A restarted engine has forgotten its orders and may have lost the staged chunks.
        engine_started_at_ms_ = report_->started_at_ms;
        staged_version_.reset();
        stage_known_ = false;
        shared_version_.reset();
        rate_ = {};
        reports_name_limits_ = false;
        log_event(log_level::info, "engine_started",
                  {{"started_at_ms", std::to_string(engine_started_at_ms_)}});
    }
    on_rate_statement(stated_rate, requested_at);
    co_return true;
}

// Whether engines name limits in reports as they do in responses to calls is known once one has done so.
auto engine_weights_controller::on_rate_statement(rate_statement const& stated, time_point requested_at)
    -> void
{
    auto const before = rate_.limit();
    if (std::holds_alternative<rate_limit>(stated)) reports_name_limits_ = true;
    if (reports_name_limits_) rate_.on_response(stated, requested_at, clock::now());
    auto const limit = rate_.limit();
    if (limit == before) return;
    log_event(log_level::info, limit ? "engine_limit_named" : "engine_limit_ended",
              {{"calls_per_second", limit ? std::to_string(*limit) : "none"}, {"source", "report"}});
}

auto engine_weights_controller::send_load_report() -> void
{
    auto report = load_report{};
    report.where = settings_.engine;
    report.started_at_ms = report_->started_at_ms;
    report.running = report_->running;
    report.queued = report_->queued;
    report.slowdown = report_->slowdown;
    report.weights = report_->weights;
    report.paused = paused_;
    report.leaving = engine_leaving_;
    report.rate = with_ages(rate_, clock::now());
    loads_.send_report(std::move(report), clock::now());
}

// ---- weights

auto engine_weights_controller::engine_service() const -> service_definition const*
{
    if (declared_state_.map() == nullptr) return nullptr;
    auto const* service = declared_state_.map()->service(settings_.service);
    return service != nullptr && service->engine && service->engine->chunks > 0 ? service : nullptr;
}

auto engine_weights_controller::held_version() const -> std::optional<std::uint64_t>
{
    if (!report_ || !report_->weights) return std::nullopt;
    auto const& weights = *report_->weights;
    auto const* service = engine_service();
    auto const complete =
        service != nullptr && weights.first_layer == 0 && weights.end_layer >= service->engine->layers;
    return complete ? std::optional{weights.version} : std::nullopt;
}

auto engine_weights_controller::view() const -> weights_view
{
    auto current = weights_view{};
    current.declared = declared_;
    current.held = held_version();
    current.order_running = report_->order_running;
    current.staged = staged_version_;
    current.drained_at = drained_at_;
    // The rank does not depend on the version, so the interval between two switches is the same for all
    // engines.
    current.rank = directory_.rank(settings_.service);
    return current;
}

auto engine_weights_controller::reconcile_loop() -> asio::awaitable<void>
{
    auto is_idle = false;
    while (true) {
        co_await sleep_for(is_idle ? idle_reconcile_interval : reconcile_interval);
        is_idle = false;
        if (engine_service() == nullptr || !report_) continue;
        for (auto const& each : declared_state_.map()->services())
            if (each.weight_origin) origin_.set_sources({*each.weight_origin});
        update_declared_versions();
        stop_old_transfers();
        start_transfers();
        schedule_source_fetches(clock::now());
        auto const next = next_weights_step(view(), settings_.schedule, clock::now());
        co_await act(next);
        is_idle = next.action == weights_action::none && transfers_.empty();
    }
}

auto engine_weights_controller::act(weights_step const& next) -> asio::awaitable<void>
{
    auto const newest = declared_.back().version;
    auto const keeps_pause = next.action == weights_action::drain || next.action == weights_action::stage;
    if (paused_ && !keeps_pause && next.action != weights_action::load) set_paused(false);
    switch (next.action) {
    case weights_action::none:
        drained_at_.reset();
        if (shared_version_ != newest) co_await share_staged_chunks(newest);
        break;
    case weights_action::wait:
        break;
    case weights_action::drain:
        if (!paused_) set_paused(true);
        break;
    case weights_action::stage:
        co_await stage(next.version);
        break;
    case weights_action::load:
        co_await switch_version(next.version);
        break;
    }
}

auto engine_weights_controller::set_paused(bool on) -> void
{
    paused_ = on;
    if (on) drained_at_ = clock::now();
    send_load_report();
}

auto engine_weights_controller::update_declared_versions() -> void
{
    declared_.clear();
    for (auto const& each : declared_state_.declared_versions(engine_service()->engine->model))
        add_declared_version(each.version, each.declared_at);
    // Version 1 exists from the start without a declaration.
    if (declared_.empty()) add_declared_version(1, time_point{});
}

auto engine_weights_controller::add_declared_version(std::uint64_t version, time_point declared_at) -> void
{
    auto added =
        declared_version{version, declared_at, complete_since_.contains(version), held_fraction(version)};
    if (added.held_fraction >= settings_.schedule.nearly_complete_fraction)
        added.nearly_complete_at = nearly_complete_since_.try_emplace(version, clock::now()).first->second;
    declared_.push_back(added);
}

auto engine_weights_controller::held_fraction(std::uint64_t version) const -> double
{
    auto const transfer_entry = transfers_.find(version);
    if (transfer_entry == transfers_.end()) return complete_since_.contains(version) ? 1.0 : 0.0;
    auto const& running = *transfer_entry->second;
    return static_cast<double>(running.held_chunks()) / static_cast<double>(running.chunk_count());
}

// Called when the engine serves the newest version: its staged chunks are read back to serve peers that lack
// it.
auto engine_weights_controller::share_staged_chunks(std::uint64_t version) -> asio::awaitable<void>
{
    auto const found = co_await find_manifest(version);
    auto held = result<std::vector<bool>>{fail(result_code::chunk_unavailable, "no manifest")};
    if (found != nullptr && !complete_since_.contains(version)) held = co_await stage_.read_back(found);
    if (found != nullptr && complete_since_.contains(version))
        held = std::vector<bool>(found->chunks.size(), true);
    if (!held) {
        co_await sleep_for(failure_retry_delay);
        co_return;
    }
    shared_version_ = version;
    auto const verified = std::count(held.value().begin(), held.value().end(), true);
    if (static_cast<std::size_t>(verified) == held.value().size())
        complete_since_.try_emplace(version, clock::now());
    log_event(log_level::info, "weights_shared",
              {{"version", found->id()}, {"chunks", std::to_string(verified)}});
}

auto engine_weights_controller::stage(std::uint64_t version) -> asio::awaitable<void>
{
    auto const found = co_await find_manifest(version);
    if (found == nullptr) co_return;
    auto present = std::vector<bool>(found->chunks.size());
    // The stage is read back unless it is known to hold another version. It is unknown after a start of this
    // process or of the engine and after corrupt staged chunks were found.
    if (!stage_known_ || staged_version_ == version) {
        auto const staged = co_await stage_.read_back(found);
        if (staged) present = staged.value();
    }
    stage_known_ = true;
    staged_version_.reset();
    auto const written = co_await stage_chunks(found, present);
    if (!written) {
        co_await sleep_for(failure_retry_delay);
        co_return;
    }
    staged_version_ = version;
    log_event(log_level::info, "weights_staged",
              {{"version", found->id()},
               {"written", std::to_string(std::count(present.begin(), present.end(), false))}});
}

auto engine_weights_controller::stage_chunks(manifest_ptr version, std::vector<bool> const& staged)
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

} // namespace hibiscuswall
