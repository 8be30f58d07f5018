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
