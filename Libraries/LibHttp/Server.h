#pragma once

#include <LibCore/MemoryBudget.h>
#include <LibHttp/ConnectionEnd.h>
#include <LibHttp/ResponseWriter.h>
#include <LibHttp/SocketLiveness.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace Http {

/// Serves one complete request. Called on the server's thread; both arguments outlive the coroutine.
using Handler = std::function<boost::asio::awaitable<void>(Request&, ResponseWriter&)>;

/// Builds the response to input that cannot be served: the status and one sentence for the caller.
using RejectionHandler = std::function<Response(Status, std::string_view message)>;

/// Connections that a listener has accepted in one turn of the event loop.
struct AcceptedConnections {
    std::size_t count { 0 };
    std::optional<std::chrono::milliseconds> longestWait; ///< Since the last segment of the oldest one; empty if the kernel did not tell.
};

/// Takes what was accepted. Called on the server's thread.
using AcceptHook = std::function<void(AcceptedConnections const&)>;

/// A request that was refused because there was no memory for it.
struct MemoryRefusal {
    boost::asio::ip::tcp::endpoint caller;
    Core::MemoryBudget::Usage usage; ///< Behind the refusal.
};

/// Takes a refused request. Called on the server's thread.
using MemoryRefusalHook = std::function<void(MemoryRefusal const&)>;

/// What a listener with as many connections as it may have does with one more.
enum class WhenFull : std::uint8_t {
    Refuse, ///< Its one request is told so.
    DropOldest, ///< It is served, and the oldest connection that serves no request is closed.
};

/// Limits and timeouts of a listener.
struct ServerSettings {
    std::size_t headLimit { 16 * 1024 }; ///< Bytes of request line and fields.
    std::size_t bodyLimit { 8 * 1024 * 1024 }; ///< Bytes of a request body.
    std::chrono::milliseconds headTimeout { 10'000 }; ///< From the first wait to the end of the head.
    std::chrono::milliseconds bodyTimeout { 30'000 }; ///< From the end of the head to that of the body.
    std::chrono::milliseconds idleTimeout { 75'000 }; ///< Between requests on a connection.
    std::chrono::milliseconds writeTimeout { 30'000 }; ///< For the peer to take one piece.
    std::size_t connectionLimit { 20'000 };
    WhenFull whenFull { WhenFull::Refuse };
    std::size_t receiveBuffer { 0 }; ///< Bytes that the kernel takes of a connection before they are read, about; 0: as many as it likes.
    SocketLiveness liveness; ///< When a caller's connection that went silent counts as lost.
    bool isPortShared { false }; ///< SO_REUSEPORT: several servers of this process share the port.
};

/// An HTTP/1.1 listener (RFC 9112) on one io_context that one thread runs. Input that breaks the protocol
/// or a limit gets the rejection handler's response and its connection is closed.
/// Thread safety: use from the thread that runs the io_context, or before it runs.
class Server {
public:
    /// Binds and listens. Errors: Unavailable when the address cannot be bound.
    static Core::Result<std::unique_ptr<Server>> create(boost::asio::io_context&, boost::asio::ip::tcp::endpoint const&, ServerSettings const&, Handler, RejectionHandler);

    virtual ~Server() = default;

    /// Calls `hook` at the end of each connection. Precondition: no connection was accepted yet.
    virtual void onConnectionEnd(ConnectionEndHook hook) = 0;

    /// Calls `hook` for connections that were accepted. Precondition: as for `onConnectionEnd`.
    virtual void onAccepted(AcceptHook hook) = 0;

    /// Claims what requests hold from `budget`, and calls `hook` for those that find no room. Precondition: as for `onConnectionEnd`.
    virtual void limitMemory(std::shared_ptr<Core::MemoryBudget> budget, MemoryRefusalHook hook) = 0;

    /// Begins to accept connections. Precondition: called once.
    virtual void start() = 0;

    /// Changes limits and timeouts for what is read from now on. Those of connections, their receive buffers and the sharing of the port
    /// stay.
    virtual void setLimits(ServerSettings const&) = 0;

    /// Returns the bound port, also when port 0 was asked for.
    virtual std::uint16_t port() const = 0;

    /// Announces `Connection: close` on further responses; connections are still accepted.
    virtual void beginDraining() = 0;

    /// Stops accepting; connections close once they serve no request. May be called again.
    virtual void stop() = 0;

    /// Returns how many requests are being served.
    virtual std::size_t activeRequests() const = 0;

    /// Returns how many connections are open.
    virtual std::size_t openConnections() const = 0;

    /// Returns how many connections wait to be accepted; 0 when that is not known, or after `stop`.
    virtual std::size_t waitingConnections() const = 0;
};

}
