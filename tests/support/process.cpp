#include "support/process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <utility>

extern char** environ;

namespace hibiscuswall {

process::process(std::string const& program, std::vector<std::string> const& arguments,
                 std::filesystem::path log)
    : log_{std::move(log)}
{
    auto const path = std::string{HW_BIN_DIR} + "/" + program;
    auto words = std::vector<std::string>{path};
    words.insert(words.end(), arguments.begin(), arguments.end());
    auto pointers = std::vector<char*>{};
    for (auto& word : words)
        pointers.push_back(word.data());
    pointers.push_back(nullptr);

    auto actions = posix_spawn_file_actions_t{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    auto const status = posix_spawn(&id_, path.c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (status != 0) throw std::runtime_error{"cannot start " + path};
}

process::~process() { kill(); }

process::process(process&& other) noexcept
    : id_{std::exchange(other.id_, -1)}, exit_code_{other.exit_code_}, log_{std::move(other.log_)}
{
}

auto process::operator=(process&& other) noexcept -> process&
{
    if (this == &other) return *this;
    kill();
    id_ = std::exchange(other.id_, -1);
    exit_code_ = other.exit_code_;
    log_ = std::move(other.log_);
    return *this;
}

auto process::send_signal(int number) const -> void
{
    if (id_ > 0 && !exit_code_) ::kill(id_, number);
}

auto process::wait(milliseconds bound) -> std::optional<int>
{
    if (id_ <= 0) return 0;
    auto const deadline = clock::now() + bound;
    while (!exit_code_) {
        auto status = 0;
        if (waitpid(id_, &status, WNOHANG) == id_) {
            exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            break;
        }
        if (clock::now() >= deadline) return std::nullopt;
        std::this_thread::sleep_for(milliseconds{2});
    }
    return exit_code_;
}

auto process::kill() -> void
{
    if (id_ <= 0 || exit_code_) return;
    send_signal(SIGKILL);
    auto status = 0;
    waitpid(id_, &status, 0);
    exit_code_ = 128 + SIGKILL;
}

auto process::log_text() const -> std::string
{
    auto file = std::ifstream{log_};
    return {std::istreambuf_iterator<char>{file}, {}};
}

} // namespace hibiscuswall
