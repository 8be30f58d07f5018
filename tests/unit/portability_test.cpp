// What must be the same on every kind of machine that the programs are built for.
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

#include <CppUTest/TestHarness.h>

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
