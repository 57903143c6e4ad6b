#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <optional>

namespace Http {

/// Connects a stream to an endpoint from `local`; empty: the kernel chooses. Returns `boost::beast::error::timeout` once the time is over.
/// Use from the stream's thread only. Precondition: the stream is closed, and outlives the coroutine.
boost::asio::awaitable<boost::system::error_code> connectStream(boost::beast::tcp_stream&, boost::asio::ip::tcp::endpoint, std::optional<boost::asio::ip::address> local, std::chrono::milliseconds timeout);

}
