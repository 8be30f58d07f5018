#pragma once
// Command line of hibiscusctl.
//
//   auto options = parse_ctl_options(argc, argv);     // usage_invalid names what is wrong

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hibiscuswall {

struct ctl_options {
    std::string command;                          // "apply", "get", ...
    std::vector<std::string> arguments;           // after the command
    std::vector<std::string> files;               // -f
    std::vector<address> entries;                 // --entry, tried in order
    std::string output = "text";                  // -o text, json or html
    std::optional<std::uint64_t> expect_revision; // --expect-revision
    std::uint64_t revision = 0;                   // --revision of wait; 0: the present one
    std::string condition = "config";             // --for of wait: config or weights
    milliseconds timeout{60'000};                 // --timeout of wait and watch, seconds on the command line
    bool complete = false;                        // --complete of check
    std::string help;                             // usage text when --help was given
};

[[nodiscard]] auto parse_ctl_options(int argc, char const* const* argv) -> result<ctl_options>;

} // namespace hibiscuswall
