#include "hibiscuswall/observe/log.hpp"

#include "hibiscuswall/core/bounded_ring.hpp"

#include <easylogging++.h>

#include <atomic>
#include <thread>

namespace hibiscuswall {
namespace {

constexpr auto ring_capacity = std::size_t{8192}; // lines; a burst beyond it is dropped and counted

struct log_line {
    log_level level = log_level::info;
    std::string text;
};

auto active_writer() -> std::atomic<log_writer::state*>&
{
    static auto writer = std::atomic<log_writer::state*>{nullptr};
    return writer;
}

auto append_value(std::string& line, std::string_view value) -> void
{
    auto const plain = !value.empty() && value.find_first_of(" =\"\n\r\t") == std::string_view::npos;
    if (plain) {
        line += value;
        return;
    }
    line += '"';
    for (auto const c : value) {
        if (c == '"' || c == '\\') line += '\\';
        line += (c == '\n' || c == '\r') ? ' ' : c;
    }
    line += '"';
}

auto configure_library() -> void
{
    auto settings = el::Configurations{};
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureAllLoggers(settings);
}

// Writes the library's formatted lines; its own console output would flush after each line.
class stdout_callback : public el::LogDispatchCallback {
protected:
    auto handle(el::LogDispatchData const* data) -> void override
    {
        auto const* message = data->logMessage();
        auto const line = message->logger()->logBuilder()->build(message, true);
        std::fwrite(line.data(), 1, line.size(), stdout);
        std::fflush(stdout); // a pipe would keep the last lines of a process that is killed
    }
};

} // namespace

struct log_writer::state {
    std::string process;
    log_level lowest = log_level::info;
    bounded_ring<log_line> lines{ring_capacity};
    std::atomic<std::size_t> dropped{0};
    std::thread thread;

    auto run() -> void
    {
        while (auto line = lines.pop()) {
            auto const lost = dropped.exchange(0);
            if (lost > 0) line->text += " dropped_lines=" + std::to_string(lost);
            switch (line->level) {
            case log_level::debug:
            case log_level::info:
                LOG(INFO) << line->text;
                break;
            case log_level::warning:
                LOG(WARNING) << line->text;
                break;
            case log_level::error:
                LOG(ERROR) << line->text;
                break;
            }
        }
    }
};

log_writer::log_writer(std::string_view process, log_level lowest) : state_{std::make_unique<state>()}
{
    configure_library();
    el::Helpers::installLogDispatchCallback<stdout_callback>("stdout");
    state_->process = process;
    state_->lowest = lowest;
    state_->thread = std::thread{[this] { state_->run(); }};
    active_writer() = state_.get();
}

log_writer::~log_writer()
{
    active_writer() = nullptr;
    state_->lines.close();
    state_->thread.join();
}

auto log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) -> void
{
    auto* writer = active_writer().load();
    if (writer == nullptr || level < writer->lowest) return;
    constexpr std::string_view names[] = {"debug", "info", "warning", "error"};
    auto line = std::string{"level="};
    line += names[static_cast<int>(level)];
    line += " process=";
    append_value(line, writer->process);
    line += " event=";
    append_value(line, event);
    for (auto const& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        append_value(line, field.value);
    }
    if (!writer->lines.try_push({level, std::move(line)})) ++writer->dropped;
}

auto milliseconds_text(clock::duration span) -> std::string
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

auto log_level_from_text(std::string_view text) -> log_level
{
    if (text == "debug") return log_level::debug;
    if (text == "warning") return log_level::warning;
    if (text == "error") return log_level::error;
    return log_level::info;
}

} // namespace hibiscuswall
