#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/MembershipAgent.h>
#include <LibPeer/Call.h>
#include <boost/asio/co_spawn.hpp>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds messageTimeout { 900 };
constexpr int okStatus = 200;

Membership::Profile profileOf(Settings::DaemonSettings const& settings)
{
    return { settings.daemon.name, Http::toString(settings.peers.listen), Http::toString(settings.callers.listen), settings.daemon.availabilityZone, settings.daemon.region };
}

}

Core::Result<std::unique_ptr<MembershipAgent>> MembershipAgent::create(boost::asio::io_context& context, Peer::Clients& clients, Settings::DaemonSettings const& settings, std::uint64_t incarnation, std::uint64_t seed, ChangeHook onChange)
{
    BOOST_OUTCOME_TRY(Membership::Protocol protocol, Membership::Protocol::create(Membership::Settings(), profileOf(settings), incarnation, seed, Clock::now()));
    return std::unique_ptr<MembershipAgent>(new MembershipAgent(context, clients, std::move(protocol), std::move(onChange)));
}

MembershipAgent::MembershipAgent(boost::asio::io_context& context, Peer::Clients& clients, Membership::Protocol protocol, ChangeHook onChange)
    : m_context(context)
    , m_clients(clients)
    , m_protocol(std::move(protocol))
    , m_onChange(std::move(onChange))
    , m_timer(context)
{
}

void MembershipAgent::start()
{
    advance();
}

void MembershipAgent::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void MembershipAgent::advance()
{
    deliver(m_protocol.advance(Clock::now()));
    reportChanges();
    arm();
}

void MembershipAgent::arm()
{
    if (m_isStopped)
        return;
    m_timer.expires_at(m_protocol.nextDeadline());
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec && !m_isStopped)
            advance();
    });
}

void MembershipAgent::deliver(Membership::Output output)
{
    for (Membership::Outgoing& message : output.messages)
        boost::asio::co_spawn(
            m_context, [this, message = std::move(message)]() { return send(message); }, Core::logUncaughtException);
}

boost::asio::awaitable<void> MembershipAgent::send(Membership::Outgoing message)
{
    Core::Result<boost::asio::ip::tcp::endpoint> endpoint = Http::parseEndpoint(message.address);
    if (endpoint.has_error())
        co_return;
    std::shared_ptr<Peer::Client> client = m_clients.get(endpoint.value());
    Core::Result<Peer::Reply> reply = co_await Peer::call(*client, membershipPath, std::move(message.bytes), messageTimeout);
    if (m_isStopped)
        co_return;
    if (reply.has_error()) {
        m_protocol.handleUnreachable(message.to, Clock::now());
    } else if (reply.value().status == okStatus && !reply.value().body.empty()) {
        Core::Result<Membership::Output> output = m_protocol.handleMessage(reply.value().body, Clock::now());
        if (output.has_value())
            deliver(std::move(output.value()));
    }
    advance();
}

Core::Result<std::string> MembershipAgent::handleMessage(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(Membership::Output output, m_protocol.handleMessage(bytes, Clock::now()));
    std::string reply = output.reply.value_or("");
    deliver(std::move(output));
    advance();
    return reply;
}

void MembershipAgent::reportChanges()
{
    std::vector<Membership::Change> changes = m_protocol.takeChanges();
    for (Membership::Change const& change : changes) {
        bool isBad = change.to == Membership::Status::Suspect || change.to == Membership::Status::Dead;
        Core::logEvent(isBad ? Core::Severity::Warning : Core::Severity::Info, Core::Event::MemberChanged, { { "daemon", change.name }, { "from", std::string(Core::nameOf(Membership::statusNames, change.from)) }, { "to", std::string(Core::nameOf(Membership::statusNames, change.to)) }, { "leaving", change.isLeaving ? "yes" : "no" } });
    }
    if (std::exchange(m_reportedGeneration, m_protocol.table().generation()) != m_protocol.table().generation() || !changes.empty())
        m_onChange(changes);
}

void MembershipAgent::takeVms(std::vector<Platform::Vm> const& entries)
{
    std::vector<Membership::ListedVm> list;
    for (Platform::Vm const& vm : entries)
        list.push_back({ { vm.name, Http::toString(vm.address), Http::toString(vm.callerAddress), vm.availabilityZone, vm.region }, vm.state == Platform::VmState::Leaving });
    m_protocol.handleVmList(list, Clock::now());
    advance();
}

void MembershipAgent::setLoad(Membership::Load const& load)
{
    m_protocol.setLoad(load, Clock::now());
}

void MembershipAgent::startLeaving()
{
    m_protocol.startLeaving(Clock::now());
    advance();
}

void MembershipAgent::leave()
{
    deliver(m_protocol.leave(Clock::now()));
    stop();
}

Membership::Member const* MembershipAgent::find(std::string const& name) const
{
    for (std::pair<std::uint64_t const, Membership::Member> const& it : m_protocol.table().members()) {
        if (it.second.profile.name == name)
            return &it.second;
    }
    return nullptr;
}

}
