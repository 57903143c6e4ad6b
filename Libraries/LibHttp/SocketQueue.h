#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace Http {

/// Returns how many written bytes the peer's host has not acknowledged (SIOCOUTQ); 0 when that is not known. Thread-safe.
std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket&);

/// Closes a connection and discards what the kernel has not sent yet, which an ordinary close would still deliver (RFC 9293,
/// section 3.10.5). The peer sees a reset. Does nothing if the socket is closed. Use from the socket's thread only.
void abortConnection(boost::asio::ip::tcp::socket&);

}
