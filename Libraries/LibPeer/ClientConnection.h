#pragma once

#include <LibPeer/ClientStream.h>
#include <LibPeer/Session.h>
#include <unordered_map>

namespace Peer {

/// The streams of a client on one connection. Internal to LibPeer; not thread-safe.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    /// Takes a connected socket and starts the session. `owner` is told of what concerns all streams.
    static std::shared_ptr<ClientConnection> create(boost::asio::ip::tcp::socket, Settings const&, std::weak_ptr<ClientState> owner);

    /// Sends the stream's request. Returns false when this connection has no stream numbers left.
    bool submit(std::shared_ptr<ClientStream> const&);
    /// Returns whether new streams may be submitted here.
    bool takesStreams() const { return m_session->isOpen() && !m_session->isGoingAway(); }
    Session& session() { return *m_session; }

private:
    ClientConnection(Settings const&, std::weak_ptr<ClientState> owner);
    SessionHooks makeHooks();
    std::shared_ptr<ClientStream> find(std::int32_t id) const;
    void handleHeader(std::int32_t id, std::string_view name, std::string_view value);
    void handleHeadersEnd(std::int32_t id);
    void handleStreamClosed(std::int32_t id, std::uint32_t code);
    void handleClosed(CloseReason);

    Settings m_settings;
    std::weak_ptr<ClientState> m_owner;
    std::shared_ptr<Session> m_session;
    std::unordered_map<std::int32_t, std::shared_ptr<ClientStream>> m_streams;
};

}
