#pragma once
// result<T>: a value or an error, by Boost.Outcome.
//
//   auto load(std::string_view path) -> result<settings>;
//   auto loaded = load(path);
//   if (!loaded) return loaded.error();          // error{code, message}
//   use(loaded.value());
//
// fail(code, message) makes the error. value() without a value terminates: check first.

#include "hibiscuswall/core/result_code.hpp"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <string>
#include <utility>

namespace hibiscuswall {

struct error {
    result_code code = result_code::internal_error; // what went wrong, see docs/result-codes.md
    std::string message;                            // one line for people: names the field, address or digest
};

template<class T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

[[nodiscard]] inline auto fail(result_code code, std::string message) -> error
{
    return {code, std::move(message)};
}

[[nodiscard]] inline auto success() { return boost::outcome_v2::success(); }

} // namespace hibiscuswall
