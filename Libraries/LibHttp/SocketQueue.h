#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>

namespace Http {

/// Returns how many written bytes the peer's host has not acknowledged (SIOCOUTQ); 0 when that is not known.
/// Use from the socket's thread only.
std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket&);

/// Returns how many received bytes wait to be read (FIONREAD); 0 when that is not known. Use from the socket's thread only.
std::size_t unreadBytes(boost::asio::ip::tcp::socket const&);

/// Returns how many connections wait to be accepted (TCP_INFO of a listening socket); 0 when that is not known.
/// Use from the acceptor's thread only.
std::size_t acceptQueueLength(boost::asio::ip::tcp::acceptor&);

/// Returns whether nothing more can be sent on a connection either (POLLHUP): it was reset or has failed, or both sides have closed it.
/// Leaves its error to the next call that takes it. Use from the socket's thread only.
bool hasHungUp(boost::asio::ip::tcp::socket&);

/// Lets the kernel give up bytes that it has held for this long, also behind the socket's close (TCP_USER_TIMEOUT); the time in which
/// the peer does not read counts. Thread-safe.
void limitUnacknowledged(boost::asio::ip::tcp::socket&, std::chrono::milliseconds);

/// Closes a connection. If the peer's host has not acknowledged all that was written, discards what the kernel still holds, which
/// an ordinary close would deliver (RFC 9293, section 3.10.5), and resets the connection. Does nothing if the socket is closed.
/// Use from the socket's thread only.
void closeOrAbort(boost::asio::ip::tcp::socket&);

}
