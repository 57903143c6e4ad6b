#include <LibCore/UncaughtException.h>
#include <LibHttp/Server.h>
#include <LibHttp/ServerConnection.h>
#include <LibHttp/SocketQueue.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/socket.h>
#include <vector>

namespace Http {

namespace {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;
using PortSharing = Asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr std::chrono::milliseconds acceptPause { 50 };
// In each turn of the event loop open connections are served too, and neither kind may keep the other one waiting.
constexpr std::size_t mostAcceptedAtOnce = 64;
constexpr std::size_t mostWaiting = 2 * SOMAXCONN; ///< Connections that are taken over when the server stops.
constexpr std::size_t mostRefused = 256; ///< Connections beyond the limit that are open to be told so.
constexpr std::size_t leastRefused = 2;
constexpr std::size_t refusedDivisor = 8; ///< Of the limit: descriptors are scarce where that is low.

/// Handles of the connections that are open, and of some that have closed.
class Connections {
public:
    void add(std::weak_ptr<ServedConnection> connection)
    {
        m_handles.push_back(std::move(connection));
        if (m_handles.size() < m_sweepAt)
            return;
        std::erase_if(m_handles, [](std::weak_ptr<ServedConnection> const& it) { return it.expired(); });
        m_sweepAt = leastSweep + 2 * m_handles.size();
    }

    void forEach(std::function<void(ServedConnection&)> const& visit) const
    {
        for (std::weak_ptr<ServedConnection> const& it : m_handles) {
            if (std::shared_ptr<ServedConnection> connection = it.lock())
                visit(*connection);
        }
    }

    // Handles are in the order in which their connections were accepted. Returns whether one was closed.
    bool dropOldest() const
    {
        return std::any_of(m_handles.begin(), m_handles.end(), [](std::weak_ptr<ServedConnection> const& it) {
            std::shared_ptr<ServedConnection> connection = it.lock();
            return connection && connection->drop();
        });
    }

private:
    static constexpr std::size_t leastSweep = 64;

    std::vector<std::weak_ptr<ServedConnection>> m_handles;
    std::size_t m_sweepAt { leastSweep };
};

class ListeningServer final : public Server {
public:
    ListeningServer(Tcp::acceptor acceptor, std::shared_ptr<ServerShared> shared)
        : m_acceptor(std::make_shared<Tcp::acceptor>(std::move(acceptor)))
        , m_shared(std::move(shared))
        , m_connections(std::make_shared<Connections>())
    {
    }

    ~ListeningServer() override
    {
        m_shared->isDraining = true;
        m_shared->isStopped = true;
        boost::system::error_code ec;
        m_acceptor->close(ec);
        m_connections->forEach([](ServedConnection& it) { it.closeUnlessServing(); });
    }

    void onConnectionEnd(ConnectionEndHook hook) override { m_shared->onConnectionEnd = std::move(hook); }

    void onAccepted(AcceptHook hook) override { m_shared->onAccepted = std::move(hook); }

    void limitMemory(std::shared_ptr<Core::MemoryBudget> budget, MemoryRefusalHook hook) override
    {
        m_shared->memory = std::move(budget);
        m_shared->onMemoryRefused = std::move(hook);
    }

    void start() override
    {
        Asio::co_spawn(m_acceptor->get_executor(), accept(m_acceptor, m_shared, m_connections), Core::logUncaughtException);
    }

    void setLimits(ServerSettings const& settings) override
    {
        ServerSettings kept = m_shared->settings;
        m_shared->settings = settings;
        m_shared->settings.connectionLimit = kept.connectionLimit;
        m_shared->settings.whenFull = kept.whenFull;
        m_shared->settings.receiveBuffer = kept.receiveBuffer;
        m_shared->settings.isPortShared = kept.isPortShared;
    }

    std::uint16_t port() const override { return m_port; }
    void setPort(std::uint16_t port) { m_port = port; }
    void beginDraining() override { m_shared->isDraining = true; }
    std::size_t activeRequests() const override { return m_shared->activeRequests; }
    std::size_t openConnections() const override { return m_shared->connections + m_shared->refusedConnections; }
    std::size_t waitingConnections() const override { return m_acceptor->is_open() ? acceptQueueLength(*m_acceptor) : 0; }

    void stop() override
    {
        if (m_shared->isStopped)
            return;
        m_shared->isDraining = true;
        m_shared->isStopped = true;
        // To their callers, connections that wait to be accepted are open, and may hold requests.
        acceptWaiting(*m_acceptor, m_shared, *m_connections, mostWaiting);
        boost::system::error_code ec;
        m_acceptor->close(ec);
        m_connections->forEach([](ServedConnection& it) { it.endWhenIdle(); });
    }

private:
    // Accepts what waits, `most` connections at the most. Returns how many these were.
    static std::size_t acceptWaiting(Tcp::acceptor& acceptor, std::shared_ptr<ServerShared> const& shared, Connections& connections, std::size_t most)
    {
        std::size_t n = 0;
        for (; n < most; ++n) {
            boost::system::error_code ec;
            Tcp::socket socket = acceptor.accept(ec);
            if (ec == Asio::error::connection_aborted)
                continue;
            if (ec)
                break;
            serve(std::move(socket), shared, connections);
        }
        return n;
    }

