#pragma once

#include <LibCore/EnumNames.h>
#include <LibHttp/TransmitState.h>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace Http {

/// Why a server's side of a connection ended.
enum class ConnectionEndReason : std::uint8_t {
    CallerClosed, ///< The caller closed it, or it broke, between requests.
    IdleTimeout,
    ServerStopped, ///< It was idle when the server stopped.
    LastAnswer, ///< The answer said that it would close.
    Rejected, ///< What came on it was no request that can be served.
    ReadFailed, ///< It broke, or its caller closed it, in the middle of a request.
    WriteFailed, ///< The caller no longer took an answer.
    NoAnswer, ///< The handler ended without a complete answer.
    ConnectionLimit, ///< The server had no room for it.
    CallerSilent, ///< The caller's host acknowledged nothing any more.
    ThreadEnded, ///< The server's thread ended first.
};

inline constexpr Core::EnumNames<ConnectionEndReason, 11> connectionEndReasonNames { {
    { ConnectionEndReason::CallerClosed, "caller_closed" },
    { ConnectionEndReason::IdleTimeout, "idle_timeout" },
    { ConnectionEndReason::ServerStopped, "server_stopped" },
    { ConnectionEndReason::LastAnswer, "last_answer" },
    { ConnectionEndReason::Rejected, "rejected" },
    { ConnectionEndReason::ReadFailed, "read_failed" },
    { ConnectionEndReason::WriteFailed, "write_failed" },
    { ConnectionEndReason::NoAnswer, "no_answer" },
    { ConnectionEndReason::ConnectionLimit, "connection_limit" },
    { ConnectionEndReason::CallerSilent, "caller_silent" },
    { ConnectionEndReason::ThreadEnded, "thread_ended" },
} };

/// How a connection stood when the server's side of it ended.
struct ConnectionEnd {
    ConnectionEndReason reason { ConnectionEndReason::ThreadEnded };
    std::uint64_t requests { 0 }; ///< Whole requests that were read.
    std::uint64_t answers { 0 }; ///< Complete answers that were written.
    std::size_t unreadBytes { 0 }; ///< Received, and of no request that was handled.
    std::size_t unsentBytes { 0 }; ///< Written, and not acknowledged by the caller's host.
    boost::system::error_code error {}; ///< Of the operation that failed, or of the connection while its caller waited.
    std::optional<TransmitState> transmit {}; ///< Empty if the kernel did not tell.

    /// Returns whether the caller sent something that got no answer.
    bool isUnanswered() const { return answers < requests || unreadBytes > 0; }
};

/// Takes the end of each connection. Called on the server's thread.
using ConnectionEndHook = std::function<void(ConnectionEnd const&)>;

}
