#pragma once

#include <LibHttp/Server.h>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace Http {

/// What the connections of one server share. It outlives the server while connections remain.
struct ServerShared {
    ServerSettings settings;
    Handler handler;
    RejectionHandler rejection;
    ConnectionEndHook onConnectionEnd;
    std::size_t activeRequests { 0 };
    std::size_t connections { 0 };
    bool isDraining { false };
    bool isStopped { false };
};

/// A connection that can be closed when it serves nothing.
class IdleCloser {
public:
    virtual ~IdleCloser() = default;
    virtual void closeIfIdle() = 0;
};

/// Serves the requests of one accepted connection, one after the other, until it closes.
/// Use from the server's thread only. Returns a handle that does not keep the connection alive.
std::weak_ptr<IdleCloser> serveConnection(std::shared_ptr<ServerShared>, boost::asio::ip::tcp::socket);

}
