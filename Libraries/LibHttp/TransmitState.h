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
    std::chrono::milliseconds roundTrip { 0 }; ///< The kernel's estimate.
    std::chrono::milliseconds sinceSent { 0 }; ///< Since the last segment with data was sent.
    std::chrono::milliseconds sinceReceived { 0 }; ///< Since the last segment with data arrived, or since the connection was opened.

    /// Returns whether some written bytes are not acknowledged.
    bool isWaiting() const { return isInFlight || isWindowClosed; }
};

/// Whether the kernel tells the times of a TransmitState: some networks that stand in for a kernel's leave them 0.
enum class KernelTimes : std::uint8_t {
    Unknown, ///< Nothing has shown it yet.
    Told,
    Missing,
};

/// Returns what this process has seen so far. Thread-safe.
KernelTimes kernelTimes();

/// Notes a state that was read some time after bytes were sent, so that its times cannot all be 0. Thread-safe.
void noteSettledState(TransmitState const&);

/// Returns nothing if the kernel does not tell. Use from the socket's thread only.
std::optional<TransmitState> transmitStateOf(boost::asio::ip::tcp::socket&);

}
