#include "hibiscuswall/lifecycle/endpoint_settings.hpp"

namespace hibiscuswall {

auto read_endpoint_settings(settings_reader reader) -> endpoint_settings
{
    auto settings = endpoint_settings{};
    settings.target_address = reader.endpoint_address("address");
    settings.service = reader.text("service");
    settings.type = reader.choice("type", "engine", {"engine", "plain"}) == "engine" ? service_type::engine
                                                                                     : service_type::plain;
    settings.enforces_fencing = reader.choice("fencing", "enforced", {"enforced", "ignored"}) == "enforced";
    settings.status_max_age = reader.duration("status_max_age_ms", settings.status_max_age);
    settings.poll_interval = reader.duration("poll_interval_ms", settings.poll_interval);
    settings.status_timeout = reader.duration("status_timeout_ms", settings.status_timeout);
    settings.response_timeout = reader.duration("answer_timeout_ms", settings.response_timeout);
    settings.default_deadline = reader.duration("default_deadline_ms", settings.default_deadline);
    reader.finish();
    return settings;
}

} // namespace hibiscuswall
