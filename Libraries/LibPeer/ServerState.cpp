#include <LibPeer/ServerState.h>
#include <boost/asio/post.hpp>

namespace Peer {

namespace {

/// How long to wait after a failed accept, as when file descriptors have run out.
constexpr std::chrono::milliseconds acceptPause { 50 };
/// In one turn of the event loop, in which open connections are served too.
constexpr std::size_t mostAcceptedAtOnce = 64;

}

ServerState::ServerState(boost::asio::io_context& context, Settings const& settings, Handler handler)
    : m_context(context)
    , m_settings(settings)
    , m_handler(std::make_shared<Handler const>(std::move(handler)))
    , m_acceptor(context)
    , m_acceptTimer(context)
{
}

Core::Result<void> ServerState::listen(boost::asio::ip::tcp::endpoint const& endpoint)
{
    boost::system::error_code ec;
    m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (!ec)
        m_acceptor.non_blocking(true, ec);
    // Otherwise an accept that does not block waits all the same, behind a connection that was given up.
    if (!ec)
        m_acceptor.set_option(boost::asio::socket_base::enable_connection_aborted(true), ec);
    if (ec)
        return Core::fail(Core::ErrorCode::Unavailable, "Listening for other daemons failed: " + ec.message());
    m_endpoint = m_acceptor.local_endpoint(ec);
    accept();
    return Core::ok();
}

void ServerState::accept()
{
    m_acceptor.async_accept([weak = weak_from_this()](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
        std::shared_ptr<ServerState> const self = weak.lock();
        if (!self || self->m_isShuttingDown)
            return;
        if (!ec) {
            self->serve(std::move(socket));
            self->acceptWaiting();
            self->accept();
            return;
        }
        if (ec == boost::asio::error::connection_aborted) {
            self->accept();
            return;
        }
        self->m_acceptTimer.expires_after(acceptPause);
        self->m_acceptTimer.async_wait([weak](boost::system::error_code timerError) {
            std::shared_ptr<ServerState> const later = weak.lock();
            if (!timerError && later && !later->m_isShuttingDown)
                later->accept();
        });
    });
}

void ServerState::serve(boost::asio::ip::tcp::socket socket)
{
    m_connections.insert(ServerConnection::create(std::move(socket), m_settings, weak_from_this()));
}

void ServerState::acceptWaiting()
{
    for (std::size_t n = 1; n < mostAcceptedAtOnce; ++n) {
        boost::system::error_code ec;
        boost::asio::ip::tcp::socket socket = m_acceptor.accept(ec);
        if (ec == boost::asio::error::connection_aborted)
            continue;
        if (ec)
            return;
        serve(std::move(socket));
    }
}

void ServerState::shutDown(std::function<void()> onDone)
{
    m_isShuttingDown = true;
    m_onDone = std::move(onDone);
    boost::system::error_code ec;
    m_acceptor.close(ec);
    m_acceptTimer.cancel();
    for (std::shared_ptr<ServerConnection> const& connection : m_connections)
        connection->session().shutDown();
    finishIfDone();
}

void ServerState::finishIfDone()
{
    if (!m_isShuttingDown || !m_connections.empty() || !m_onDone)
        return;
    boost::asio::post(m_context, std::move(m_onDone));
    m_onDone = nullptr;
}

void ServerState::close()
{
    m_isShuttingDown = true;
    m_onDone = nullptr;
    boost::system::error_code ec;
    m_acceptor.close(ec);
    m_acceptTimer.cancel();
    for (std::shared_ptr<ServerConnection> const& connection : m_connections)
        connection->session().close(CloseReason::Finished);
    // This may run inside nghttp2, which still refers to the streams: they go from the event loop.
    boost::asio::post(m_context, [connections = std::move(m_connections)] { });
    m_connections.clear();
}

std::size_t ServerState::openStreams() const
{
    std::size_t n = 0;
    for (std::shared_ptr<ServerConnection> const& connection : m_connections)
        n += connection->session().streamCount();
    return n;
}

bool ServerState::reserve(std::size_t n)
{
    if (m_bufferedBytes + n > m_settings.maxBufferedRequestBytes)
        return false;
    m_bufferedBytes += n;
    return true;
}

void ServerState::handleRequest(Request request, std::shared_ptr<ServerStream> stream)
{
    std::shared_ptr<Handler const> const handler = m_handler; // The handler may destroy the server.
    (*handler)(std::move(request), std::move(stream));
}

void ServerState::handleClosed(std::shared_ptr<ServerConnection> const& connection)
{
    m_connections.erase(connection);
    finishIfDone();
}

}
