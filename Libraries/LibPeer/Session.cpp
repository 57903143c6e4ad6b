#include <LibPeer/Session.h>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <span>

namespace Peer {

namespace {

constexpr std::size_t readBufferBytes = 16 << 10;
constexpr std::size_t writeBatchBytes = 64 << 10;
constexpr std::uint64_t resetBurst = 100'000;
constexpr std::uint64_t resetsPerSecond = 20'000;

std::string_view asText(std::uint8_t const* data, std::size_t size)
{
    return { reinterpret_cast<char const*>(data), size };
}

}

/// The functions that nghttp2 calls, forwarded to the session's hooks.
struct SessionCallbacks {
    static Session& sessionOf(void* user) { return *static_cast<Session*>(user); }

    static int onBeginHeaders(nghttp2_session* native, nghttp2_frame const* frame, void* user)
    {
        Session& session = sessionOf(user);
        if (frame->hd.type != NGHTTP2_HEADERS || session.m_isClosed)
            return 0;
        if (session.m_side == Side::Server && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            session.addStream();
            if (session.refuses(frame->hd.stream_id)) {
                nghttp2_submit_rst_stream(native, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
                return 0;
            }
        }
        if (session.m_hooks.onBeginHeaders)
            session.m_hooks.onBeginHeaders(frame->hd.stream_id);
        return 0;
    }

    static int onHeader(nghttp2_session*, nghttp2_frame const* frame, std::uint8_t const* name, std::size_t nameSize,
        std::uint8_t const* value, std::size_t valueSize, std::uint8_t, void* user)
    {
        Session& session = sessionOf(user);
        if (!session.m_isClosed && session.m_hooks.onHeader)
            session.m_hooks.onHeader(frame->hd.stream_id, asText(name, nameSize), asText(value, valueSize));
        return 0;
    }

    static int onDataChunk(nghttp2_session* native, std::uint8_t, std::int32_t stream, std::uint8_t const* data, std::size_t size, void* user)
    {
        Session& session = sessionOf(user);
        // The connection's window is given back at once, so that one slow reader never blocks the others.
        nghttp2_session_consume_connection(native, size);
        if (!session.m_isClosed && session.m_hooks.onData)
            session.m_hooks.onData(stream, asText(data, size));
        return 0;
    }

    static int onFrame(nghttp2_session*, nghttp2_frame const* frame, void* user)
    {
        Session& session = sessionOf(user);
        if (session.m_isClosed)
            return 0;
        std::uint8_t const type = frame->hd.type;
        std::int32_t const stream = frame->hd.stream_id;
        if (type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0)
            session.handlePong();
        if (type == NGHTTP2_GOAWAY) {
            session.m_isGoingAway = true;
            if (session.m_hooks.onGoingAway)
                session.m_hooks.onGoingAway();
        }
        if (type == NGHTTP2_HEADERS && session.m_hooks.onHeadersEnd)
            session.m_hooks.onHeadersEnd(stream);
        bool const carriesEnd = type == NGHTTP2_HEADERS || type == NGHTTP2_DATA;
        if (carriesEnd && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 && session.m_hooks.onRemoteEnd)
            session.m_hooks.onRemoteEnd(stream);
        return 0;
    }

    static int onStreamClose(nghttp2_session*, std::int32_t stream, std::uint32_t code, void* user)
    {
        sessionOf(user).handleStreamClosed(stream, code);
        return 0;
    }
};

std::shared_ptr<Session> Session::create(boost::asio::ip::tcp::socket socket, Side side, Settings const& settings, SessionHooks hooks)
{
    std::shared_ptr<Session> session(new Session(std::move(socket), side, settings, std::move(hooks)));
    if (!session->setUp())
        session->close(CloseReason::BadProtocol);
    return session;
}

Session::Session(boost::asio::ip::tcp::socket socket, Side side, Settings const& settings, SessionHooks hooks)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_side(side)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_in(readBufferBytes)
    , m_lastPong(std::chrono::steady_clock::now())
    , m_lastUse(m_lastPong)
{
}

Session::~Session()
{
    nghttp2_session_del(m_native);
}

bool Session::setUp()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_option* option = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0 || nghttp2_option_new(&option) != 0) {
        nghttp2_session_callbacks_del(callbacks);
        return false;
    }
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, SessionCallbacks::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, SessionCallbacks::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, SessionCallbacks::onDataChunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, SessionCallbacks::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, SessionCallbacks::onStreamClose);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_option_set_no_closed_streams(option, 1);
    // Cancels are ordinary between daemons that trust each other: no limit that an honest one would reach.
    nghttp2_option_set_stream_reset_rate_limit(option, resetBurst, resetsPerSecond);
    int const rc = m_side == Side::Client ? nghttp2_session_client_new2(&m_native, callbacks, this, option)
                                          : nghttp2_session_server_new2(&m_native, callbacks, this, option);
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);
    if (rc != 0)
        return false;
    std::array<nghttp2_settings_entry, 3> const entries { {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_settings.maxStreamsPerConnection },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, m_settings.streamWindowBytes },
        { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
    } };
    // ENABLE_PUSH is a client's setting only (RFC 9113, 6.5.2).
    std::size_t const count = m_side == Side::Client ? entries.size() : entries.size() - 1;
    return nghttp2_submit_settings(m_native, NGHTTP2_FLAG_NONE, entries.data(), count) == 0
        && nghttp2_session_set_local_window_size(m_native, NGHTTP2_FLAG_NONE, 0, static_cast<std::int32_t>(m_settings.connectionWindowBytes)) == 0;
}

