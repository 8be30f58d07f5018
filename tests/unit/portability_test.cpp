// What must be the same on every kind of machine that the programs are built for.
#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/http/http_message.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

constexpr auto wide_alignment = std::size_t{256}; // bytes, wider than that of operator new

// A handler that notes each address at which it was stored.
struct alignas(wide_alignment) wide_handler {
    std::vector<std::uintptr_t>* stored_at;

    explicit wide_handler(std::vector<std::uintptr_t>& addresses) : stored_at{&addresses} {}
    wide_handler(wide_handler const&) = delete;
    auto operator=(wide_handler const&) -> wide_handler& = delete;
    wide_handler(wide_handler&& other) noexcept : stored_at{other.stored_at} { note(); }
    auto operator=(wide_handler&&) -> wide_handler& = delete;
    ~wide_handler() { note(); }

    auto operator()() const -> void {}

    auto note() const -> void
    {
        // Volatile: the compiler may otherwise take the alignment of the type for granted.
        auto const volatile address = reinterpret_cast<std::uintptr_t>(this);
        stored_at->push_back(std::uintptr_t{address});
    }
};

} // namespace

TEST_GROUP(portability){};

// Guards against a double beyond the range of an integer, which becomes the largest integer on one kind of
// machine and the smallest on another.
TEST(portability, a_number_of_seconds_of_any_size_becomes_a_duration_within_its_bounds)
{
    auto const longest = seconds{60};
    CHECK(bounded_duration(1.5, longest) == milliseconds{1'500});
    CHECK(bounded_duration(60.0, longest) == longest);
    for (auto const huge : {61.0, 1e12, 1e300, std::numeric_limits<double>::infinity()}) {
        CHECK(bounded_duration(huge, longest) == longest);
        CHECK(bounded_duration(-huge, longest) == clock::duration::zero());
    }
    CHECK(bounded_duration(std::numeric_limits<double>::quiet_NaN(), longest) == longest);
}

// Guards against comparisons of plain char, in which bytes from 128 up are negative on one kind of machine
// only.
TEST(portability, bytes_beyond_ascii_are_escaped_in_a_path_and_read_back)
{
    auto const cases = std::vector<std::pair<std::string, std::string>>{
        {"\x80", "%80"}, {"caf\xC3\xA9", "caf%C3%A9"}, {"\xFF/~", "%FF/~"}};
    for (auto const& [text, encoded] : cases) {
        STRCMP_EQUAL(encoded.c_str(), percent_encode(text).c_str());
        CHECK(percent_decode(encoded) == text);
    }
}

// Guards against a build whose memory for Asio's handlers no longer heeds alignment: Asio then takes it from
// operator new, while the compiler relies on the alignment of the type.
TEST(portability, a_handler_keeps_an_alignment_wider_than_that_of_operator_new)
{
    static_assert(alignof(wide_handler) > __STDCPP_DEFAULT_NEW_ALIGNMENT__);
    auto io = boost::asio::io_context{};
    auto addresses = std::vector<std::uintptr_t>{};
    for (auto i = 0; i < 8; ++i)
        boost::asio::post(io, wide_handler{addresses});
    io.run();
    for (auto const address : addresses)
        UNSIGNED_LONGS_EQUAL(0, address % wide_alignment);
}
