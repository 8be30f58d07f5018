#include "hibiscuswall/config/config_writer.hpp"

#include "hibiscuswall/config/settled_era.hpp"
#include "hibiscuswall/core/sha256.hpp"
#include "hibiscuswall/core/sleep.hpp"

#include <algorithm>
#include <set>

namespace hibiscuswall {
namespace {

auto joined(std::vector<std::string> const& lines) -> std::string
{
    auto text = std::string{};
    for (auto const& line : lines)
        text += (text.empty() ? "" : "; ") + line;
    return text;
}

auto superseded(config_document const& winner) -> error
{
    return fail(result_code::revision_conflict, "superseded by revision " + std::to_string(winner.revision) +
                                                    " (write " + winner.write_id + ")");
}

// Returns the document after the change, or the reason why the change is rejected.
auto apply_change(config_document const& base, config_change const& change) -> result<config_document>
{
    if (change.expect_revision && *change.expect_revision != base.revision) return superseded(base);
    for (auto const& key : change.deletions)
        if (!base.resources.contains(key)) return fail(result_code::resource_not_found, key);
    auto next = base.with(change.puts, change.deletions, change.write_id);
    auto const errors = next.validate();
    if (!errors.empty()) return fail(result_code::resource_invalid, joined(errors));
    return next;
}

} // namespace

auto config_writer::read(std::shared_ptr<config_document const> known)
    -> asio::awaitable<result<config_document>>
{
    auto found = co_await store_.find(config_root_key);
    if (!found) co_return found.error();
    if (!found.value()) co_return config_document{};
    auto root = parse_root(found.value()->value, found.value()->revision);
    if (!root) co_return root.error();
    auto incomplete_document = std::move(root).value();
    co_return co_await complete(std::move(incomplete_document), std::move(known));
}

auto config_writer::complete(config_document root, std::shared_ptr<config_document const> known)
    -> asio::awaitable<result<config_document>>
{
    for (auto const& digest : root.missing_objects()) {
        if (known) {
            if (auto const held = known->objects.find(digest); held != known->objects.end()) {
                root.objects[digest] = held->second;
                continue;
            }
        }
        auto found = co_await store_.find(config_object_prefix + digest);
        if (!found) co_return found.error();
        if (!found.value() || sha256(found.value()->value) != digest)
            co_return fail(result_code::response_malformed,
                           "configuration object " + digest +
                               " is missing in the store or does not match its digest");
        root.objects[digest] = found.value()->value;
    }
    co_return root;
}

auto config_writer::write(config_change change, std::shared_ptr<config_document const> known)
    -> asio::awaitable<result<config_document>>
{
    auto const started_at = clock::now();
    auto read_base = co_await read(known);
    if (read_base && known && is_older_copy(read_base.value(), *known)) {
        auto copy = std::move(read_base).value();
        read_base = co_await restore(*known, std::move(copy));
    }
    if (!read_base) co_return read_base.error();
    auto const base = std::move(read_base).value();
    if (auto const earlier = base.revision_of(change.write_id)) {
        auto already_written = base; // this is a retry of a write that took effect
        co_return already_written;
    }
    auto const checked = co_await check_era();
    if (!checked) co_return checked.error();
    auto planned = apply_change(base, change);
    if (!planned) co_return planned.error();
    auto const next = std::move(planned).value();
    auto stored = co_await store_objects(next, base);
    if (!stored) co_return stored.error();
    // Objects are protected from collection for collect_grace after they were stored. A process that was
    // paused since must not reference objects that may have been erased.
    if (clock::now() - started_at > settings_.collect_grace / 2)
        co_return fail(result_code::store_unavailable, "the write took longer than half of the grace period "
                                                       "of unreferenced objects; the root was not changed");
    co_return co_await swap_root(next, base.revision);
}

// If the record was written after the base was read, the base may lack writes; the compare-and-swap then
// conflicts.
auto config_writer::check_era() -> asio::awaitable<result<void>>
{
    note_era(store_.era(), clock::now());
    if (restores_.must_ask(clock::now())) {
        auto const settled = co_await read_settled_era(store_);
        note_era(store_.era(), clock::now());
        if (settled) restores_.on_settled(settled.value());
    }
    if (restores_.knows_before() || !restores_.may_lack_writes(clock::now())) co_return success();
    co_return fail(
        result_code::store_unavailable,
        "the store was restored from a copy; until lost writes are written again, the change could "
        "replace one of them; nothing was written");
}

auto config_writer::restore(config_document document, config_document copy)
    -> asio::awaitable<result<config_document>>
{
    auto stored = co_await store_objects(document, copy);
    if (!stored) co_return stored.error();
    co_return co_await swap_root(std::move(document), copy.revision);
}

auto config_writer::store_objects(config_document next, config_document base) -> asio::awaitable<result<void>>
{
    for (auto const& [digest, text] : next.objects) {
        if (base.objects.contains(digest)) continue;
        // The put is unconditional, so that an object that is about to be collected gets a new revision and
        // is kept.
        auto put = co_await store_.put(config_object_prefix + digest, text, std::nullopt);
        if (!put && put.error().code == result_code::write_outcome_unknown)
            put = co_await store_.put(config_object_prefix + digest, text, std::nullopt);
        if (!put) {
            auto const code = put.error().code == result_code::resource_invalid
                                  ? result_code::resource_invalid
                                  : result_code::store_unavailable;
            co_return fail(code, put.error().message);
        }
    }
    co_return success();
}

auto config_writer::swap_root(config_document next, std::uint64_t expect)
    -> asio::awaitable<result<config_document>>
{
    auto const deadline = clock::now() + settings_.apply_timeout;
    auto outcome_unknown_before = false; // an earlier attempt may still take effect
    auto delay = settings_.retry_delay;
    while (true) {
        auto put = co_await store_.put(config_root_key, next.root_text(), expect);
        if (put) {
            next.revision = put.value();
            co_return next;
        }
        auto const code = put.error().code;
        if (code == result_code::store_unavailable && !outcome_unknown_before) co_return put.error();
        if (code == result_code::resource_invalid) co_return put.error();
        if (code == result_code::write_outcome_unknown) outcome_unknown_before = true;
        // A retry with the same expected revision is safe: only one of the attempts can succeed. It also
        // settles the outcome of an attempt that is still in flight, which reading alone could not.
        auto resolved = co_await resolve(next, expect);
        if (resolved && resolved.value()) co_return std::move(*resolved.value());
        if (!resolved && resolved.error().code == result_code::revision_conflict) co_return resolved.error();
        if (clock::now() + delay > deadline)
            co_return fail(result_code::write_outcome_unknown,
                           "write " + next.write_id +
                               " was sent, but the store did not confirm it within the time limit; its "
                               "outcome is unknown");
        co_await sleep_for(delay);
        delay = std::min(delay * 2, settings_.retry_limit);
    }
}

// Returns the written document if the write took effect, no value if the root is unchanged, and
// revision_conflict if another write came first.
auto config_writer::resolve(config_document next, std::uint64_t expect)
    -> asio::awaitable<result<std::optional<config_document>>>
{
    auto found = co_await store_.find(config_root_key);
    if (!found) co_return found.error();
    if (!found.value()) co_return std::optional<config_document>{};
    auto parsed = parse_root(found.value()->value, found.value()->revision);
    if (!parsed) co_return parsed.error();
    auto const root = std::move(parsed).value();
    if (auto const revision = root.revision_of(next.write_id)) {
        next.revision = *revision;
        co_return std::optional{next};
    }
    if (root.revision == expect) co_return std::optional<config_document>{};
    co_return superseded(root);
}

auto config_writer::collect() -> asio::awaitable<result<std::size_t>>
{
    auto listing = co_await store_.list(config_object_prefix);
    if (!listing) co_return listing.error();
    // Read after the listing, so that the root names all listed objects that it may reference.
    auto found = co_await store_.find(config_root_key);
    if (!found) co_return found.error();
    if (!found.value()) co_return std::size_t{0};
    auto parsed = parse_root(found.value()->value, found.value()->revision);
    if (!parsed) co_return parsed.error();
    auto used = std::set<std::string>{};
    for (auto const& [key, digest] : parsed.value().resources)
        used.insert(config_object_prefix + digest);

    auto const now = clock::now();
    auto recently_unreferenced = std::map<std::string, candidate>{};
    auto expired_objects = std::vector<key_value_listing>{};
    for (auto const& object : listing.value()) {
        if (used.contains(object.key)) continue;
        auto const known = unreferenced_.find(object.key);
        auto const same = known != unreferenced_.end() && known->second.revision == object.revision;
        auto const since = same ? known->second.since : now;
        if (now - since >= settings_.collect_grace)
            expired_objects.push_back(object);
        else
            recently_unreferenced[object.key] = {object.revision, since};
    }
    unreferenced_ = std::move(recently_unreferenced);
    auto erased = std::size_t{0};
    for (auto const& object : expired_objects) {
        auto erased_object = co_await store_.erase(object.key, object.revision);
        if (erased_object) ++erased;
    }
    co_return erased;
}

} // namespace hibiscuswall
