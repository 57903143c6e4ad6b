#pragma once

#include <LibHttp/Body.h>
#include <LibHttp/Fields.h>
#include <LibHttp/Status.h>
#include <chrono>
#include <cstdint>
#include <string>

namespace Http {

/// A request whose head and body are complete.
struct Request {
    std::string method { "GET" };
    std::string target { "/" }; ///< Path and query, as sent.
    Fields fields;
    Body body;
    std::chrono::milliseconds waited { 0 }; ///< Of one that a server has read: since its last byte arrived; 0 if the kernel does not tell.
};

/// The part of a response before its body.
struct ResponseHead {
    std::uint16_t status { 200 };
    Fields fields;
};

/// A response whose body is complete.
struct Response {
    std::uint16_t status { 200 };
    Fields fields;
    std::string body;
};

/// Returns a response with a JSON body. Thread-safe.
inline Response jsonResponse(Status status, std::string body)
{
    return Response { static_cast<std::uint16_t>(status), { { "Content-Type", "application/json" } }, std::move(body) };
}

}
