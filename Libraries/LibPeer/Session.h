#pragma once

#include <LibCore/EnumNames.h>
#include <LibPeer/Settings.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>
#include <string_view>
#include <vector>

namespace Peer {

/// Which end of a connection this process is.
enum class Side : std::uint8_t { Client,
    Server };

/// Why a connection ended.
enum class CloseReason : std::uint8_t {
    Finished, ///< Closed on purpose: idle, shut down or no longer wanted.
    Lost, ///< The other side closed or reset the connection.
    Silent, ///< A PING was not answered in time.
    BadProtocol, ///< What was read is not HTTP/2.
};

inline constexpr Core::EnumNames<CloseReason, 4> closeReasonNames { {
    { CloseReason::Finished, "finished" },
    { CloseReason::Lost, "lost" },
    { CloseReason::Silent, "silent" },
    { CloseReason::BadProtocol, "bad-protocol" },
} };

/// What a session tells its owner. All are called on the session's thread, none after `onClosed`.
/// They may be called from inside nghttp2, so they may submit frames but not destroy the session.
struct SessionHooks {
    std::function<void(std::int32_t stream)> onBeginHeaders;
    std::function<void(std::int32_t stream, std::string_view name, std::string_view value)> onHeader;
    std::function<void(std::int32_t stream)> onHeadersEnd;
    std::function<void(std::int32_t stream, std::string_view bytes)> onData;
    std::function<void(std::int32_t stream)> onRemoteEnd; ///< The END_STREAM flag arrived.
    std::function<void(std::int32_t stream, std::uint32_t code)> onStreamClosed;
    std::function<void()> onGoingAway; ///< The other side takes no new streams here.
    std::function<void()> onFresh; ///< A PING was answered.
    std::function<void(CloseReason)> onClosed;
};

/// One HTTP/2 connection: socket, nghttp2 session, write queue and heartbeat. Internal to LibPeer.
/// Belongs to the thread of the socket's executor; no method is thread-safe.
class Session : public std::enable_shared_from_this<Session> {
public:
    /// Takes a connected socket. The session stays alive while operations are pending on it.
    static std::shared_ptr<Session> create(boost::asio::ip::tcp::socket, Side, Settings const&, SessionHooks);
    ~Session();
    Session(Session const&) = delete;
    Session& operator=(Session const&) = delete;

    /// Sends the preface and starts to read. Precondition: called once.
    void start();
    /// Returns the nghttp2 session, for submissions; follow them by `scheduleFlush()`.
    nghttp2_session* native() { return m_native; }
    /// Writes what was submitted, soon and in one piece.
    void scheduleFlush();
    /// Sends a PING unless one is under way; `onFresh` or `onClosed(Silent)` follows.
    void probe();
    /// Returns whether a PING was answered so lately that new streams may go here without a probe.
    bool isFresh() const;
    /// Returns whether the other side has ever answered here; its SETTINGS are then known, too.
    bool hasAnswered() const { return m_hasAnswered; }
    bool isOpen() const { return !m_isClosed; }
    boost::asio::any_io_executor executor() { return m_socket.get_executor(); }
    /// Returns whether either side has said that it takes no new streams here.
    bool isGoingAway() const { return m_isGoingAway; }
    /// Counts a stream that the owner submitted; closes are counted by the session.
    void addStream();
    std::size_t streamCount() const { return m_streams; }
    /// Gives back flow control credit for `n` bytes that the reader of `stream` has taken.
    void consume(std::int32_t stream, std::size_t n);
    /// Sends GOAWAY: streams begun go on, later ones are refused, and the connection closes after the last.
    void shutDown();
    /// Closes at once. `onClosed` is called from the event loop, later.
    void close(CloseReason);

private:
    friend struct SessionCallbacks;

    Session(boost::asio::ip::tcp::socket, Side, Settings const&, SessionHooks);
    bool setUp();
    void read();
    void handleRead(std::size_t n);
    void flush();
    void closeIfFinished();
    void linger();
    void armTimer();
    void handleTimer();
    void handlePong();
    void handleStreamClosed(std::int32_t stream, std::uint32_t code);
    bool refuses(std::int32_t stream) const { return m_side == Side::Server && stream > m_lastAcceptedStream; }
    std::chrono::steady_clock::time_point nextDeadline() const;

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    Side m_side;
    Settings m_settings;
    SessionHooks m_hooks;
    nghttp2_session* m_native { nullptr };
    std::vector<std::uint8_t> m_in;
    std::vector<std::uint8_t> m_out;
    std::size_t m_streams { 0 };
    std::int32_t m_lastAcceptedStream { INT32_MAX };
    bool m_isClosed { false };
    bool m_isGoingAway { false };
    bool m_isWriting { false };
    bool m_isReceiving { false };
    bool m_isFlushScheduled { false };
    bool m_isPingPending { false };
    bool m_isLingering { false };
    bool m_hasAnswered { false };
    std::chrono::steady_clock::time_point m_pingSent;
    std::chrono::steady_clock::time_point m_lastPong;
    std::chrono::steady_clock::time_point m_lastUse;
    std::chrono::steady_clock::time_point m_armedFor;
};

}
