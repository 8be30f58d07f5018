#pragma once
// What one response of an endpoint states about the rate at which the endpoint takes calls from all hosts
// together.
//
//   std::visit(overloaded{[](rate_limit const& limit) { ... }, [](no_rate_limit) { ... },
//                         [](unreadable_rate_limit) { ... }}, statement);

#include <variant>

namespace hibiscuswall {

struct no_rate_limit { // the endpoint names no limit
    auto operator==(no_rate_limit const&) const -> bool = default;
};

struct rate_limit {
    double calls_per_second = 0; // from all hosts together; 0: none for now
    auto operator==(rate_limit const&) const -> bool = default;
};

struct unreadable_rate_limit { // the limit is not a number of calls: neither a limit nor its end
    auto operator==(unreadable_rate_limit const&) const -> bool = default;
};

using rate_statement = std::variant<no_rate_limit, rate_limit, unreadable_rate_limit>;

} // namespace hibiscuswall