void Session::start()
{
    if (m_isClosed)
        return;
    boost::system::error_code ec;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    read();
    flush();
    armTimer();
}

void Session::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_in), [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
        if (self->m_isClosed)
            return;
        if (ec) {
            self->close(self->m_isLingering ? CloseReason::Finished : CloseReason::Lost);
            return;
        }
        self->handleRead(n);
    });
}

void Session::handleRead(std::size_t n)
{
    m_isReceiving = true;
    ssize_t const taken = nghttp2_session_mem_recv(m_native, m_in.data(), n);
    m_isReceiving = false;
    if (taken < 0) {
        close(CloseReason::BadProtocol);
        return;
    }
    flush();
    if (!m_isClosed)
        read();
}

void Session::scheduleFlush()
{
    if (m_isFlushScheduled || m_isReceiving || m_isWriting || m_isClosed)
        return; // The end of the reception or of the write flushes.
    m_isFlushScheduled = true;
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_isFlushScheduled = false;
        self->flush();
    });
}

void Session::flush()
{
    if (m_isWriting || m_isClosed)
        return;
    m_out.clear();
    while (m_out.size() < writeBatchBytes) {
        std::uint8_t const* data = nullptr;
        ssize_t const n = nghttp2_session_mem_send(m_native, &data);
        if (n < 0) {
            close(CloseReason::BadProtocol);
            return;
        }
        if (n == 0)
            break;
        std::span<std::uint8_t const> const frame(data, static_cast<std::size_t>(n));
        m_out.insert(m_out.end(), frame.begin(), frame.end());
    }
    if (m_out.empty()) {
        closeIfFinished();
        return;
    }
    m_isWriting = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_out), [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        self->m_isWriting = false;
        if (ec)
            self->close(CloseReason::Lost);
        self->flush();
    });
}

void Session::closeIfFinished()
{
    bool const isDone = m_isGoingAway && m_streams == 0;
    if (isDone || (nghttp2_session_want_read(m_native) == 0 && nghttp2_session_want_write(m_native) == 0))
        linger();
}

// A server that closed while the client's last window updates are under way would have the kernel reset the
// connection, and the client could lose the end of an answer. So it ends its own direction and waits.
void Session::linger()
{
    if (m_side == Side::Client) {
        close(CloseReason::Finished);
        return;
    }
    if (m_isLingering)
        return;
    m_isLingering = true;
    m_lastUse = std::chrono::steady_clock::now();
    boost::system::error_code ec;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    armTimer();
}

