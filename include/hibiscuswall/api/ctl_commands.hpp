#pragma once
// The commands of hibiscusctl. Gives the exit code of docs/result-codes.md; answers go to standard output,
// the code and message of a failure to standard error.

#include "hibiscuswall/api/ctl_options.hpp"

namespace hibiscuswall {

constexpr auto ctl_exit_conflict = 3;
constexpr auto ctl_exit_unknown = 4;
constexpr auto ctl_exit_not_met = 5;
constexpr auto ctl_exit_differs = 6;

auto run_ctl(ctl_options const& options) -> int;

} // namespace hibiscuswall
