#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/BeaconExchange.h>
#include <LibHttp/Client.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>

namespace Daemon {

namespace {

// No beacon begins with it, since no field of a protobuf message has the number 0.
constexpr char notesMark = '\0';

}

Core::Result<std::unique_ptr<BeaconExchange>> BeaconExchange::create(boost::asio::io_context& context, Platform::ListedDaemon self, std::uint64_t bytesPerSecond, Hooks hooks)
{
    boost::asio::ip::udp::socket socket(context);
    boost::system::error_code ec;
    socket.open(self.beaconAddress.protocol(), ec);
    if (!ec)
        socket.bind(self.beaconAddress, ec);
    if (ec)
        return Core::fail(Core::ErrorCode::Unavailable, "cannot bind the beacons' address " + Http::toString({ self.beaconAddress.address(), self.beaconAddress.port() }) + ": " + ec.message());
    return std::unique_ptr<BeaconExchange>(new BeaconExchange(context, std::move(socket), std::move(self), bytesPerSecond, std::move(hooks)));
}

BeaconExchange::BeaconExchange(boost::asio::io_context& context, boost::asio::ip::udp::socket socket, Platform::ListedDaemon self, std::uint64_t bytesPerSecond, Hooks hooks)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_sendTimer(context)
    , m_sliceTimer(context)
    , m_bytesPerSecond(bytesPerSecond)
    , m_random(std::random_device()())
    , m_self(std::move(self))
    , m_hooks(std::move(hooks))
{
}

void BeaconExchange::start()
{
    boost::asio::co_spawn(
        m_context, [this] { return sendLoop(); }, Core::logUncaughtException);
    boost::asio::co_spawn(
        m_context, [this] { return receiveLoop(); }, Core::logUncaughtException);
}

void BeaconExchange::stop()
{
    m_isStopped = true;
    m_sendTimer.cancel();
    m_sliceTimer.cancel();
    boost::system::error_code ec;
    m_socket.close(ec);
}

boost::asio::awaitable<void> BeaconExchange::sendLoop()
{
    Core::BootClock::time_point regularAt;
    while (!m_isStopped) {
        Core::BootClock::time_point now = Core::BootClock::now();
        Core::BootClock::time_point soonAt = m_sentAt + m_book.promptInterval();
        bool isRegular = now >= regularAt;
        if (isRegular) {
            m_book.expire(now);
            regularAt = now + m_book.beaconInterval();
        }
        if (isRegular || (m_isSoon && now >= soonAt))
            m_isDue = true;
        // What a beacon tells once would not reach the rest of a round that is cut short.
        if (m_isDue && m_round.remaining == 0)
            sendNow();
        Core::BootClock::time_point next = m_isSoon && !m_isDue ? std::min(soonAt, regularAt) : regularAt;
        m_sendTimer.expires_after(std::chrono::ceil<std::chrono::milliseconds>(next - now));
        boost::system::error_code ec;
        co_await m_sendTimer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
}

BeaconMessage BeaconExchange::nextBeacon(BeaconKind kind)
{
    BeaconMessage beacon = m_hooks.describe(kind);
    beacon.sender = m_self;
    beacon.sequence = ++m_sequence;
    Core::BootClock::time_point now = Core::BootClock::now();
    beacon.state.saidAt = now;
    beacon.isBrief = kind == BeaconKind::ToAll && now < m_nextFull;
    // A beacon that goes to nobody tells nothing.
    if (kind == BeaconKind::ToAll && !beacon.isBrief && !m_book.daemons().empty())
        m_nextFull = now + fullInterval;
    return beacon;
}

void BeaconExchange::sendSoon()
{
    m_isSoon = true;
    m_sendTimer.cancel();
}

void BeaconExchange::announce()
{
    m_nextFull = {};
    sendNow();
}

void BeaconExchange::sendNow()
{
    m_isSoon = false;
    m_isDue = false;
    m_sentAt = Core::BootClock::now();
    BeaconMessage beacon = nextBeacon(BeaconKind::ToAll);
    m_round.bytesWithUsage = encode(beacon);
    beacon.usage = Duties::withoutCounts(beacon.usage);
    m_round.bytes = encode(beacon);
    m_round.usageFor = { beacon.usageFor.begin(), beacon.usageFor.end() };
    m_round.remaining = m_book.daemons().size();
    // A recipient that always came last would take its wait for the least transit time.
    std::map<std::string, Fleet::BookedDaemon>::const_iterator first = m_book.daemons().begin();
    if (m_round.remaining > 0)
        std::advance(first, m_random() % m_round.remaining);
    m_lastRecipient = m_round.remaining > 0 ? first->first : std::string();
    sendSlice();
}

void BeaconExchange::sendSlice()
{
    std::map<std::string, Fleet::BookedDaemon> const& daemons = m_book.daemons();
    std::uint64_t budget = m_bytesPerSecond * static_cast<std::uint64_t>(sliceInterval.count()) / std::milli::den;
    std::uint64_t sent = 0;
    for (; m_round.remaining > 0 && !daemons.empty() && sent <= budget; --m_round.remaining) {
        std::map<std::string, Fleet::BookedDaemon>::const_iterator it = daemons.upper_bound(m_lastRecipient);
        if (it == daemons.end())
            it = daemons.begin();
        m_lastRecipient = it->first;
        std::string const& bytes = m_round.usageFor.contains(it->first) ? m_round.bytesWithUsage : m_round.bytes;
        // A datagram that cannot be sent is as good as lost; the next one follows soon.
        boost::system::error_code ec;
        m_socket.send_to(boost::asio::buffer(bytes), it->second.listed.beaconAddress, 0, ec);
        sent += bytes.size();
    }
    if (daemons.empty())
        m_round.remaining = 0;
    if (m_round.remaining == 0) {
        if (m_isDue)
            m_sendTimer.cancel();
        return;
    }
    // The last datagram of a slice may exceed the budget.
    m_sliceTimer.expires_after(std::max(sliceInterval, std::chrono::milliseconds(sent * std::milli::den / m_bytesPerSecond)));
    m_sliceTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            sendSlice();
    });
}

