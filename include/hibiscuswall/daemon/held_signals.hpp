#pragma once
// SIGTERM, SIGINT and SIGHUP before a process can act on them. Without this, one that comes while the
// settings are read ends the process: a reload right after a start would be a crash.
//
//   hold_signals();        // first in main: signals wait
//   ...                    // handlers are installed
//   release_signals();     // those that waited are delivered

namespace hibiscuswall {

auto hold_signals() -> void;
auto release_signals() -> void;

} // namespace hibiscuswall
