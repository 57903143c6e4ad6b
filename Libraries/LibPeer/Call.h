#pragma once

#include <LibPeer/Client.h>
#include <boost/asio/awaitable.hpp>

namespace Peer {

/// A whole answer from another daemon.
struct Reply {
    int status { 0 };
    std::string body;
};

/// Sends a request and collects its answer, for at most `timeout`; then, or when the answer is larger than
/// `Settings::maxReplyBytes`, the stream is canceled. The error's verdict is that of `Client::open`.
/// Precondition: awaited on the client's thread, and the client lives until then.
boost::asio::awaitable<Core::Result<Reply>> call(Client&, std::string path, std::string body, std::chrono::milliseconds timeout);

}