void Session::addStream()
{
    ++m_streams;
    m_lastUse = std::chrono::steady_clock::now();
    if (m_streams == 1)
        armTimer();
}

void Session::handleStreamClosed(std::int32_t stream, std::uint32_t code)
{
    if (m_streams > 0)
        --m_streams;
    m_lastUse = std::chrono::steady_clock::now();
    if (!m_isClosed && m_hooks.onStreamClosed)
        m_hooks.onStreamClosed(stream, code);
}

void Session::consume(std::int32_t stream, std::size_t n)
{
    if (m_isClosed)
        return;
    nghttp2_session_consume_stream(m_native, stream, n);
    scheduleFlush();
}

void Session::shutDown()
{
    if (m_isClosed || m_isGoingAway)
        return;
    m_isGoingAway = true;
    // Streams that arrive before the GOAWAY frame leaves are refused as well: the other side will take the
    // number in that frame as proof that they did not run.
    if (m_side == Side::Server)
        m_lastAcceptedStream = nghttp2_session_get_last_proc_stream_id(m_native);
    nghttp2_submit_goaway(m_native, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(m_native), NGHTTP2_NO_ERROR, nullptr, 0);
    scheduleFlush();
}

void Session::close(CloseReason reason)
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_timer.cancel();
    boost::system::error_code ec;
    m_socket.close(ec);
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), reason] {
        SessionHooks const hooks = std::move(self->m_hooks);
        self->m_hooks = {};
        if (hooks.onClosed)
            hooks.onClosed(reason);
    });
}

// The heartbeat: a PING each interval while streams are open, or when a probe asks for one.

bool Session::isFresh() const
{
    std::chrono::steady_clock::duration const age = std::chrono::steady_clock::now() - m_lastPong;
    return m_hasAnswered && age <= m_settings.heartbeatInterval + m_settings.heartbeatTimeout / 2;
}

void Session::probe()
{
    if (m_isPingPending || m_isClosed)
        return;
    m_isPingPending = true;
    m_pingSent = std::chrono::steady_clock::now();
    nghttp2_submit_ping(m_native, NGHTTP2_FLAG_NONE, nullptr);
    scheduleFlush();
    armTimer();
}

void Session::handlePong()
{
    m_isPingPending = false;
    m_hasAnswered = true;
    m_lastPong = std::chrono::steady_clock::now();
    armTimer();
    if (m_hooks.onFresh)
        m_hooks.onFresh();
}

std::chrono::steady_clock::time_point Session::nextDeadline() const
{
    if (m_isLingering)
        return m_lastUse + m_settings.heartbeatTimeout;
    if (m_isPingPending)
        return m_pingSent + m_settings.heartbeatTimeout;
    if (m_streams > 0)
        return m_lastPong + m_settings.heartbeatInterval;
    // The client closes idle connections; the server only drops those whose client was lost without a word.
    return m_lastUse + (m_side == Side::Client ? m_settings.idleTimeout : 2 * m_settings.idleTimeout);
}

void Session::armTimer()
{
    if (m_isClosed)
        return;
    m_armedFor = nextDeadline();
    m_timer.expires_at(m_armedFor);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec && !self->m_isClosed)
            self->handleTimer();
    });
}

void Session::handleTimer()
{
    std::chrono::steady_clock::time_point const now = std::chrono::steady_clock::now();
    if (nextDeadline() > now) {
        armTimer();
        return;
    }
    if (m_isPingPending && !m_isLingering) {
        // A timer that fires this late means that this process was paused: the answer may lie unread.
        if (now - m_armedFor > m_settings.heartbeatInterval) {
            m_pingSent = now;
            armTimer();
            return;
        }
        close(CloseReason::Silent);
        return;
    }
    if (m_streams > 0 && !m_isLingering) {
        probe();
        return;
    }
    close(CloseReason::Finished);
}

}
