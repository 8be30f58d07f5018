// Operators' command line: declare, compare, watch and drain resources through an entry's resource API.
#include "hibiscuswall/api/ctl_commands.hpp"
#include "hibiscuswall/daemon/daemon_options.hpp"

#include <iostream>

auto main(int argc, char** argv) -> int
{
    auto const options = hibiscuswall::parse_ctl_options(argc, argv);
    if (!options) {
        std::cerr << "hibiscusctl: " << options.error().message << '\n';
        return hibiscuswall::exit_usage;
    }
    if (!options.value().help.empty()) {
        std::cout << options.value().help;
        return hibiscuswall::exit_success;
    }
    return hibiscuswall::run_ctl(options.value());
}
