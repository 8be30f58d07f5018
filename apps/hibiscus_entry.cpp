#include "hibiscuswall/daemon/entry_daemon.hpp"

auto main(int argc, char** argv) -> int { return hibiscuswall::run_entry(argc, argv); }
