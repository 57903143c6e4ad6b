#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace Http {

/// Returns how many written bytes the peer's host has not acknowledged (SIOCOUTQ); 0 when that is not known. Thread-safe.
std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket&);

}
