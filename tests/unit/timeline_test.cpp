// The merged time line as an operator sees it: text and page.
#include "hibiscuswall/api/ctl_timeline.hpp"
#include "hibiscuswall/api/timeline_page.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(timeline_views)
{
    nlohmann::json body = nlohmann::json::parse(R"({"unreachable":["host-9"],"events":[
        {"process":"entry-1","event":"started","counter":1,"wall_ms":1000,"fields":{"a":"1"}},
        {"process":"host-1","event":"call_refused","counter":2,"wall_ms":900,
         "fields":{"message":"</td><script>alert(1)</script>"}}]})");

    static auto count(std::string const& text, std::string const& part)->int
    {
        auto found = 0;
        for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
            ++found;
        return found;
    }
};

// Guards against a message from outside that runs as a script in the operator's browser.
TEST(timeline_views, the_page_escapes_what_processes_report)
{
    auto const page = timeline_page(body);
    LONGS_EQUAL(1, count(page, "<script>")); // the page's own
    CHECK(page.find("&lt;script&gt;alert(1)") != std::string::npos);
}

// Guards against events or silent processes that are left out.
TEST(timeline_views, every_event_has_a_dot_and_a_row_and_silent_processes_are_named)
{
    auto const page = timeline_page(body);
    LONGS_EQUAL(2, count(page, "<circle"));
    LONGS_EQUAL(3, count(page, "<tr>"));
    CHECK(page.find("No answer from: host-9") != std::string::npos);
    CHECK(timeline_text(body).find("no answer from: host-9") != std::string::npos);
}

// Guards against an exception on a deployment that has recorded nothing.
TEST(timeline_views, an_empty_time_line_is_a_page)
{
    CHECK(timeline_page(nlohmann::json::object()).find("</html>") != std::string::npos);
    STRCMP_EQUAL("", timeline_text(nlohmann::json::object()).c_str());
}
