#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace Http {

/// After how long a connection whose other end went silent fails, without a message of ours: something between the
/// two ends may lose track of a connection while new ones work. Zero leaves the kernel's default.
struct SocketLiveness {
    std::chrono::milliseconds unacknowledged { 0 }; ///< TCP_USER_TIMEOUT: for sent bytes without an acknowledgement.
    std::chrono::seconds probeAfter { 0 }; ///< TCP_KEEPIDLE and TCP_KEEPINTVL: of a connection without traffic.
    int probes { 3 }; ///< TCP_KEEPCNT: how many of them may go unanswered.
};

/// Sets the options on an open socket; the kernel's refusal leaves its default. Thread-safe.
void setLiveness(boost::asio::ip::tcp::socket&, SocketLiveness const&);

}
