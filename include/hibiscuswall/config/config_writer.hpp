#pragma once
// Writes the configuration to the store: first the objects, then config/root by one compare-and-swap. The
// outcome of a write whose response was lost is resolved by its write id. Also collects objects that no root
// references.
//
//   auto written = co_await writer.write(change, known); // document with its revision
//   writer.note_era(store.era(), now);                   // often, once this process has a document
//   co_await writer.collect();                           // periodically, by one process

#include "hibiscuswall/config/config_document.hpp"
#include "hibiscuswall/config/config_settings.hpp"
#include "hibiscuswall/config/restore_state.hpp"
#include "platform/key_value_client.hpp"

#include <map>
#include <optional>

namespace hibiscuswall {

constexpr auto config_root_key = "config/root";
constexpr auto config_object_prefix = "config/objects/";

struct config_change {
    std::vector<declared_resource> puts;          // added or replaced
    std::vector<std::string> deletions;           // "Kind/name"; an absent one gives resource_not_found
    std::optional<std::uint64_t> expect_revision; // revision that the change is based on
    std::string write_id;                         // unique; a retry with the same id does not write again
};

class config_writer {
public:
    config_writer(key_value_client& store, config_settings settings) : store_{store}, settings_{settings} {}

    // known: a document whose objects need not be read from the store; may be null. If the store has an older
    // copy of it, it is restored before the change. A process that had no document before the store was
    // restored cannot tell a copy from what the store held: its writes fail with store_unavailable until lost
    // ones had time to be written again.
    auto write(config_change change, std::shared_ptr<config_document const> known)
        -> asio::awaitable<result<config_document>>;

    // Reads the root with all its objects. The revision is 0 if no root exists yet.
    auto read(std::shared_ptr<config_document const> known) -> asio::awaitable<result<config_document>>;

    // Adds the missing objects to a root.
    auto complete(config_document root, std::shared_ptr<config_document const> known)
        -> asio::awaitable<result<config_document>>;

    // Writes a document again that a restored store lost. copy: the older root that the store has, empty if
    // it has none. Returns the document with its new revision. Errors: as write().
    auto restore(config_document document, config_document copy) -> asio::awaitable<result<config_document>>;

    // Records that this process had a document in this era of the store.
    auto note_era(std::uint64_t era, time_point now) -> void { restores_.on_era(era, now); }

    // Erases objects that were unreferenced at this call and at an earlier call at least collect_grace ago.
    // Returns the number of erased objects.
    auto collect() -> asio::awaitable<result<std::size_t>>;

private:
    auto check_era() -> asio::awaitable<result<void>>;
    auto store_objects(config_document next, config_document base) -> asio::awaitable<result<void>>;
    auto swap_root(config_document next, std::uint64_t expect) -> asio::awaitable<result<config_document>>;
    auto resolve(config_document next, std::uint64_t expect)
        -> asio::awaitable<result<std::optional<config_document>>>;

    struct candidate {
        std::uint64_t revision = 0; // revision of the object when it was first found unreferenced
        time_point since;
    };

    key_value_client& store_;
    config_settings settings_;
    restore_state restores_;
    std::map<std::string, candidate> unreferenced_;
};

} // namespace hibiscuswall
