#pragma once
// What the response of an endpoint is to a call.

#include "hibiscuswall/serving/endpoint_response_parser.hpp"
#include "hibiscuswall/serving/relayed_call.hpp"

namespace hibiscuswall {

inline auto names_call(relayed_call const& call, endpoint_response_parser const& parser) -> bool
{
    return platform::decode_response(parser.status(), parser.headers()).call_id == call.fields.call_id;
}

// Whether the response is a stream of events. Any other response, such as an error that an endpoint sends in
// place of the events, is read to its end first.
inline auto has_events(relayed_call const& call, endpoint_response_parser const& parser) -> bool
{
    if (!call.is_stream() || !parser.has_head() || parser.status() != 200) return false;
    auto const fields = platform::decode_response(parser.status(), parser.headers());
    return fields.has_events && !fields.not_executed;
}

} // namespace hibiscuswall
