#pragma once
// One key=value line for each event, written to standard output by a thread of its own.
//
//   auto log = log_writer{"entry-1", log_level::info};             // once, in main()
//   log_event(log_level::info, "config_applied", {{"revision", "17"}, {"source", "watch"}});
//
// Before a log_writer exists and after it is destroyed, lines are discarded. When its ring is full, lines are
// dropped and counted; the count appears in the next line that is written.

#include "hibiscuswall/core/time.hpp"

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace hibiscuswall {

enum class log_level {
    debug,
    info,
    warning,
    error,
};

struct log_field {
    std::string_view key; // lower_case name
    std::string value;    // quoted when it holds a space, '=' or a quote
};

// Value of a field whose key ends in _ms: whole milliseconds.
[[nodiscard]] auto milliseconds_text(clock::duration span) -> std::string;

auto log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) -> void;

// "debug", "info", "warning" or "error"; info for anything else.
[[nodiscard]] auto log_level_from_text(std::string_view text) -> log_level;

class log_writer {
public:
    log_writer(std::string_view process, log_level lowest);
    ~log_writer();
    log_writer(log_writer const&) = delete;
    auto operator=(log_writer const&) -> log_writer& = delete;

    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace hibiscuswall
