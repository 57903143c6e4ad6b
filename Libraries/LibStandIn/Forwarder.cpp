#include <LibStandIn/Forwarder.h>

#include <LibJson/Reader.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <tuple>

namespace StandIn {

using boost::asio::ip::tcp;

namespace {

constexpr std::size_t pieceBytes = 16384;
constexpr int narrowBufferBytes = 8192; // Less than a piece, so that next to nothing waits here.
constexpr int wideBufferBytes = 131072; // What Linux gives a socket at first.
constexpr std::chrono::hours longestWait { 1 };
constexpr auto resultTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

Core::Result<tcp::acceptor> bindTo(boost::asio::io_context& context, tcp::endpoint const& endpoint)
{
    tcp::acceptor acceptor(context);
    boost::system::error_code ec;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec)
        return Core::fail(Core::ErrorCode::Unavailable, "The forwarder's address cannot be bound: " + ec.message() + ".");
    return acceptor;
}

void close(tcp::socket& socket)
{
    boost::system::error_code ec;
    socket.close(ec);
}

}

Core::Result<std::shared_ptr<Forwarder>> Forwarder::create(boost::asio::io_context& context, tcp::endpoint const& from, tcp::endpoint to)
{
    BOOST_OUTCOME_TRY(tcp::acceptor acceptor, bindTo(context, from));
    std::shared_ptr<Forwarder> forwarder(new Forwarder(context, std::move(acceptor), std::move(to)));
    boost::asio::co_spawn(context, accept(forwarder), boost::asio::detached);
    return forwarder;
}

Forwarder::Forwarder(boost::asio::io_context& context, tcp::acceptor acceptor, tcp::endpoint to)
    : m_context(context)
    , m_acceptor(std::move(acceptor))
    , m_to(std::move(to))
{
}

boost::asio::awaitable<void> Forwarder::accept(std::shared_ptr<Forwarder> self)
{
    while (true) {
        auto [ec, socket] = co_await self->m_acceptor.async_accept(resultTuple);
        if (ec)
            co_return;
        std::shared_ptr<Pair> pair = std::make_shared<Pair>(Pair { std::move(socket), tcp::socket(self->m_context) });
        self->limitBuffers(pair->client);
        self->m_pairs.push_back(pair);
        std::ignore = self->connections();
        boost::asio::co_spawn(self->m_context, connect(self, pair), boost::asio::detached);
    }
}

boost::asio::awaitable<void> Forwarder::connect(std::shared_ptr<Forwarder> self, std::shared_ptr<Pair> pair)
{
    while (self->m_forward.isPaused)
        co_await self->m_changed.wait(Signal::Time::clock::now() + longestWait);
    auto [ec] = co_await pair->server.async_connect(self->m_to, resultTuple);
    if (ec) {
        close(pair->client);
        co_return;
    }
    self->limitBuffers(pair->server);
    boost::asio::co_spawn(self->m_context, copy(self, pair, true), boost::asio::detached);
    boost::asio::co_spawn(self->m_context, copy(self, pair, false), boost::asio::detached);
}

