#include <LibHttp/Client.h>
#include <LibHttp/Exchange.h>
#include <LibHttp/HostProbes.h>
#include <LibHttp/SocketQueue.h>
#include <LibHttp/StreamConnect.h>
#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <map>
#include <sys/socket.h>
#include <vector>

namespace Http {

namespace {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;
using Connections = std::vector<std::shared_ptr<ClientConnection>>;

// Servers close idle connections after a time that is not known of one that was never used; all that were seen wait longer.
constexpr std::chrono::milliseconds unusedKeepTime { 500 };
// Within this a process that has begun to close its sockets has closed them all, and the network has told.
constexpr std::chrono::milliseconds endingTime { 50 };
constexpr int mostReachTries = 3;

// Idle connections by endpoint. Exchanges hold it weakly, so that they may outlive the client.
struct Pool {
    std::map<Tcp::endpoint, Connections> idle;
};

// A server that has closed a kept connection shows as readable: nothing may be waiting there.
bool isQuiet(ClientConnection& connection)
{
    char byte = 0;
    ssize_t n = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// A host that leaves probes unanswered may be silent.
bool answersProbes(ClientConnection& connection)
{
    std::optional<TransmitState> state = kernelTimes() == KernelTimes::Told ? transmitStateOf(connection.stream.socket()) : std::nullopt;
    return !state || state->unansweredProbes == 0;
}

bool hasCarried(ClientConnection const& connection, std::size_t id)
{
    return std::find(connection.carriedIds.begin(), connection.carriedIds.end(), id) != connection.carriedIds.end();
}

class PoolingClient final : public Client {
public:
    PoolingClient(Asio::io_context& context, ClientSettings const& settings)
        : m_context(context)
        , m_settings(settings)
        , m_pool(std::make_shared<Pool>())
        , m_hosts(HostProbes::create(context.get_executor(), settings.localAddress, settings.connectTimeout))
    {
    }

    Asio::awaitable<Core::Result<std::unique_ptr<Exchange>>> connect(Tcp::endpoint endpoint, ConnectionChoice choice, std::shared_ptr<CancelSlot> slot, std::string requestId) override
    {
        using Opened = Core::Result<std::unique_ptr<Exchange>>;
        std::optional<std::size_t> id = requestId.empty() ? std::nullopt : std::optional<std::size_t>(std::hash<std::string>()(requestId));
        std::shared_ptr<ClientConnection> connection = choice == ConnectionChoice::Kept ? takeKept(endpoint, id) : nullptr;
        if (!connection) {
            Core::Result<std::shared_ptr<ClientConnection>> opened = co_await connectAnew(endpoint, slot);
            if (opened.has_error())
                co_return Opened(opened.error());
            connection = std::move(opened.value());
        }
        if (id)
            connection->carriedIds.push_back(*id);
        if (slot && slot->isCanceled)
            co_return Opened(Core::makeError(Core::ErrorCode::Canceled, "canceled before the request was sent"));
        co_return Opened(std::make_unique<ConnectionExchange>(std::move(connection), m_settings, returnTo(endpoint)));
    }

    Asio::awaitable<Reach> reach(Tcp::endpoint endpoint) override
    {
        // A process that ends closes its sockets one by one: one that listens a moment longer still takes connections.
        for (int tries = 0; tries < mostReachTries; ++tries) {
            boost::system::error_code ec;
            std::shared_ptr<ClientConnection> connection = co_await connectSocket(endpoint, nullptr, ec);
            if (ec)
                co_return ec == Asio::error::connection_refused ? Reach::Refused : Reach::Unknown;
            Asio::steady_timer timer(m_context, endingTime);
            co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
            if (!isQuiet(*connection))
                continue;
            connection->keepUntil = Core::BootClock::now() + unusedKeepTime;
            returnTo(endpoint)(std::move(connection));
            co_return Reach::Reached;
        }
        co_return Reach::Unknown;
    }

    Asio::awaitable<Core::Result<std::unique_ptr<Exchange>>> open(Tcp::endpoint endpoint, Request request, ConnectionChoice choice, std::shared_ptr<CancelSlot> slot) override
    {
        Core::Result<std::unique_ptr<Exchange>> connected = co_await connect(endpoint, choice, slot, std::string());
        if (connected.has_error())
            co_return connected;
        Exchange* exchange = connected.value().get();
        if (slot)
            slot->cancel = [exchange] { exchange->cancel(); };
        Core::Result<void> started = co_await exchange->start(request);
        if (slot)
            slot->cancel = nullptr;
        if (started.has_error())
            co_return Core::Result<std::unique_ptr<Exchange>>(started.error());
        co_return connected;
    }

    Asio::awaitable<Core::Result<Response>> fetch(Tcp::endpoint endpoint, Request request, std::size_t bodyLimit) override
    {
        Core::Result<std::unique_ptr<Exchange>> opened = co_await open(endpoint, std::move(request), ConnectionChoice::Kept, nullptr);
        if (opened.has_error())
            co_return Core::Result<Response>(opened.error());
        co_return co_await readWhole(*opened.value(), bodyLimit);
    }

private:
    // Takes the one that was used last of those that have not carried the id.
    std::shared_ptr<ClientConnection> takeKept(Tcp::endpoint const& endpoint, std::optional<std::size_t> id)
    {
        Connections& kept = m_pool->idle[endpoint];
        Core::BootClock::time_point now = Core::BootClock::now();
        for (std::size_t n = kept.size(); n > 0; --n) {
            if (id && hasCarried(*kept[n - 1], *id))
                continue;
            std::shared_ptr<ClientConnection> connection = std::move(kept[n - 1]);
            kept.erase(kept.begin() + static_cast<Connections::difference_type>(n - 1));
            if (now < connection->keepUntil && isQuiet(*connection) && answersProbes(*connection))
                return connection;
        }
        return nullptr;
    }

    ConnectionReturn returnTo(Tcp::endpoint const& endpoint)
    {
        return [pool = std::weak_ptr<Pool>(m_pool), endpoint, limit = m_settings.keptPerEndpoint, idLimit = m_settings.idsPerConnection](std::shared_ptr<ClientConnection> connection) {
            std::shared_ptr<Pool> alive = pool.lock();
            if (!alive || connection->carriedIds.size() >= idLimit)
                return;
            Connections& kept = alive->idle[endpoint];
            if (kept.size() >= limit)
                kept.erase(kept.begin());
            kept.push_back(std::move(connection));
        };
    }

    Asio::awaitable<Core::Result<std::shared_ptr<ClientConnection>>> connectAnew(Tcp::endpoint endpoint, std::shared_ptr<CancelSlot> slot)
    {
        boost::system::error_code ec;
        std::shared_ptr<ClientConnection> connection = co_await connectSocket(endpoint, slot, ec);
        if (ec) {
            bool isTimeout = ec == boost::beast::error::timeout;
            Core::ErrorCode code = isTimeout ? Core::ErrorCode::Timeout : Core::ErrorCode::Unavailable;
            co_return Core::Result<std::shared_ptr<ClientConnection>>(Core::makeError(code, "cannot connect to " + Http::toString(endpoint) + ": " + ec.message()));
        }
        co_return std::move(connection);
    }

    Asio::awaitable<std::shared_ptr<ClientConnection>> connectSocket(Tcp::endpoint endpoint, std::shared_ptr<CancelSlot> slot, boost::system::error_code& ec)
    {
        std::shared_ptr<ClientConnection> connection = std::make_shared<ClientConnection>(m_context.get_executor());
        if (slot)
            slot->cancel = [raw = connection.get()] { raw->stream.cancel(); };
        ec = co_await connectStream(connection->stream, endpoint, m_settings.localAddress, m_settings.connectTimeout);
        if (slot)
            slot->cancel = nullptr;
        if (ec)
            co_return std::move(connection);
        boost::system::error_code ignored; // It only costs delays.
        connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
        connection->silenceWatch = watchLiveness(connection->stream.socket(), m_settings.liveness, silenceHooks(*connection, endpoint));
        co_return std::move(connection);
    }

    SilenceHooks silenceHooks(ClientConnection& connection, Tcp::endpoint const& endpoint) const
    {
        SilenceHooks hooks;
        hooks.onSilent = [&connection](Silence silence) {
            connection.silence = silence;
            closeOrAbort(connection.stream.socket());
        };
        hooks.askHost = [hosts = m_hosts, endpoint] { return hosts->ask(endpoint); };
        return hooks;
    }

    Asio::io_context& m_context;
    ClientSettings m_settings;
    std::shared_ptr<Pool> m_pool;
    std::shared_ptr<HostProbes> m_hosts;
};

}

std::unique_ptr<Client> Client::create(Asio::io_context& context, ClientSettings const& settings)
{
    return std::make_unique<PoolingClient>(context, settings);
}

Asio::awaitable<Core::Result<Response>> readWhole(Exchange& exchange, std::size_t bodyLimit)
{
    Response response { exchange.head().status, exchange.head().fields, {} };
    while (true) {
        Core::Result<std::optional<std::string>> piece = co_await exchange.read();
        if (piece.has_error())
            co_return Core::Result<Response>(piece.error());
        if (!piece.value())
            co_return response;
        response.body += *piece.value();
        if (response.body.size() > bodyLimit)
            co_return Core::Result<Response>(Core::makeUncertainError(Core::ErrorCode::BadInput, "the response is larger than " + std::to_string(bodyLimit) + " bytes"));
    }
}

Core::Result<Tcp::endpoint> parseEndpoint(std::string_view text)
{
    std::size_t colon = text.rfind(':');
    std::string_view host = text.substr(0, colon);
    std::string_view digits = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    Asio::ip::address address = Asio::ip::make_address(std::string(host), ec);
    std::uint16_t port = 0;
    std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec || digits.empty() || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return Core::fail(Core::ErrorCode::BadInput, "read \"" + std::string(text) + "\"; allowed is an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080");
    return Tcp::endpoint(address, port);
}

std::string toString(Tcp::endpoint const& endpoint)
{
    std::string host = endpoint.address().to_string();
    return (endpoint.address().is_v6() ? "[" + host + "]" : host) + ":" + std::to_string(endpoint.port());
}

}
