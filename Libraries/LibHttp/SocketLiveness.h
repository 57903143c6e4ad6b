#pragma once

#include <LibHttp/SilenceWatch.h>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>

namespace Http {

/// After how long a connection whose other end went silent fails, without a message of ours: something between the
/// two ends may lose track of a connection while new ones work. Zero leaves the kernel's default.
struct SocketLiveness {
    std::chrono::milliseconds unacknowledged { 0 }; ///< While sent bytes wait for an acknowledgement and the peer's host sends none.
    std::chrono::seconds probeAfter { 0 }; ///< TCP_KEEPIDLE and TCP_KEEPINTVL: of a connection without traffic.
    int probes { 3 }; ///< TCP_KEEPCNT: how many may go unanswered before a connection ends on which nobody waits for the peer.
};

/// Sets the options on a connected socket; the kernel's refusal leaves its default. Returns what watches the time of
/// `unacknowledged`, or nothing if no time is set. The hooks are as for SilenceWatch.
/// Precondition: the socket outlives the watch. Use from the socket's thread only.
std::shared_ptr<SilenceWatch> watchLiveness(boost::asio::ip::tcp::socket&, SocketLiveness const&, SilenceHooks);

/// Lets what waits on a socket fail, and its close discard what the peer's host has not acknowledged. Use from the socket's
/// thread only.
void breakOff(boost::asio::ip::tcp::socket&);

}
