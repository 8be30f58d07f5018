// The list of entries that share endpoints and limits. No network, simulated time.
#include "hibiscuswall/fleet/entry_directory.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(entry_directory)
{
    time_point now{seconds{1'000}};
    entry_directory directory{{}, {"e1", "north"}};

    static auto item(std::string const& name, std::string const& value = R"({"region":"north"})")->store_item
    {
        return {"entries/" + name, value, 1};
    }

    auto list(std::vector<store_item> const& items)->void { directory.replace(items, now); }
    auto names() const->std::string
    {
        auto text = std::string{};
        for (auto const& entry : directory.entries())
            text += entry.name + " ";
        return text;
    }
};

// An entry whose own record is missing still takes part.
TEST(entry_directory, this_entry_is_always_among_the_entries)
{
    CHECK(!directory.is_known());
    STRCMP_EQUAL("e1 ", names().c_str());
    list({item("e2")});
    CHECK(directory.is_known());
    STRCMP_EQUAL("e1 e2 ", names().c_str());
    directory.apply({"entries/e1", std::nullopt, 2}, now);
    STRCMP_EQUAL("e1 e2 ", names().c_str());
}

// An entry that the store has lost sight of may go on sending calls. Guards against shares of a limit that
// rise at once, so that all entries together exceed it.
TEST(entry_directory, a_former_entry_is_counted_for_a_while)
{
    list({item("e1"), item("e2"), item("e3")});
    directory.apply({"entries/e3", std::nullopt, 2}, now);
    STRCMP_EQUAL("e1 e2 ", names().c_str());
    CHECK_EQUAL(1, directory.departed(now + seconds{59}));
    CHECK_EQUAL(0, directory.departed(now + seconds{61}));
    // It comes back and counts as an entry again.
    directory.apply({"entries/e3", R"({"region":"south"})", 3}, now);
    CHECK_EQUAL(0, directory.departed(now));
    STRCMP_EQUAL("e1 e2 e3 ", names().c_str());
    // A complete listing without it has the same effect as its deletion.
    list({item("e1"), item("e2")});
    CHECK_EQUAL(1, directory.departed(now));
}

TEST(entry_directory, records_that_cannot_be_read_name_no_entry)
{
    list(
        {item("e1"), item("e2", "{"), item("e3", "[]"), item("e4", R"({"region":7})"), item(""), item("e5")});
    STRCMP_EQUAL("e1 e5 ", names().c_str());
    auto const encoded = decode_entry("entries/e9", encode_entry({"e9", "south"}));
    STRCMP_EQUAL("south", encoded->region.c_str());
}

TEST(entry_directory, the_peer_address_of_an_entry_is_that_of_its_newest_record)
{
    auto const peer_of = [&](std::size_t index) {
        auto const found = directory.entries().at(index).peer_address;
        return found ? found->text() : std::string{};
    };
    auto const encoded = encode_entry({"e2", "north", address{"10.0.0.2", 7700}});
    list({item("e2", encoded), item("e3")});
    STRCMP_EQUAL("e1 e2 e3 ", names().c_str());
    STRCMP_EQUAL("10.0.0.2:7700", peer_of(1).c_str());
    STRCMP_EQUAL("", peer_of(2).c_str()); // written by an earlier build
    directory.apply({"entries/e2", encode_entry({"e2", "north", address{"10.0.0.9", 7701}}), 2}, now);
    STRCMP_EQUAL("10.0.0.9:7701", peer_of(1).c_str());
}

TEST(entry_directory, an_entry_with_a_malformed_peer_address_is_listed_without_one)
{
    for (auto const* peer : {R"("10.0.0.2")", R"("host:80")", R"("10.0.0.2:0")", "7", "null", "[]"}) {
        auto const value = std::string{R"({"region":"north","peer":)"} + peer + "}";
        auto const entry = decode_entry("entries/e2", value);
        CHECK(entry.has_value());
        CHECK_FALSE(entry->peer_address.has_value());
    }
}
