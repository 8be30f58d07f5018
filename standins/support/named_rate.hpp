#pragma once
// The rate of calls that a stand-in says it takes, in the header of its answers.
//
//   auto rate = named_rate{};
//   rate.set(body);                       // {"rate_limit": 2.0}; null or 0 and less: none is named
//   co_await send_json(out, 200, report, rate.headers());

#include "hibiscuswall/http/http_message.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace hibiscuswall {

class named_rate {
public:
    auto set(nlohmann::json const& body) -> void
    {
        if (!body.contains("rate_limit")) return;
        auto const& limit = body["rate_limit"];
        calls_per_second_.reset();
        if (limit.is_number() && limit.get<double>() > 0) calls_per_second_ = limit.get<double>();
    }

    [[nodiscard]] auto headers() const -> http_headers
    {
        auto headers = http_headers{};
        if (calls_per_second_) headers.set("Server-Limit", std::to_string(*calls_per_second_));
        return headers;
    }

private:
    std::optional<double> calls_per_second_;
};

} // namespace hibiscuswall