// A lost one costs no more than the wait for the next beacon.
void BeaconExchange::greet(boost::asio::ip::udp::endpoint const& address)
{
    BeaconMessage beacon = nextBeacon(BeaconKind::Greeting);
    beacon.usage = Duties::withoutCounts(beacon.usage);
    std::string bytes = encode(beacon);
    boost::system::error_code ec;
    m_socket.send_to(boost::asio::buffer(bytes), address, 0, ec);
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

void BeaconExchange::sendNotes(boost::asio::ip::udp::endpoint const& address, std::string const& bytes)
{
    boost::system::error_code ec;
    m_socket.send_to(boost::asio::buffer(notesMark + bytes), address, 0, ec);
}

void BeaconExchange::take(std::string_view datagram)
{
    if (datagram.starts_with(notesMark)) {
        m_hooks.onNotes(datagram.substr(1));
        return;
    }
    Core::Result<BeaconMessage> beacon = decodeBeacon(datagram);
    if (beacon.has_error() || beacon.value().sender.name == m_self.name)
        return;
    BeaconMessage& message = beacon.value();
    std::map<std::string, Fleet::BookedDaemon>::const_iterator known = m_book.daemons().find(message.sender.name);
    bool isNew = known == m_book.daemons().end();
    if (message.isBrief) {
        // One whose addresses are not known tells them soon.
        if (isNew || known->second.listed.incarnation != message.sender.incarnation)
            return;
        message.sender = known->second.listed;
    }
    bool hasStarted = isNew || known->second.heardAt == Core::BootClock::time_point() || known->second.listed.incarnation != message.sender.incarnation;
    if (!m_book.hear(message.sender, message.sequence, message.state, Core::BootClock::now()))
        return;
    if (isNew)
        Core::logEvent(Core::Severity::Info, Core::Event::MemberChanged, { { "daemon", message.sender.name }, { "from", "unknown" }, { "to", "live" }, { "leaving", message.state.isLeaving ? "yes" : "no" } });
    m_hooks.onBeacon(message);
    if (hasStarted && m_hooks.greets())
        greet(message.sender.beaconAddress);
}

}