    static void serve(Tcp::socket socket, std::shared_ptr<ServerShared> const& shared, Connections& connections)
    {
        bool hasRoom = shared->connections < shared->settings.connectionLimit;
        if (!hasRoom && shared->settings.whenFull == WhenFull::DropOldest)
            hasRoom = connections.dropOldest();
        Admission admission = hasRoom ? Admission::Served : Admission::Refused;
        if (admission == Admission::Refused && shared->refusedConnections >= std::clamp(shared->settings.connectionLimit / refusedDivisor, leastRefused, mostRefused)) {
            if (shared->onConnectionEnd)
                shared->onConnectionEnd({ ConnectionEndReason::ConnectionLimit, 0, 0, unreadBytes(socket), 0 });
            return;
        }
        boost::system::error_code ec; // It only costs delays.
        socket.set_option(Tcp::no_delay(true), ec);
        connections.add(serveConnection(shared, std::move(socket), admission));
    }

    static void noteAccepted(ServerShared& shared, AcceptedConnections const& accepted)
    {
        if (shared.onAccepted)
            shared.onAccepted(accepted);
    }

    static std::optional<std::chrono::milliseconds> waitOf(Tcp::socket& socket)
    {
        std::optional<TransmitState> state = kernelTimes() != KernelTimes::Missing ? transmitStateOf(socket) : std::nullopt;
        return state ? std::optional(state->sinceReceived) : std::nullopt;
    }

    static Asio::awaitable<void> accept(std::shared_ptr<Tcp::acceptor> acceptor, std::shared_ptr<ServerShared> shared, std::shared_ptr<Connections> connections)
    {
        while (!shared->isStopped) {
            boost::system::error_code ec;
            Tcp::socket socket = co_await acceptor->async_accept(Asio::redirect_error(Asio::use_awaitable, ec));
            // A connection that was accepted before the server stopped is served, although this comes later.
            if (!ec) {
                std::optional<std::chrono::milliseconds> wait = waitOf(socket);
                serve(std::move(socket), shared, *connections);
                std::size_t others = shared->isStopped ? 0 : acceptWaiting(*acceptor, shared, *connections, mostAcceptedAtOnce - 1);
                noteAccepted(*shared, { 1 + others, wait });
                continue;
            }
            if (shared->isStopped)
                co_return;
            if (ec == Asio::error::connection_aborted)
                continue;
            // Out of descriptors, most likely: accepting at once again would only spin.
            Asio::steady_timer timer(acceptor->get_executor(), acceptPause);
            co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
        }
    }

    std::shared_ptr<Tcp::acceptor> m_acceptor;
    std::shared_ptr<ServerShared> m_shared;
    std::shared_ptr<Connections> m_connections;
    std::uint16_t m_port { 0 };
};

}

Core::Result<std::unique_ptr<Server>> Server::create(Asio::io_context& context, Tcp::endpoint const& endpoint, ServerSettings const& settings, Handler handler, RejectionHandler rejection)
{
    boost::system::error_code ec;
    Tcp::acceptor acceptor(context);
    acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
    if (!ec && settings.isPortShared)
        acceptor.set_option(PortSharing(true), ec);
    // Accepted sockets inherit it. It has to be set before the connection is made: the window is scaled by it.
    if (!ec && settings.receiveBuffer > 0)
        acceptor.set_option(Asio::socket_base::receive_buffer_size(static_cast<int>(settings.receiveBuffer)), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(Asio::socket_base::max_listen_connections, ec);
    if (!ec)
        acceptor.non_blocking(true, ec);
    // Otherwise an accept that does not block waits all the same, behind a connection that was given up.
    if (!ec)
        acceptor.set_option(Asio::socket_base::enable_connection_aborted(true), ec);
    if (ec)
        return Core::fail(Core::ErrorCode::Unavailable, "cannot listen on " + endpoint.address().to_string() + ":" + std::to_string(endpoint.port()) + ": " + ec.message());

    std::uint16_t port = acceptor.local_endpoint().port();
    std::shared_ptr<ServerShared> shared = std::make_shared<ServerShared>();
    shared->settings = settings;
    shared->handler = std::move(handler);
    shared->rejection = std::move(rejection);
    std::unique_ptr<ListeningServer> server = std::make_unique<ListeningServer>(std::move(acceptor), std::move(shared));
    server->setPort(port);
    return std::unique_ptr<Server>(std::move(server));
}

}
