#include "hibiscuswall/admission/admission_settings.hpp"

namespace hibiscuswall {

auto read_admission_settings(settings_reader reader) -> admission_settings
{
    auto settings = admission_settings{};
    settings.decrease_factor = reader.number("decrease_factor", settings.decrease_factor, 0.1, 0.95);
    settings.latency_tolerance = reader.number("latency_tolerance", settings.latency_tolerance, 1.1, 100.0);
    settings.latency_jump = reader.number("latency_jump", settings.latency_jump, 2.0, 1'000.0);
    settings.jump_samples = static_cast<int>(reader.integer("jump_samples", settings.jump_samples, 1, 100));
    settings.latency_slack = reader.duration("latency_slack_ms", settings.latency_slack);
    settings.min_latency_window = reader.duration("best_window_ms", settings.min_latency_window);
    settings.decrease_interval = reader.duration("decrease_pause_ms", settings.decrease_interval);
    settings.status_fraction = reader.number("status_share", settings.status_fraction, 0.0, 1.0);
    settings.drafting_fraction = reader.number("drafting_share", settings.drafting_fraction, 0.0, 1.0);
    reader.finish();
    return settings;
}

} // namespace hibiscuswall