boost::asio::awaitable<void> Forwarder::copy(std::shared_ptr<Forwarder> self, std::shared_ptr<Pair> pair, bool isForward)
{
    tcp::socket& from = isForward ? pair->client : pair->server;
    tcp::socket& to = isForward ? pair->server : pair->client;
    Direction& direction = isForward ? self->m_forward : self->m_backward;
    std::string buf(pieceBytes, '\0');
    boost::system::error_code ec;
    boost::system::error_code ignored;
    while (true) {
        std::size_t n = co_await from.async_read_some(boost::asio::buffer(buf), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        co_await self->carry(direction, from, n);
        if (ec) {
            to.shutdown(tcp::socket::shutdown_send, ignored);
            co_return;
        }
        co_await boost::asio::async_write(to, boost::asio::buffer(buf.data(), n), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        if (ec) {
            from.shutdown(tcp::socket::shutdown_receive, ignored);
            co_return;
        }
    }
}

// Waits until the link has carried these bytes and is not held up. A change of the rate lets go what waits for the former one.
boost::asio::awaitable<void> Forwarder::carry(Direction& direction, tcp::socket const& from, std::size_t bytes)
{
    constexpr std::uint64_t nanosecondsPerSecond = 1'000'000'000;
    std::uint64_t rate = m_rate;
    Signal::Time due = Signal::Time::clock::now();
    if (rate != 0) {
        due = std::max(due, direction.freeAt) + std::chrono::nanoseconds(static_cast<std::int64_t>(bytes * nanosecondsPerSecond / rate));
        direction.freeAt = due;
    }
    ++direction.waiting;
    while (from.is_open() && (direction.isPaused || (m_rate == rate && Signal::Time::clock::now() < due)))
        co_await m_changed.wait(direction.isPaused ? Signal::Time::clock::now() + longestWait : due);
    --direction.waiting;
}

void Forwarder::limitBuffers(tcp::socket& socket) const
{
    if (!m_hasHadRate)
        return;
    int bytes = m_rate != 0 ? narrowBufferBytes : wideBufferBytes;
    boost::system::error_code ec; // Fails only on a socket that is closed already.
    socket.set_option(boost::asio::socket_base::receive_buffer_size(bytes), ec);
    socket.set_option(boost::asio::socket_base::send_buffer_size(bytes), ec);
}

std::size_t Forwarder::connections()
{
    std::erase_if(m_pairs, [](std::weak_ptr<Pair> const& it) { return it.expired(); });
    return m_pairs.size();
}

void Forwarder::setRate(std::uint64_t bytesPerSecond)
{
    m_hasHadRate = true;
    m_rate = bytesPerSecond;
    m_forward.freeAt = m_backward.freeAt = {};
    for (std::weak_ptr<Pair> const& it : m_pairs) {
        if (std::shared_ptr<Pair> pair = it.lock()) {
            limitBuffers(pair->client);
            limitBuffers(pair->server);
        }
    }
    m_changed.notifyAll();
}

void Forwarder::pause(bool forward, bool backward)
{
    m_forward.isPaused = m_forward.isPaused || forward;
    m_backward.isPaused = m_backward.isPaused || backward;
}

void Forwarder::resume()
{
    m_forward.isPaused = false;
    m_backward.isPaused = false;
    m_changed.notifyAll();
}

void Forwarder::cut()
{
    for (std::weak_ptr<Pair> const& it : m_pairs) {
        if (std::shared_ptr<Pair> pair = it.lock()) {
            close(pair->client);
            close(pair->server);
        }
    }
    m_changed.notifyAll();
}

boost::asio::awaitable<void> Forwarder::serve(Http::Request& request, Http::ResponseWriter& writer)
{
    std::string path = parseTarget(request.target).path;
    if (request.method == "GET" && path == "/state") {
        (void)co_await writer.send(respondState());
        co_return;
    }
    Core::Result<void> result = request.method == "POST" ? command(path, request.body)
                                                         : Core::Result<void>(Core::makeError(Core::ErrorCode::BadInput, "The forwarder takes POST, and GET /state."));
    (void)co_await writer.send(resultResponse(result));
}

Http::Response Forwarder::respondState()
{
    return objectResponse(Http::Status::Ok, { { "connections", connections() }, { "waiting_forward", m_forward.waiting } });
}

Core::Result<void> Forwarder::command(std::string_view path, std::string_view body)
{
    if (path == "/resume") {
        resume();
        return Core::ok();
    }
    if (path == "/cut") {
        cut();
        return Core::ok();
    }
    if (path != "/pause" && path != "/rate")
        return Core::fail(Core::ErrorCode::NotFound, "The forwarder has /pause, /resume, /cut and /rate.");
    BOOST_OUTCOME_TRY(boost::json::object object, Json::parseObject(body.empty() ? "{}" : body));
    if (path == "/rate") {
        BOOST_OUTCOME_TRY(std::uint64_t rate, Json::requiredNumber(object, "bytes_per_s"));
        setRate(rate);
        return Core::ok();
    }
    BOOST_OUTCOME_TRY(std::optional<std::string> text, Json::optionalString(object, "direction"));
    std::string direction = text.value_or("both");
    if (direction != "both" && direction != "forward" && direction != "backward")
        return Core::fail(Core::ErrorCode::BadInput, "'direction' must be both, forward or backward.");
    pause(direction != "backward", direction != "forward");
    return Core::ok();
}

}
