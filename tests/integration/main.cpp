// Runs every integration test. CppUTest's header comes last: it redefines new.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

auto main(int argc, char** argv) -> int
{
    // Its leak check takes memory that Asio keeps for reuse for a fault; the address sanitizer does that
    // work.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
