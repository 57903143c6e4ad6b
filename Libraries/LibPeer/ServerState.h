#pragma once

#include <LibPeer/Server.h>
#include <LibPeer/ServerConnection.h>
#include <boost/asio/io_context.hpp>
#include <set>

namespace Peer {

/// What a `Server` is made of; operations in progress hold it weakly. Internal to LibPeer; not thread-safe.
class ServerState : public std::enable_shared_from_this<ServerState> {
public:
    ServerState(boost::asio::io_context&, Settings const&, Handler);

    Core::Result<void> listen(boost::asio::ip::tcp::endpoint const&);
    void accept();
    boost::asio::ip::tcp::endpoint localEndpoint() const { return m_endpoint; }
    void shutDown(std::function<void()> onDone);
    /// Closes everything without calling a hook.
    void close();
    std::size_t connections() const { return m_connections.size(); }
    std::size_t openStreams() const;

    /// Takes `n` bytes from the budget for incomplete bodies; returns false when there are not as many.
    bool reserve(std::size_t n);
    void release(std::size_t n) { m_bufferedBytes -= n; }
    void handleRequest(Request, std::shared_ptr<ServerStream>);
    void handleClosed(std::shared_ptr<ServerConnection> const&);

private:
    void acceptWaiting();
    void serve(boost::asio::ip::tcp::socket);
    void finishIfDone();

    boost::asio::io_context& m_context;
    Settings m_settings;
    std::shared_ptr<Handler const> m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    boost::asio::steady_timer m_acceptTimer;
    std::set<std::shared_ptr<ServerConnection>> m_connections;
    std::size_t m_bufferedBytes { 0 };
    bool m_isShuttingDown { false };
    std::function<void()> m_onDone;
};

}
