// Time on a machine that was suspended: the steady clock stands meanwhile, the project's clock does not.
#include "hibiscuswall/core/time.hpp"

#include "support/await_condition.hpp"
#include "support/process.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(suspended_machine)
{
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("hibiscuswall-suspended-" + std::to_string(getpid()));

    void setup() override { std::filesystem::create_directories(folder); }
    void teardown() override
    {
        unsetenv("LD_PRELOAD");
        unsetenv("HW_SUSPENDED_FILE");
        std::filesystem::remove_all(folder);
    }

    // What a program prints that is stopped so long, on a machine whose steady clock stands meanwhile.
    auto output_after_suspension(milliseconds duration)->std::string
    {
        auto const file = folder / "suspended_ms";
        setenv("LD_PRELOAD", (std::string{HW_BIN_DIR} + "/libsuspended-clock.so").c_str(), 1);
        setenv("HW_SUSPENDED_FILE", file.c_str(), 1);
        auto probe = process{"clock-probe", {}, folder / "probe.log"};
        unsetenv("LD_PRELOAD");
        auto status = 0;
        CHECK(waitpid(probe.id(), &status, WUNTRACED) == probe.id() && WIFSTOPPED(status));
        std::this_thread::sleep_for(duration);
        std::ofstream{file} << duration.count();
        probe.send_signal(SIGCONT);
        CHECK(probe.wait(milliseconds{5'000}) == 0);
        return probe.log_text();
    }
};

// Guards against decisions that take a permission, a declaration or a comparison for young because the
// machine was suspended after it.
TEST(suspended_machine, its_duration_counts_on_the_clock_of_all_decisions)
{
    auto const suspension = milliseconds{600};
    auto const text = output_after_suspension(suspension);
    auto counted = 0LL;
    auto steady = 0LL;
    CHECK(std::sscanf(text.c_str(), "clock_ms=%lld steady_ms=%lld", &counted, &steady) == 2);
    CHECK(steady < suspension.count()); // the stand-in of a suspension works
    CHECK(counted >= suspension.count());
}
