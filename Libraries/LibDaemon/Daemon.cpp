#include <LibCore/EventLog.h>
#include <LibDaemon/Daemon.h>
#include <LibDaemon/HttpErrors.h>
#include <boost/asio/post.hpp>
#include <csignal>
#include <openssl/rand.h>

namespace Daemon {

namespace {

constexpr std::size_t secretSize = 32;
constexpr std::chrono::seconds expiryInterval { 1 };
// Callers may have asked for the list just before the daemon began to leave, and the answer travels.
constexpr std::chrono::milliseconds holdMargin { 500 };

void fillRandom(std::span<std::uint8_t> bytes)
{
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        std::abort(); // Tickets without randomness could be guessed.
}

std::uint64_t randomNumber()
{
    std::array<std::uint8_t, 8> bytes {};
    fillRandom(bytes);
    std::uint64_t number = 0;
    for (std::uint8_t byte : bytes)
        number = number << 8U | byte;
    return number;
}

// Greater than that of any earlier process, as membership needs it, and unique, as tickets and leases need it.
std::uint64_t newIncarnation()
{
    constexpr unsigned randomBits = 20;
    std::chrono::milliseconds since1970 = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    return static_cast<std::uint64_t>(since1970.count()) << randomBits | (randomNumber() >> (64 - randomBits));
}

Request::RetryBudget::Settings budgetOf(Settings::DaemonSettings const& settings)
{
    Request::RetryBudget::Settings budget;
    budget.ratio = settings.limits.retryRatio;
    return budget;
}

}

Daemon::Daemon(Settings::DaemonSettings settings)
    : m_settings(std::move(settings))
    , m_incarnation(newIncarnation())
    , m_signals(m_control, SIGTERM, SIGINT)
    , m_holdTimer(m_control)
    , m_expiryTimer(m_control)
    , m_retryBudget(budgetOf(m_settings))
{
}

Core::Result<std::unique_ptr<Daemon>> Daemon::create(Settings::DaemonSettings settings)
{
    std::unique_ptr<Daemon> daemon(new Daemon(std::move(settings)));
    BOOST_OUTCOME_TRY(daemon->setUp());
    return daemon;
}

Core::Result<void> Daemon::setUp()
{
    BOOST_OUTCOME_TRY(m_dispatcher, Dispatcher::create(m_settings, randomNumber()));
    std::vector<std::uint8_t> secret(secretSize);
    fillRandom(secret);
    BOOST_OUTCOME_TRY(Request::TicketIssuer issuer, Request::TicketIssuer::create({ m_settings.daemon.name, m_incarnation, std::move(secret), fillRandom }));
    Request::AnswerStore::Limits limits;
    limits.maxBytes = m_settings.limits.keptAnswerBytes;
    limits.maxAnswerBytes = std::min(limits.maxAnswerBytes, limits.maxBytes);
    BOOST_OUTCOME_TRY(m_keeper, AnswerKeeper::create(std::move(issuer), limits, Request::OnceTable::Settings()));
    std::string prefix = m_settings.daemon.name + "-" + Request::formatIncarnation(m_incarnation).substr(0, 8) + "-";
    m_shared.reset(new CallerShared { m_settings.daemon.name, std::move(prefix), *m_keeper, m_metrics, false, 1 });
    Peer::Settings peers;
    peers.senderName = m_settings.daemon.name;
    peers.senderIncarnation = m_incarnation;
    BOOST_OUTCOME_TRY(createTraffic(peers));
    return createControl(peers);
}

Core::Result<void> Daemon::createTraffic(Peer::Settings const& peers)
{
    for (std::uint32_t n = 0; n < m_settings.daemon.trafficThreads; ++n) {
        BOOST_OUTCOME_TRY(std::unique_ptr<TrafficThread> thread, TrafficThread::create(m_settings, peers, *m_dispatcher, m_retryBudget, m_mix, *m_shared));
        m_traffic.push_back(std::move(thread));
    }
    return m_traffic.front()->servePeers(peers, [this](Peer::Request request, std::function<void(int, std::string)> reply) {
        boost::asio::post(m_control, [this, request = std::move(request), reply = std::move(reply)] { m_plane->handlePeerMessage(request, reply); });
    });
}

Core::Result<void> Daemon::createControl(Peer::Settings const& peers)
{
    ControlPlane::Hooks hooks;
    hooks.publish = [this](FleetPointer const& fleet) { publish(fleet); };
    hooks.onApplied = [this](std::function<void()> onApplied) { callWhenApplied(std::move(onApplied)); };
    hooks.openRequests = [this] { return m_dispatcher->openRequests(); };
    hooks.takeMix = [this] { return m_mix.take(); };
    hooks.report = [this](std::uint32_t target, Routing::LoadReport const& report) { m_dispatcher->report(target, report); };
    BOOST_OUTCOME_TRY(m_plane, ControlPlane::create(m_control, m_settings, m_incarnation, peers, std::move(hooks)));
    m_operatorApi = std::make_unique<OperatorApi>(m_settings, *m_plane, *m_dispatcher, *m_keeper, m_metrics);
    Http::Handler handler = [this](Http::Request& request, Http::ResponseWriter& writer) { return m_operatorApi->handle(request, writer); };
    BOOST_OUTCOME_TRY(m_operatorServer, Http::Server::create(m_control, m_settings.operators.listen, Http::ServerSettings(), std::move(handler), rejectionResponse));
    return Core::ok();
}

// Traffic threads take what is posted to them in order, so this comes behind the snapshot published before.
void Daemon::callWhenApplied(std::function<void()> onApplied)
{
    std::shared_ptr<std::size_t> left = std::make_shared<std::size_t>(m_traffic.size());
    for (std::unique_ptr<TrafficThread> const& thread : m_traffic) {
        thread->post([this, left, onApplied] {
            boost::asio::post(m_control, [left, onApplied] {
                if (--*left == 0)
                    onApplied();
            });
        });
    }
}

Daemon::~Daemon()
{
    // The threads' requests refer to what is shared, so they end first.
    m_traffic.clear();
}

void Daemon::publish(FleetPointer const& fleet)
{
    m_dispatcher->setFleet(fleet);
    for (std::unique_ptr<TrafficThread> const& thread : m_traffic)
        thread->setFleet(fleet);
}

void Daemon::run()
{
    Core::logEvent(Core::Severity::Info, Core::Event::ProcessStarted, { { "daemon", m_settings.daemon.name }, { "incarnation", Request::formatIncarnation(m_incarnation) }, { "availability_zone", m_settings.daemon.availabilityZone }, { "callers", Http::toString(m_settings.callers.listen) }, { "operators", Http::toString(m_settings.operators.listen) } });
    waitForSignal();
    expireAnswers();
    m_plane->start();
    m_operatorServer->start();
    for (std::unique_ptr<TrafficThread> const& thread : m_traffic)
        thread->start();
    m_control.run();
    Core::logEvent(Core::Severity::Info, Core::Event::ProcessStopped, { { "daemon", m_settings.daemon.name } });
}

void Daemon::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code ec, int) {
        if (ec)
            return;
        startLeaving();
        waitForSignal(); // A second signal changes nothing.
    });
}

void Daemon::startLeaving()
{
    if (m_shared->isLeaving.exchange(true))
        return;
    Core::logEvent(Core::Severity::Info, Core::Event::ShutdownStarted, { { "hold_ms", std::to_string(m_settings.callers.listHold.count()) } });
    m_plane->startLeaving();
    m_holdTimer.expires_after(m_settings.callers.listHold + holdMargin);
    m_holdTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            drainTraffic();
    });
}

void Daemon::drainTraffic()
{
    Core::logEvent(Core::Severity::Info, Core::Event::ShutdownPhase, { { "phase", "finishing" } });
    for (std::unique_ptr<TrafficThread> const& thread : m_traffic) {
        thread->drain([this] {
            boost::asio::post(m_control, [this] {
                if (++m_idleThreads == m_traffic.size())
                    m_plane->leave([this] { finish(); });
            });
        });
    }
}

void Daemon::finish()
{
    m_plane->stop();
    m_operatorServer->stop();
    m_control.stop();
}

void Daemon::expireAnswers()
{
    m_expiryTimer.expires_after(expiryInterval);
    m_expiryTimer.async_wait([this](boost::system::error_code ec) {
        if (ec)
            return;
        m_keeper->expire();
        expireAnswers();
    });
}

}
