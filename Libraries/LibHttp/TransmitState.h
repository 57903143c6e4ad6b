#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <optional>

namespace Http {

/// What the kernel knows of a connection's unacknowledged bytes and of its peer's host (TCP_INFO).
struct TransmitState {
    bool isInFlight { false }; ///< Sent segments wait for their acknowledgement.
    bool isWindowClosed { false }; ///< Written bytes wait, none is in flight: the peer's receive buffer is full.
    std::uint32_t unansweredProbes { 0 }; ///< Window probes, since the last acknowledgement.
    std::uint32_t retransmissions { 0 }; ///< Since the connection was opened.
    std::chrono::milliseconds sinceAcknowledgement { 0 };
    std::chrono::milliseconds sinceReceived { 0 }; ///< Since the last segment with data arrived, or since the connection was opened.

    /// Returns whether some written bytes are not acknowledged.
    bool isWaiting() const { return isInFlight || isWindowClosed; }
};

/// Returns nothing if the kernel does not tell, or the socket was never connected. Use from the socket's thread only.
std::optional<TransmitState> transmitStateOf(boost::asio::ip::tcp::socket&);

}
