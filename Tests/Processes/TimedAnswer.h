#pragma once

#include <LibHttp/Client.h>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace Processes {

/// What a caller got for one request, and when.
struct TimedAnswer {
    std::optional<Http::Response> response; ///< Whole; nothing if the connection ended before.
    bool wasSent { false }; ///< A connection took at least a part of the request.
    bool hasBegun { false }; ///< The response's head arrived.
    std::size_t receivedBytes { 0 }; ///< Of the response's body.
    std::string partialBody; ///< What came of the body, if there is no whole response.
    std::chrono::steady_clock::time_point sentAt; ///< Just before it was written.
    std::chrono::steady_clock::time_point endedAt;
    std::string error; ///< Why there is no whole response.

    std::chrono::milliseconds sinceSent() const { return std::chrono::duration_cast<std::chrono::milliseconds>(endedAt - sentAt); }
};

/// Sends a request over a kept connection if there is one. Use from the client's thread.
boost::asio::awaitable<TimedAnswer> askTimed(Http::Client&, boost::asio::ip::tcp::endpoint, Http::Request);

}
