#pragma once
// The operators' HTTP interface on the control listener of an entry: resources, apply, status, members and
// the merged time line. Errors are JSON: {"code", "name", "message"}.
//
//   auto api = resource_api{context, config, kv, members};

#include "hibiscuswall/api/status_report.hpp"
#include "hibiscuswall/config/config_service.hpp"
#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/membership/member_source.hpp"

namespace hibiscuswall {

class resource_api {
public:
    resource_api(process_context& context, config_service& config, member_source& members);

private:
    auto answer_resources(http_request const& request) -> http_response;
    auto answer_resource(http_request request) -> asio::awaitable<http_response>;
    auto answer_apply(http_request request) -> asio::awaitable<http_response>;
    auto write(config_change change) -> asio::awaitable<http_response>;

    process_context& context_;
    config_service& config_;
    status_report status_;
};

} // namespace hibiscuswall
