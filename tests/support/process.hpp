#pragma once
// A program of the build, started by a test. Only tests start processes.
//
//   auto kv = process{"standin-kv", {"--listen", where.text()}, folder / "kv.log"};
//   kv.send_signal(SIGTERM);
//   auto code = kv.wait(milliseconds{5000});       // exit code; 128 + n for signal n; nothing when still
//   running
//
// The destructor kills what still runs. Standard output and error go to the log file.

#include "hibiscuswall/core/time.hpp"

#include <sys/types.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace hibiscuswall {

class process {
public:
    process() = default;
    process(std::string const& program, std::vector<std::string> const& arguments, std::filesystem::path log);
    ~process();
    process(process&& other) noexcept;
    auto operator=(process&& other) noexcept -> process&;

    auto send_signal(int number) const -> void; // SIGSTOP and SIGCONT pause it
    auto wait(milliseconds bound) -> std::optional<int>;
    auto kill() -> void; // at once, and waits for its end

    [[nodiscard]] auto running() -> bool { return !wait(milliseconds{0}); }
    [[nodiscard]] auto id() const -> pid_t { return id_; }
    [[nodiscard]] auto log_text() const -> std::string;

private:
    pid_t id_ = -1;
    std::optional<int> exit_code_;
    std::filesystem::path log_;
};

} // namespace hibiscuswall
