#include "hibiscuswall/calls/call_settings.hpp"

namespace hibiscuswall {

auto read_call_settings(settings_reader reader) -> call_settings
{
    auto settings = call_settings{};
    settings.default_timeout = reader.duration("default_timeout_ms", settings.default_timeout);
    settings.max_timeout = reader.duration("longest_timeout_ms", settings.max_timeout);
    settings.connect_timeout = reader.duration("connect_timeout_ms", settings.connect_timeout);
    settings.status_timeout = reader.duration("status_timeout_ms", settings.status_timeout);
    settings.response_timeout = reader.duration("answer_timeout_ms", settings.response_timeout);
    settings.event_timeout = reader.duration("event_timeout_ms", settings.event_timeout);
    settings.endpoint_wait_timeout = reader.duration("endpoint_wait_ms", settings.endpoint_wait_timeout);
    settings.resolve_timeout = reader.duration("resolve_timeout_ms", settings.resolve_timeout);
    settings.max_resolve_attempts =
        static_cast<int>(reader.integer("resolve_attempts", settings.max_resolve_attempts, 1, 100));
    settings.max_attempts = static_cast<int>(reader.integer("attempts", settings.max_attempts, 1, 100));
    settings.max_response_bytes =
        static_cast<std::size_t>(reader.integer("answer_bytes", 8LL << 20U, 1'024, 1LL << 30U));
    settings.routing = read_routing_settings(reader.child("routing"));
    settings.claims = read_claim_settings(reader.child("claims"));
    reader.finish();
    return settings;
}

} // namespace hibiscuswall
