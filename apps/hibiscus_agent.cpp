#include "hibiscuswall/daemon/agent_daemon.hpp"

auto main(int argc, char** argv) -> int { return hibiscuswall::run_agent(argc, argv); }
