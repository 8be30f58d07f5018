// The command line of hibiscusctl.
#include "hibiscuswall/api/ctl_options.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto wait_for(std::string const& seconds) -> result<ctl_options>
{
    auto const timeout = "--timeout=" + seconds;
    auto const words = std::vector{"hibiscusctl", "--entry", "127.0.0.1:1", "wait", timeout.c_str()};
    return parse_ctl_options(static_cast<int>(words.size()), words.data());
}

} // namespace

TEST_GROUP(ctl_options){};

// Guards against a timeout beyond the range of an integer: the command then waits without end on one kind of
// machine and not at all on another.
TEST(ctl_options, a_timeout_that_cannot_be_waited_for_is_rejected)
{
    for (auto const* odd : {"1e300", "31536001", "9223372036854775807", "-1", "-1e300", "nan"})
        CHECK(wait_for(odd).has_error());
    CHECK_EQUAL(0, wait_for("0").value().timeout.count());
    CHECK_EQUAL(1'500, wait_for("1.5").value().timeout.count());
    CHECK_EQUAL(31'536'000'000, wait_for("31536000").value().timeout.count());
}
