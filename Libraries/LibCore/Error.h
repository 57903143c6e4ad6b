#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Verdict.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Core {

/// The kinds of failure that callers, operators and other libraries tell apart.
enum class ErrorCode : std::uint8_t {
    BadInput, ///< What was read breaks its grammar or range; the message says what is allowed.
    NotFound, ///< The named object, model, service or ticket does not exist.
    Conflict, ///< A newer revision won, or the ticket belongs to another request.
    Unauthorized, ///< The bearer token or ticket is missing or wrong.
    Unauthenticated, ///< The caller's key is missing, or no organisation holds it.
    NotAllowed, ///< No selector allows it.
    Overloaded, ///< A limit is reached; try again later.
    Unavailable, ///< The other side cannot be reached or refuses for now.
    Timeout, ///< A deadline passed.
    Canceled, ///< The caller or the daemon gave up.
    LostAuthority, ///< A newer fencing number exists.
    Gap, ///< Log records that are needed have expired.
    Corrupt, ///< Data fails its digest or cannot be decoded.
    Quarantined, ///< The request has ended targets that ran it; it is run no more.
    Internal, ///< An unexpected failure inside this process.
};

inline constexpr EnumNames<ErrorCode, 15> errorCodeNames { {
    { ErrorCode::BadInput, "bad-input" },
    { ErrorCode::NotFound, "not-found" },
    { ErrorCode::Conflict, "conflict" },
    { ErrorCode::Unauthorized, "unauthorized" },
    { ErrorCode::Unauthenticated, "unauthenticated" },
    { ErrorCode::NotAllowed, "not-allowed" },
    { ErrorCode::Overloaded, "overloaded" },
    { ErrorCode::Unavailable, "unavailable" },
    { ErrorCode::Timeout, "timeout" },
    { ErrorCode::Canceled, "canceled" },
    { ErrorCode::LostAuthority, "lost-authority" },
    { ErrorCode::Gap, "gap" },
    { ErrorCode::Corrupt, "corrupt" },
    { ErrorCode::Quarantined, "quarantined" },
    { ErrorCode::Internal, "internal" },
} };

/// Returns the name used in error bodies and logs. Thread-safe.
std::string_view toString(ErrorCode);

/// A failure with its verdict: may the request that met it have run?
struct Error {
    ErrorCode code { ErrorCode::Internal };
    std::string message; ///< One sentence for a person: what was read, what is allowed.
    Verdict verdict { Verdict::NotRun };

    bool operator==(Error const&) const = default;
};

/// Creates an error whose request certainly did not run. Thread-safe.
Error makeError(ErrorCode, std::string message);

/// Creates an error whose request may have run. Thread-safe.
Error makeUncertainError(ErrorCode, std::string message);

}
