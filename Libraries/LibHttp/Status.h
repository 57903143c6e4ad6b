#pragma once

#include <cstdint>
#include <string_view>

namespace Http {

/// Status codes that this system sends or tells apart (RFC 9110, section 15).
enum class Status : std::uint16_t {
    Ok = 200,
    NoContent = 204,
    BadRequest = 400,
    Unauthorized = 401,
    Forbidden = 403,
    NotFound = 404,
    MethodNotAllowed = 405,
    RequestTimeout = 408,
    Conflict = 409,
    Gone = 410,
    ContentTooLarge = 413,
    UnprocessableContent = 422,
    PreconditionRequired = 428,
    TooManyRequests = 429,
    HeaderFieldsTooLarge = 431,
    InternalServerError = 500,
    BadGateway = 502,
    ServiceUnavailable = 503,
    GatewayTimeout = 504,
};

/// Returns the standard reason phrase of a status code. Thread-safe.
std::string_view reasonPhrase(std::uint16_t status);

}
