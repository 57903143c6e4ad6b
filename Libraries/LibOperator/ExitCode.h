#pragma once

#include <cstdint>

namespace Operator {

/// What `currantctl` exits with; docs/operators/currantctl.md documents them for scripts.
enum class ExitCode : std::uint8_t {
    Ok = 0,
    Refused = 1, ///< A conflicting edit won, or, for `diff`, there are differences.
    BadInput = 2, ///< Wrong arguments or a wrong file; nothing was sent, or the daemon found it wrong.
    Unknown = 3, ///< The change may have been accepted; repeat it with its id.
    Unreachable = 4, ///< No server answered; nothing was changed.
    Unauthorized = 5, ///< The token is missing or wrong.
    NotInForce = 6, ///< Accepted, but not in force everywhere within the time.
    NotFound = 7, ///< There is no such object.
    Failed = 8, ///< A server answered with something else than the protocol allows.
};

}
