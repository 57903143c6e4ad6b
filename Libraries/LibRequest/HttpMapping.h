#pragma once

#include <LibCore/Error.h>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Request {

/// The header that carries the verdict on each answer.
inline constexpr std::string_view verdictHeader = "Currantvale-Verdict";
/// The header that carries a ticket, from and to callers.
inline constexpr std::string_view ticketHeader = "Currantvale-Ticket";
/// The header that tells client libraries not to retry automatically.
inline constexpr std::string_view shouldRetryHeader = "x-should-retry";

/// An error as an HTTP response to a caller.
struct HttpError {
    int status { 0 };
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; ///< JSON: {"error":{"code","message","verdict","request_id"}}.
};

/// Inputs of the mapping besides the error.
struct HttpErrorContext {
    std::string_view requestId;
    bool isRepeatable { false };
    std::chrono::milliseconds retryAfter { 0 }; ///< 0: one second, if the header is sent.
};

/// Returns status, headers and body for an error before the answer's head was sent. Statuses on which client
/// libraries retry automatically (408, 409, 425, 429, 5xx) are never returned for a request that may have run and is not
/// repeatable. The table is in docs/design/requests.md. Thread-safe.
HttpError toHttpError(Core::Error const&, HttpErrorContext const&);

/// Returns 428 (RFC 6585, section 3) with a fresh ticket: an idempotency key came without one. Thread-safe.
HttpError ticketRequired(std::string_view freshTicket, std::string_view requestId);

/// Returns the error object as JSON text. Thread-safe.
std::string errorBody(Core::Error const&, std::string_view requestId);

/// Returns the server-sent event that ends a stream which can't be completed. No [DONE] follows it. Thread-safe.
std::string streamErrorEvent(Core::Error const&, std::string_view requestId);

}
