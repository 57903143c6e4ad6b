#pragma once

#include <LibPeer/Client.h>
#include <LibPeer/ClientConnection.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <vector>

namespace Peer {

/// What a `Client` is made of; operations in progress hold it weakly. Internal to LibPeer; not thread-safe.
class ClientState : public std::enable_shared_from_this<ClientState> {
public:
    ClientState(boost::asio::io_context&, boost::asio::ip::tcp::endpoint, Settings const&);

    void open(std::shared_ptr<ClientStream> const&);
    /// Sends waiting streams on the current connection, or connects, or probes; soon.
    void dispatchLater();
    void handleClosed(ClientConnection&, CloseReason);
    void handleFinished(Core::Result<void> const&);
    /// Counts the stream out and releases its hooks from the event loop, since one of them may be running.
    void handleCanceled(std::shared_ptr<ClientStream> const&);
    /// Closes everything without calling a hook.
    void shutDown();

    ClientCounters const& counters() const { return m_counters; }
    boost::asio::ip::tcp::endpoint const& endpoint() const { return m_endpoint; }
    Settings const& settings() const { return m_settings; }
    std::size_t openStreams() const { return m_openStreams; }

private:
    void dispatch();
    void connect();
    void handleConnected(boost::asio::ip::tcp::socket&, boost::system::error_code);
    void failWaiting(Core::Error const&);
    void failLater(std::shared_ptr<ClientStream> const&, Core::Error);
    void submitWaiting(ClientConnection&);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::endpoint m_endpoint;
    Settings m_settings;
    boost::asio::steady_timer m_connectTimer;
    ClientCounters m_counters;
    std::deque<std::shared_ptr<ClientStream>> m_waiting;
    std::vector<std::shared_ptr<ClientConnection>> m_connections; ///< The last one takes new streams.
    std::size_t m_openStreams { 0 };
    bool m_isConnecting { false };
    bool m_isShutDown { false };
};

}
