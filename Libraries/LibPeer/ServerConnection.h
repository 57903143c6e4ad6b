#pragma once

#include <LibPeer/Request.h>
#include <LibPeer/ServerStreamState.h>
#include <unordered_map>

namespace Peer {

class ServerState;

/// The streams of one connection at the server. Internal to LibPeer; not thread-safe.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    /// Takes an accepted socket and starts the session.
    static std::shared_ptr<ServerConnection> create(boost::asio::ip::tcp::socket, Settings const&, std::weak_ptr<ServerState> owner);

    Session& session() { return *m_session; }

private:
    /// A request of which the end has not arrived, or whose answer has not ended.
    struct Stream {
        Request request;
        std::shared_ptr<ServerStreamState> answer; ///< Set when the handler has the request.
        bool isRefused { false };
    };

    ServerConnection(Settings const&, std::weak_ptr<ServerState> owner);
    SessionHooks makeHooks();
    void handleHeader(std::int32_t id, std::string_view name, std::string_view value);
    void handleData(std::int32_t id, std::string_view bytes);
    void handleRemoteEnd(std::int32_t id);
    void handleStreamClosed(std::int32_t id);
    void handleClosed();
    void release(Stream&);

    Settings m_settings;
    std::weak_ptr<ServerState> m_owner;
    std::shared_ptr<Session> m_session;
    std::unordered_map<std::int32_t, Stream> m_streams;
};

}
