#include <LibPeer/ClientState.h>
#include <algorithm>
#include <boost/asio/post.hpp>

namespace Peer {

ClientState::ClientState(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint endpoint, Settings const& settings)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_settings(settings)
    , m_connectTimer(context)
{
}

void ClientState::open(std::shared_ptr<ClientStream> const& stream)
{
    ++m_counters.opened;
    ++m_openStreams;
    stream->m_owner = weak_from_this();
    if (stream->m_body.size() > m_settings.maxRequestBytes) {
        failLater(stream, Core::makeError(Core::ErrorCode::BadInput, "The request body is larger than maxRequestBytes."));
        return;
    }
    if (m_openStreams > m_settings.maxOpenStreams) {
        failLater(stream, Core::makeError(Core::ErrorCode::Overloaded, "Too many streams are open to this daemon."));
        return;
    }
    m_waiting.push_back(stream);
    dispatch();
}

void ClientState::failLater(std::shared_ptr<ClientStream> const& stream, Core::Error error)
{
    boost::asio::post(m_context, [stream, error = std::move(error)] { stream->finish(error); });
}

void ClientState::dispatchLater()
{
    boost::asio::post(m_context, [weak = weak_from_this()] {
        if (std::shared_ptr<ClientState> const self = weak.lock())
            self->dispatch();
    });
}

void ClientState::dispatch()
{
    std::erase_if(m_waiting, [](std::shared_ptr<ClientStream> const& stream) { return stream->isOver(); });
    if (m_waiting.empty() || m_isConnecting || m_isShutDown)
        return;
    if (m_connections.empty() || !m_connections.back()->takesStreams()) {
        connect();
        return;
    }
    std::shared_ptr<ClientConnection> const current = m_connections.back();
    // A new connection may lead to a process that is paused, and one unused for a while may have gone silent.
    // A stream sent there would end as 'may have run', so it waits for one answered PING.
    if (!current->session().isFresh()) {
        current->session().probe();
        return;
    }
    submitWaiting(*current);
}

void ClientState::submitWaiting(ClientConnection& connection)
{
    while (!m_waiting.empty()) {
        if (!connection.submit(m_waiting.front())) {
            connection.session().shutDown();
            connect();
            return;
        }
        m_waiting.pop_front();
    }
}

void ClientState::connect()
{
    m_isConnecting = true;
    std::shared_ptr<boost::asio::ip::tcp::socket> const socket = std::make_shared<boost::asio::ip::tcp::socket>(m_context);
    m_connectTimer.expires_after(m_settings.connectTimeout);
    m_connectTimer.async_wait([socket](boost::system::error_code ec) {
        boost::system::error_code ignored;
        if (!ec)
            socket->close(ignored);
    });
    socket->async_connect(m_endpoint, [weak = weak_from_this(), socket](boost::system::error_code ec) {
        if (std::shared_ptr<ClientState> const self = weak.lock())
            self->handleConnected(*socket, ec);
    });
}

void ClientState::handleConnected(boost::asio::ip::tcp::socket& socket, boost::system::error_code ec)
{
    m_isConnecting = false;
    m_connectTimer.cancel();
    if (m_isShutDown)
        return;
    if (!ec && socket.is_open()) {
        ++m_counters.connects;
        m_connections.push_back(ClientConnection::create(std::move(socket), m_settings, weak_from_this()));
        dispatch();
        return;
    }
    bool const isTimeout = !socket.is_open();
    Core::Error const error = isTimeout ? Core::makeError(Core::ErrorCode::Timeout, "Connecting to the other daemon took too long.")
                                        : Core::makeError(Core::ErrorCode::Unavailable, "Connecting to the other daemon failed: " + ec.message());
    failWaiting(error);
}

void ClientState::failWaiting(Core::Error const& error)
{
    std::deque<std::shared_ptr<ClientStream>> const failed = std::move(m_waiting);
    m_waiting.clear();
    for (std::shared_ptr<ClientStream> const& stream : failed)
        stream->finish(error);
}

void ClientState::handleClosed(ClientConnection& connection, CloseReason reason)
{
    if (reason == CloseReason::Silent)
        ++m_counters.silences;
    // A waiting stream may try a new connection after an old one, but not one new connection after another.
    if (!connection.session().hasAnswered())
        failWaiting(Core::makeError(Core::ErrorCode::Unavailable, "The other daemon does not answer on a new connection."));
    std::erase_if(m_connections, [&connection](std::shared_ptr<ClientConnection> const& it) { return it.get() == &connection; });
    dispatch();
}

void ClientState::handleFinished(Core::Result<void> const& result)
{
    --m_openStreams;
    if (result.has_value())
        return;
    if (result.error().verdict == Core::Verdict::NotRun)
        ++m_counters.notRun;
    else
        ++m_counters.mayHaveRun;
}

void ClientState::handleCanceled(std::shared_ptr<ClientStream> const& stream)
{
    --m_openStreams;
    boost::asio::post(m_context, [stream] { stream->abandon(); });
}

void ClientState::shutDown()
{
    m_isShutDown = true;
    m_connectTimer.cancel();
    for (std::shared_ptr<ClientStream> const& stream : m_waiting)
        boost::asio::post(m_context, [stream] { stream->abandon(); });
    m_waiting.clear();
    for (std::shared_ptr<ClientConnection> const& connection : m_connections)
        connection->session().close(CloseReason::Finished);
    // This may run inside nghttp2, which still refers to the streams: they go from the event loop.
    boost::asio::post(m_context, [connections = std::move(m_connections)] { });
    m_connections.clear();
}

}
