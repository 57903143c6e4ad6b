#pragma once

#include <LibPeer/Client.h>
#include <boost/asio/awaitable.hpp>

namespace Peer {

/// A whole answer from another daemon.
struct Reply {
    int status { 0 };
    std::string body;
};

/// How long a call waits for its answer.
struct CallTimeouts {
    std::chrono::milliseconds silence { 0 }; ///< For the first sign of the answer, and between two parts of it.
    std::chrono::milliseconds total { 0 }; ///< For the whole answer.
};

/// Sends a request and collects its answer. After a timeout, or when the answer is larger than
/// `Settings::maxReplyBytes`, the stream is canceled. The error's verdict is that of `Client::open`.
/// Precondition: awaited on the client's thread, and the client lives until then.
boost::asio::awaitable<Core::Result<Reply>> call(Client&, std::string path, std::string body, CallTimeouts);

/// The same with one timeout for the whole answer.
boost::asio::awaitable<Core::Result<Reply>> call(Client&, std::string path, std::string body, std::chrono::milliseconds timeout);

}
