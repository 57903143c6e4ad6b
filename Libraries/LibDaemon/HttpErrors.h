#pragma once

#include <LibCore/Error.h>
#include <LibHttp/Message.h>
#include <LibRequest/HttpMapping.h>
#include <string_view>

namespace Daemon {

/// Returns the response for an error, with request id and verdict. Thread-safe.
Http::Response errorResponse(Core::Error const&, Request::HttpErrorContext const&);

/// Returns the response for input that the listener itself rejects: always not run. Thread-safe.
Http::Response rejectionResponse(Http::Status, std::string_view message);

/// Turns the request library's form into a response. Thread-safe.
Http::Response toResponse(Request::HttpError, std::string_view requestId);

inline constexpr std::string_view requestIdHeader = "X-Request-Id";

}
