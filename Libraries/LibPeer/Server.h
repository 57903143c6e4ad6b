#pragma once

#include <LibCore/Result.h>
#include <LibPeer/Request.h>
#include <LibPeer/ServerStream.h>
#include <LibPeer/Settings.h>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace Peer {

class ServerState;

/// Called once for each whole request, on the server's thread. The stream may be kept and answered later.
using Handler = std::function<void(Request, std::shared_ptr<ServerStream>)>;

/// Takes streams from other daemons: HTTP/2 with prior knowledge over TCP (RFC 9113, 3.3).
/// Belongs to the thread that runs the `io_context`; no method is thread-safe. Destruction closes all
/// connections at once and calls no hook.
class Server {
public:
    /// Binds and listens; port 0 takes a free one. Fails with BadInput for a setting out of range and with
    /// Unavailable when the address cannot be bound.
    static Core::Result<std::shared_ptr<Server>> create(boost::asio::io_context&, boost::asio::ip::tcp::endpoint const&, Settings const&, Handler);
    ~Server();
    Server(Server const&) = delete;
    Server& operator=(Server const&) = delete;

    /// Returns the address that is listened on.
    boost::asio::ip::tcp::endpoint localEndpoint() const;
    /// Stops listening and sends GOAWAY on each connection. Requests that have begun go on to their end, later
    /// ones are refused as not run; `onDone` is called from the event loop when the last connection is closed.
    void shutDown(std::function<void()> onDone);
    /// Returns the number of connections.
    std::size_t connections() const;
    /// Returns the number of streams begun and not ended, on all connections.
    std::size_t openStreams() const;

private:
    explicit Server(std::shared_ptr<ServerState>);

    std::shared_ptr<ServerState> m_state;
};

}
