#include <LibCore/EventLog.h>
#include <LibDaemon/BeaconExchange.h>
#include <LibHttp/Client.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Daemon {

Core::Result<std::unique_ptr<BeaconExchange>> BeaconExchange::create(boost::asio::io_context& context, Platform::ListedDaemon self, Hooks hooks)
{
    boost::asio::ip::udp::socket socket(context);
    boost::system::error_code ec;
    socket.open(self.beaconAddress.protocol(), ec);
    if (!ec)
        socket.bind(self.beaconAddress, ec);
    if (ec)
        return Core::fail(Core::ErrorCode::Unavailable, "cannot bind the beacons' address " + Http::toString({ self.beaconAddress.address(), self.beaconAddress.port() }) + ": " + ec.message());
    return std::unique_ptr<BeaconExchange>(new BeaconExchange(context, std::move(socket), std::move(self), std::move(hooks)));
}

BeaconExchange::BeaconExchange(boost::asio::io_context& context, boost::asio::ip::udp::socket socket, Platform::ListedDaemon self, Hooks hooks)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_self(std::move(self))
    , m_hooks(std::move(hooks))
{
}

void BeaconExchange::start()
{
    boost::asio::co_spawn(
        m_context, [this] { return sendLoop(); }, boost::asio::detached);
    boost::asio::co_spawn(
        m_context, [this] { return receiveLoop(); }, boost::asio::detached);
}

void BeaconExchange::stop()
{
    m_isStopped = true;
    boost::system::error_code ec;
    m_socket.close(ec);
}

boost::asio::awaitable<void> BeaconExchange::sendLoop()
{
    boost::asio::steady_timer timer(m_context);
    while (!m_isStopped) {
        m_book.expire(Core::BootClock::now());
        sendNow();
        timer.expires_after(m_book.beaconInterval());
        boost::system::error_code ec;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
}

void BeaconExchange::sendNow()
{
    BeaconMessage beacon = m_hooks.describe();
    beacon.sender = m_self;
    beacon.sequence = ++m_sequence;
    std::string bytes = encode(beacon);
    for (std::pair<std::string const, Fleet::BookedDaemon> const& it : m_book.daemons()) {
        // A datagram that cannot be sent is as good as lost; the next one follows soon.
        boost::system::error_code ec;
        m_socket.send_to(boost::asio::buffer(bytes), it.second.listed.beaconAddress, 0, ec);
    }
}

boost::asio::awaitable<void> BeaconExchange::receiveLoop()
{
    while (!m_isStopped) {
        boost::asio::ip::udp::endpoint from;
        boost::system::error_code ec;
        std::size_t n = co_await m_socket.async_receive_from(boost::asio::buffer(m_buffer), from, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        if (!ec)
            take({ m_buffer.data(), n });
    }
}

void BeaconExchange::take(std::string_view datagram)
{
    Core::Result<BeaconMessage> beacon = decodeBeacon(datagram);
    if (beacon.has_error() || beacon.value().sender.name == m_self.name)
        return;
    BeaconMessage const& message = beacon.value();
    bool isNew = !m_book.daemons().contains(message.sender.name);
    if (!m_book.hear(message.sender, message.sequence, { message.isLeaving, message.isReading, message.cannotPlan, message.configVersion, message.targetsChanged }, Core::BootClock::now()))
        return;
    if (isNew)
        Core::logEvent(Core::Severity::Info, Core::Event::MemberChanged, { { "daemon", message.sender.name }, { "from", "unknown" }, { "to", "live" }, { "leaving", message.isLeaving ? "yes" : "no" } });
    m_hooks.onBeacon(message);
}

}
