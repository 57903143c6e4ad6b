#pragma once

#include <LibCore/Error.h>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace Core {

/// A value or an `Error`. Reading the side that is absent ends the process: check first, or use
/// `BOOST_OUTCOME_TRY(Type name, expression)`, which returns the error to the caller.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Wraps an error for `return`.
inline boost::outcome_v2::failure_type<Error> fail(ErrorCode code, std::string message)
{
    return boost::outcome_v2::failure(makeError(code, std::move(message)));
}

/// Success of a `Result<void>`.
inline boost::outcome_v2::success_type<void> ok()
{
    return boost::outcome_v2::success();
}

}
