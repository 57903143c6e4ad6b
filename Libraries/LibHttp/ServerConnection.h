#pragma once

#include <LibHttp/Server.h>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>

namespace Http {

/// What the connections of one server share. It outlives the server while connections remain.
struct ServerShared {
    ServerSettings settings;
    Handler handler;
    RejectionHandler rejection;
    ConnectionEndHook onConnectionEnd;
    AcceptHook onAccepted;
    std::shared_ptr<Core::MemoryBudget> memory; ///< That requests are held in; null: without a limit.
    MemoryRefusalHook onMemoryRefused;
    std::size_t activeRequests { 0 };
    std::size_t connections { 0 };
    std::size_t refusedConnections { 0 }; ///< Open ones beyond the limit; not of `connections`.
    bool isDraining { false };
    bool isStopped { false };
};

/// An accepted connection, as its server sees it. Use from the server's thread only.
class ServedConnection {
public:
    virtual ~ServedConnection() = default;

    /// Shortens the time that the connection may stay idle, now and behind later answers: the server has stopped.
    virtual void endWhenIdle() = 0;

    /// Closes the connection at once, unless it serves a request.
    virtual void closeUnlessServing() = 0;

    /// Closes the connection at once, unless it serves a request or is closed. Returns whether it did.
    virtual bool drop() = 0;
};

/// Whether the server has room for a connection.
enum class Admission : std::uint8_t {
    Served,
    Refused, ///< Its one request is told so.
};

/// Serves the requests of one accepted connection, one after the other, until it closes.
/// Use from the server's thread only. Returns a handle that does not keep the connection alive.
std::weak_ptr<ServedConnection> serveConnection(std::shared_ptr<ServerShared>, boost::asio::ip::tcp::socket, Admission);

}
