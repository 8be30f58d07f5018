#include "hibiscuswall/config/config_service.hpp"

#include "hibiscuswall/config/push_tree.hpp"
#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "platform/store_revision.hpp"

#include <algorithm>
#include <utility>

namespace hibiscuswall {
namespace {

constexpr auto peers_per_round = std::size_t{3};       // fetched from at start and after a pause
constexpr auto role_poll_interval = milliseconds{200}; // a new watcher starts to watch within this time
constexpr auto max_paused_rounds = 3;                  // see confirm_after_pause()

} // namespace

config_service::config_service(process_context& context, key_value_client& store, member_source& members,
                               config_settings settings)
    : context_{context}, store_{store}, members_{members}, settings_{settings},
      state_{settings.pause_threshold}, writer_{store, settings}
{
    add_methods();
    members_.subscribe([this](member const& /*changed*/) { members_changed_ = true; });
}

auto config_service::start() -> void
{
    hibiscuswall::start_loop(
        context_.io.get_executor(), "config_start", [this] { return start_loop(); },
        &context_.metrics_registry);
    hibiscuswall::start_loop(
        context_.io.get_executor(), "config_watch", [this] { return watch_loop(); },
        &context_.metrics_registry);
    hibiscuswall::start_loop(
        context_.io.get_executor(), "config_ticks", [this] { return tick_loop(); },
        &context_.metrics_registry);
    if (context_.self.role == member_role::entry)
        hibiscuswall::start_loop(
            context_.io.get_executor(), "config_collection", [this] { return collect_loop(); },
            &context_.metrics_registry);
}

auto config_service::subscribe(std::function<void(config_view const&)> changed) -> void
{
    subscribers_.push_back(std::move(changed));
}

auto config_service::adopt(config_document document, time_point confirmed_at, std::string_view source) -> bool
{
    auto const revision = document.revision;
    auto const write_id = document.write_id;
    if (state_.document() && is_older_copy(document, *state_.document())) return false;
    if (!state_.adopt(std::move(document), confirmed_at)) return false;
    context_.self.config_revision = revision;
    writer_.note_era(store_revision::from_ordered(revision).era, clock::now());
    log_event(
        log_level::info, "config_applied",
        {{"revision", std::to_string(revision)}, {"write_id", write_id}, {"source", std::string{source}}});
    context_.events.record(
        "config_applied",
        {{"revision", std::to_string(revision)}, {"write_id", write_id}, {"source", std::string{source}}});
    context_.metrics_registry.set("config_revision", {}, static_cast<double>(revision));
    context_.metrics_registry.count("config_applied_total", {{"source", source}});
    for (auto const& key : state_.skipped())
        log_event(log_level::warning, "resource_skipped", {{"resource", key}});
    auto const view = state_.current();
    for (auto const& notify : subscribers_)
        notify(*view);
    push_out(source);
    return true;
}

// ---- writes

auto config_service::apply(config_change change) -> asio::awaitable<result<std::uint64_t>>
{
    auto const write_id = change.write_id;
    auto const requested_at = clock::now();
    auto written = co_await writer_.write(std::move(change), state_.document());
    if (!written) {
        auto const& info = describe(written.error().code);
        context_.metrics_registry.count("config_writes_total", {{"result", info.name}});
        log_event(
            log_level::warning, "config_write_failed",
            {{"write_id", write_id}, {"code", std::string{info.name}}, {"reason", written.error().message}});
        co_return written.error();
    }
    auto document = std::move(written).value();
    auto const revision = document.revision_of(write_id).value_or(document.revision);
    context_.metrics_registry.count("config_writes_total", {{"result", "ok"}});
    context_.events.record("config_accepted",
                           {{"revision", std::to_string(revision)}, {"write_id", write_id}});
    adopt(std::move(document), requested_at, "apply");
    co_return revision;
}

auto config_service::refresh() -> asio::awaitable<result<void>>
{
    auto const requested_at = clock::now();
    auto document = co_await writer_.read(state_.document());
    if (!document) co_return document.error();
    auto read = std::move(document).value();
    auto const is_older = state_.document() && is_older_copy(read, *state_.document());
    auto const is_newest = !is_older && read.revision >= state_.revision();
    adopt(std::move(read), requested_at, "store");
    // A store that returns a lower revision than one that it accepted before confirms nothing.
    if (is_newest) state_.end_pause(requested_at);
    co_return success();
}

// ---- loops

auto config_service::start_loop() -> asio::awaitable<void>
{
    auto delay = settings_.retry_delay;
    while (!state_.document()) {
        for (auto const& peer : random_peers(peers_per_round))
            static_cast<void>(co_await fetch_from(peer.control_address));
        auto read = co_await refresh();
        if (state_.document()) break;
        log_event(log_level::warning, "config_missing", {{"reason", read.error().message}});
        auto const jitter = static_cast<long long>(context_.random.below(100));
        co_await sleep_for(delay + milliseconds{jitter});
        delay = std::min(delay * 2, settings_.retry_limit);
    }
}

auto config_service::watch_loop() -> asio::awaitable<void>
{
    auto delay = settings_.retry_delay;
    auto watching = false;
    auto is_chosen_watcher = false;
    while (true) {
        // Computed only after changes, because it takes one hash for each member of the failure domain: with
        // 890 members, five times a second is too much.
        if (std::exchange(members_changed_, false)) {
            auto const members = members_.members();
            auto const order = push_order(context_.self, members, context_.self.failure_domain);
            is_chosen_watcher = is_watcher(order, context_.self.name);
        }
        auto const should_watch = state_.document() && is_chosen_watcher;
        if (should_watch != watching) {
            watching = should_watch;
            context_.metrics_registry.set("config_watching", {}, watching ? 1 : 0);
            context_.events.record(watching ? "config_watch_begun" : "config_watch_ended", {});
        }
        if (!watching) {
            co_await sleep_for(role_poll_interval);
            continue;
        }
        if (co_await watch_once()) {
            delay = settings_.retry_delay;
            continue;
        }
        co_await sleep_for(delay);
        delay = std::min(delay * 2, settings_.retry_limit);
    }
}

auto config_service::watch_once() -> asio::awaitable<bool>
{
    auto const requested_at = clock::now();
    auto const revision = state_.revision();
    context_.metrics_registry.count("config_watch_calls_total");
    auto response = co_await store_.watch(config_root_key, revision, settings_.watch_wait);
    if (!response && response.error().code == result_code::resource_not_found) {
        auto nothing = config_document{};
        auto const restored = co_await restore(std::move(nothing), requested_at);
        co_return restored.has_value();
    }
    if (!response) {
        context_.metrics_registry.count("config_watch_failures_total");
        log_event(log_level::warning, "config_watch_failed", {{"reason", response.error().message}});
        co_return false;
    }
    if (!response.value()) {
        state_.confirm(revision, requested_at);
        if (revision == state_.revision()) state_.end_pause(requested_at);
        co_return true;
    }
    auto entry = std::move(*response.value());
    auto loaded = co_await load_root(std::move(entry), requested_at, "watch");
    if (!loaded) log_event(log_level::warning, "config_load_failed", {{"reason", loaded.error().message}});
    co_return loaded.has_value();
}

auto config_service::load_root(key_value_entry entry, time_point requested_at, std::string source)
    -> asio::awaitable<result<void>>
{
    auto root = parse_root(entry.value, entry.revision);
    if (!root) co_return root.error();
    auto incomplete_document = std::move(root).value();
    if (state_.document() && is_older_copy(incomplete_document, *state_.document())) {
        auto restored = co_await restore(std::move(incomplete_document), requested_at);
        co_return restored;
    }
    auto complete = co_await writer_.complete(std::move(incomplete_document), state_.document());
    if (!complete) co_return complete.error();
    auto document = std::move(complete).value();
    adopt(std::move(document), requested_at, source);
    co_return success();
}

// The store came back from a copy that is older than what it had accepted: what it lost is written again.
// Each watcher tries; one of them succeeds, and the others find its write.
auto config_service::restore(config_document copy, time_point requested_at) -> asio::awaitable<result<void>>
{
    auto const lost = state_.revision();
    auto const found = copy.revision;
    auto document = *state_.document();
    auto restored = co_await writer_.restore(std::move(document), std::move(copy));
    log_event(log_level::warning, "config_restored",
              {{"lost_revision", std::to_string(lost)},
               {"copy_revision", std::to_string(found)},
               {"revision", restored ? std::to_string(restored.value().revision) : "none"},
               {"outcome", restored ? "written" : restored.error().message}});
    if (!restored) co_return restored.error();
    auto written = std::move(restored).value();
    adopt(std::move(written), requested_at, "restore");
    co_return success();
}

auto config_service::tick_loop() -> asio::awaitable<void>
{
    while (true) {
        auto const now = clock::now();
        if (state_.tick(now)) {
            log_event(log_level::warning, "pause_detected", {});
            context_.events.record("pause_detected", {});
            context_.metrics_registry.count("pauses_total");
            start_task(context_.io.get_executor(), "confirm_after_pause", confirm_after_pause(),
                       &context_.metrics_registry);
        }
        if (state_.document()) writer_.note_era(store_.era(), now);
        auto const age = std::chrono::duration<double>(state_.confirmed_age(now)).count();
        if (state_.document()) context_.metrics_registry.set("config_confirmed_age_seconds", {}, age);
        co_await sleep_for(settings_.tick);
    }
}

auto config_service::confirm_after_pause() -> asio::awaitable<void>
{
    auto all_paused_rounds = 0;
    while (state_.paused(clock::now()) && state_.document()) {
        auto const read = co_await refresh();
        if (read && !state_.paused(clock::now())) break;
        auto requested = 0;
        auto responded = 0;
        for (auto const& peer : random_peers(peers_per_round)) {
            ++requested;
            auto const fetched = co_await fetch_from(peer.control_address);
            if (fetched) ++responded;
        }
        if (!state_.paused(clock::now())) break;
        // If the store is unavailable and every peer was paused as well (a stalled host or network of hosts),
        // none of them could ever confirm another. No peer has a newer revision, so the pause ends.
        if (requested > 0 && responded == requested && ++all_paused_rounds >= max_paused_rounds) {
            log_event(log_level::warning, "pause_ended_by_paused_peers", {});
            state_.end_pause(clock::now());
            break;
        }
        co_await sleep_for(settings_.retry_delay);
    }
    context_.events.record("pause_confirmed", {{"revision", std::to_string(state_.revision())}});
}

auto config_service::collect_loop() -> asio::awaitable<void>
{
    while (true) {
        co_await sleep_for(settings_.collect_interval);
        auto names = std::vector<std::string>{context_.self.name};
        for (auto const& peer : members_.members())
            if (peer.role == member_role::entry && peer.state == member_state::alive)
                names.push_back(peer.name);
        if (rendezvous_rank("collect", names).front() != context_.self.name) continue;
        auto collected = co_await writer_.collect();
        if (collected && collected.value() > 0) {
            log_event(log_level::info, "objects_collected", {{"count", std::to_string(collected.value())}});
            context_.metrics_registry.count("config_objects_collected_total", {},
                                            static_cast<double>(collected.value()));
        }
    }
}

} // namespace hibiscuswall
