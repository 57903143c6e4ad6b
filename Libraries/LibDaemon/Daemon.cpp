#include <LibCore/EventLog.h>
#include <LibDaemon/Daemon.h>
#include <LibDaemon/HttpErrors.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <openssl/rand.h>
#include <tuple>

namespace Daemon {

namespace {

constexpr std::size_t secretSize = 32;
constexpr std::chrono::seconds expiryInterval { 1 };
// A changed file is in force within the second that operators wait for.
constexpr std::chrono::milliseconds settingsInterval { 1'000 };

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

// Delivers what has come since the process began. Whoever started it may have left any of them blocked.
void unblockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (int signal : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&signals, signal);
    ::pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

Request::RetryBudget::Settings budgetOf(Settings::DaemonSettings const& settings)
{
    Request::RetryBudget::Settings budget;
    budget.ratio = settings.limits.retryRatio;
    return budget;
}

}

Daemon::Daemon(Settings::DaemonSettings settings, Adapters adapters, SettingsReader reader)
    : m_settings(std::move(settings))
    , m_adapters(std::move(adapters))
    , m_readSettings(std::move(reader))
    , m_settingsText(m_settings.print())
    , m_incarnation(newIncarnation())
    , m_signals(m_control, SIGTERM, SIGINT, SIGHUP)
    , m_holdTimer(m_control)
    , m_expiryTimer(m_control)
    , m_stopTimer(m_control)
    , m_settingsTimer(m_control)
    , m_retryBudget(budgetOf(m_settings))
    , m_usage(m_settings.duties.usageWindow)
    , m_sharedBudgets({ m_settings.limits.retryRatio, m_settings.limits.retryExtra, m_settings.limits.retryWindow })
{
}

Core::Result<std::unique_ptr<Daemon>> Daemon::create(Settings::DaemonSettings settings, Adapters adapters, SettingsReader reader)
{
    std::unique_ptr<Daemon> daemon(new Daemon(std::move(settings), std::move(adapters), std::move(reader)));
    BOOST_OUTCOME_TRY(daemon->setUp());
    return daemon;
}

std::uint64_t Daemon::heldAnswerLimit() const
{
    return m_settings.limits.heldAnswerBytes > 0 ? m_settings.limits.heldAnswerBytes : m_memoryPlan.answerBytes;
}

Core::Result<void> Daemon::setUp()
{
    ProcessLimits process = ProcessLimits::read(m_settings.limits.memoryMegabytes);
    m_memoryPlan = MemoryPlan::of(process, m_settings.callers.server.connectionLimit * m_settings.daemon.trafficThreads);
    Core::MemoryBudget::Settings memory;
    memory.limitBytes = m_memoryPlan.requestBytes;
    m_memory = Core::MemoryBudget::create(memory);
    BOOST_OUTCOME_TRY(m_dispatcher, Dispatcher::create(m_settings, randomNumber()));
    std::vector<std::uint8_t> secret(secretSize);
    fillRandom(secret);
    BOOST_OUTCOME_TRY(Request::TicketIssuer issuer, Request::TicketIssuer::create({ m_settings.daemon.name, m_incarnation, std::move(secret), fillRandom }));
    Request::AnswerStore::Limits limits;
    limits.maxBytes = m_settings.limits.keptAnswerBytes;
    limits.maxAnswerBytes = std::min(limits.maxAnswerBytes, limits.maxBytes);
    BOOST_OUTCOME_TRY(m_keeper, AnswerKeeper::create(std::move(issuer), limits, Request::OnceTable::Settings()));
    std::string prefix = m_settings.daemon.name + "-" + Request::formatIncarnation(m_incarnation).substr(0, 8) + "-";
    m_shared.reset(new CallerShared { m_settings.daemon.name, std::move(prefix), *m_keeper, m_metrics, false, 1, {}, AnswerRoom(heldAnswerLimit()) });
    Peer::Settings peers;
    peers.senderName = m_settings.daemon.name;
    peers.senderIncarnation = m_incarnation;
    BOOST_OUTCOME_TRY(createTraffic(peers));
    if (!usesStore())
        return createLogControl(peers);
    BOOST_OUTCOME_TRY(createStoreControl());
    BOOST_OUTCOME_TRY(createEntryServers());
    return createMetricsServer();
}

Core::Result<void> Daemon::createTraffic(Peer::Settings const& peers)
{
    BudgetHook budgetOf = [this](Work const& work) -> Request::RetryBudget& {
        return m_settings.limits.retryExtra > 0 ? m_sharedBudgets.of(work.name) : m_retryBudget;
    };
    TrafficParts parts { m_settings, *m_dispatcher, m_mix, *m_shared, m_adapters.targets, m_adapters.callers, std::move(budgetOf), m_guard, m_usage, nullptr, nullptr, m_origins, nullptr, m_memoryPlan, m_memory };
    parts.onFindings = [this](std::vector<Quarantine::Finding> const& findings, std::optional<Quarantine::WorkKey> const& cleared) {
        boost::asio::post(m_control, [this, findings, cleared] { noteFindings(findings, cleared); });
    };
    parts.onLeaving = [this](std::uint64_t target) {
        boost::asio::post(m_control, [this, target] {
            if (m_storeControl)
                m_storeControl->noteLeaving(target);
        });
    };
    if (usesStore()) {
        parts.findOrigin = [this](OriginQuestion const& question, std::function<void(OriginAnswer const&)> onAnswer) {
            boost::asio::post(m_control, [this, question, onAnswer = std::move(onAnswer)] { m_storeControl->streams().find(question, onAnswer); });
        };
    }
    for (std::uint32_t n = 0; n < m_settings.daemon.trafficThreads; ++n) {
        BOOST_OUTCOME_TRY(std::unique_ptr<TrafficThread> thread, TrafficThread::create(parts, peers));
        m_traffic.push_back(std::move(thread));
    }
    return Core::ok();
}

Core::Result<void> Daemon::createLogControl(Peer::Settings const& peers)
{
    ControlPlane::Hooks hooks;
    hooks.publish = [this](FleetPointer const& fleet) { publish(fleet); };
    hooks.onApplied = [this](std::function<void()> onApplied) { callWhenApplied(std::move(onApplied)); };
    hooks.openRequests = [this] { return m_dispatcher->openRequests(); };
    hooks.takeMix = [this] { return m_mix.take(); };
    hooks.report = [this](std::uint32_t target, Routing::LoadReport const& report) { m_dispatcher->report(target, report); };
    BOOST_OUTCOME_TRY(std::unique_ptr<ControlPlane> plane, ControlPlane::create(m_control, m_settings, m_incarnation, peers, std::move(hooks)));
    ControlPlane* raw = plane.get();
    m_plane = std::move(plane);
    BOOST_OUTCOME_TRY(m_traffic.front()->servePeers(peers, [this, raw](Peer::Request request, std::function<void(int, std::string)> reply) {
        boost::asio::post(m_control, [raw, request = std::move(request), reply = std::move(reply)] { raw->handlePeerMessage(request, reply); });
    }));
    m_operatorApi = std::make_unique<OperatorApi>(m_settings, *raw, *m_dispatcher, *m_keeper, m_metrics);
    Http::Handler handler = [this](Http::Request& request, Http::ResponseWriter& writer) { return m_operatorApi->handle(request, writer); };
    Http::ServerSettings settings = m_memoryPlan.entrySettings(m_memoryPlan.statusConnections);
    settings.bodyLimit = Http::ServerSettings().bodyLimit; // For the records of a configuration.
    BOOST_OUTCOME_TRY(m_operatorServer, Http::Server::create(m_control, m_settings.operators.listen, settings, std::move(handler), rejectionResponse));
    m_operatorServer->limitMemory(m_memory, [](Http::MemoryRefusal const& refusal) { logMemoryRefusal(refusal, "operators"); });
    return Core::ok();
}

Core::Result<void> Daemon::createStoreControl()
{
    StoreControl::Hooks hooks;
    hooks.publish = [this](FleetPointer const& fleet) { publish(fleet); };
    hooks.setLimits = [this](State::CallerLimits const& limits) { setCallerLimits(limits); };
    hooks.openWork = [this] { return m_dispatcher->openWork(); };
    hooks.takePeerWork = [this](std::string const& peer, std::vector<Routing::TargetShare> const& shares, std::chrono::milliseconds lifetime) { m_dispatcher->takePeerWork(peer, shares, lifetime); };
    hooks.takeOutcomes = [this] { return m_dispatcher->takeOutcomes(); };
    hooks.takePeerOutcomes = [this](std::vector<Routing::OutcomeCounts> const& outcomes) {
        m_dispatcher->takePeerOutcomes(outcomes);
        m_dispatcher->paths().notePeerAnswers(outcomes);
    };
    hooks.takeHeldParts = [this] { return m_dispatcher->takeHeldParts(); };
    hooks.takePaceSamples = [this] { return m_dispatcher->takePaceSamples(); };
    hooks.takePeerPaces = [this](std::vector<Routing::PaceSample> const& samples) { m_dispatcher->takePeerPaces(samples); };
    hooks.placeDemands = [this] { return m_dispatcher->placeDemands(); };
    hooks.takePeerPlaceDemands = [this](std::string const& peer, std::vector<Admission::PlaceDemand> const& demands, std::chrono::milliseconds lifetime) { m_dispatcher->takePeerPlaceDemands(peer, demands, lifetime); };
    hooks.updateShares = [this] { m_dispatcher->updateShares(); };
    hooks.takePartUses = [this] { return m_dispatcher->takePartUses(); };
    hooks.takePeerPartUses = [this](std::vector<Routing::PartUse> const& uses) { m_dispatcher->takePeerPartUses(uses); };
    hooks.serviceReports = [this] { return m_dispatcher->serviceReports(); };
    hooks.slowness = [this](std::uint64_t target, Routing::TargetRole role) { return m_dispatcher->slowness(target, role); };
    hooks.takePeerReports = [this](std::string const& peer, std::vector<Routing::ServiceReport> const& reports) { m_dispatcher->takePeerReports(peer, reports); };
    hooks.takePeerParts = [this](std::vector<Routing::HeldPart> const& parts) { m_dispatcher->takePeerParts(parts); };
    hooks.suspects = [this] { return m_dispatcher->suspects(); };
    hooks.paths = [this] { return m_dispatcher->paths().counts(); };
    hooks.isCutOff = [this](std::vector<Routing::PathCounts> const& counts) { return m_dispatcher->paths().isCutOff(counts); };
    hooks.needsRelays = [this] { return m_dispatcher->paths().isImpaired(); };
    hooks.setRelayPeers = [this](std::vector<RelayPeer> peers) { m_dispatcher->paths().setPeers(std::move(peers)); };
    hooks.probePaths = [this] {
        std::vector<std::uint64_t> targets = m_dispatcher->paths().takeProbes();
        if (!targets.empty())
            m_traffic.front()->probe(std::move(targets));
    };
    hooks.decideUnreachable = [this](std::vector<Routing::PathReport> const& reports, std::size_t live, std::chrono::milliseconds settle) { return m_dispatcher->paths().decideUnreachable(reports, live, settle); };
    hooks.setAvoided = [this](std::set<std::uint64_t> targets) { m_dispatcher->setAvoided(std::move(targets)); };
    hooks.countStoreCall = [this](Fleet::StoreCallReason reason) { m_metrics.countStoreCall(reason); };
    hooks.onTargetsGone = [this](std::vector<std::uint64_t> const& targets) { noteTargetsGone(targets); };
    hooks.setSharers = [this](std::vector<std::string> const& others) { m_dispatcher->setDaemons(m_settings.daemon.name, others); };
    hooks.rateLimitReports = [this] { return m_dispatcher->rateLimitReports(); };
    hooks.takePeerRateLimits = [this](std::string const& peer, std::vector<Routing::RateLimitReport> const& reports) { m_dispatcher->takePeerRateLimits(peer, reports); };
    hooks.setDaemons = [this](std::size_t daemons) { m_sharedBudgets.setDaemons(daemons, std::chrono::steady_clock::now()); };
    BOOST_OUTCOME_TRY(std::unique_ptr<StoreControl> control, StoreControl::create(m_control, m_settings, m_adapters, m_guard, m_usage, m_origins, m_incarnation, std::move(hooks)));
    m_storeControl = control.get();
    m_plane = std::move(control);
    BOOST_OUTCOME_TRY(m_operatorServer, createServer("operators", m_settings.operators.listen, m_memoryPlan.entrySettings(m_memoryPlan.statusConnections), [this](Http::Request const& request) { return respondToOperators(request); }));
    return Core::ok();
}

// Both are answered from memory, on the control thread: never behind traffic.
Core::Result<void> Daemon::createEntryServers()
{
    if (m_settings.callers.directory.port() != 0) {
        BOOST_OUTCOME_TRY(std::unique_ptr<Http::Server> server, createServer("directory", m_settings.callers.directory, m_memoryPlan.entrySettings(m_memoryPlan.directoryConnections), [this](Http::Request const&) { return m_adapters.callers.entries(m_storeControl->entries()); }));
        m_entryServers.push_back(std::move(server));
    }
    if (m_settings.callers.ready.port() != 0) {
        BOOST_OUTCOME_TRY(std::unique_ptr<Http::Server> server, createServer("ready", m_settings.callers.ready, m_memoryPlan.entrySettings(m_memoryPlan.statusConnections), [this](Http::Request const&) {
            return Http::jsonResponse(m_storeControl->isReady() ? Http::Status::Ok : Http::Status::ServiceUnavailable, "{}");
        }));
        m_entryServers.push_back(std::move(server));
    }
    return Core::ok();
}

Core::Result<void> Daemon::createMetricsServer()
{
    if (m_settings.operators.metrics.port() == 0)
        return Core::ok();
    BOOST_OUTCOME_TRY(std::unique_ptr<Http::Server> server, createServer("metrics", m_settings.operators.metrics, m_memoryPlan.entrySettings(m_memoryPlan.statusConnections), [this](Http::Request const& request) { return respondToOperators(request); }));
    m_entryServers.push_back(std::move(server));
    return Core::ok();
}

Core::Result<std::unique_ptr<Http::Server>> Daemon::createServer(std::string_view name, boost::asio::ip::tcp::endpoint const& endpoint, Http::ServerSettings const& settings, std::function<Http::Response(Http::Request const&)> respond)
{
    Http::Handler handler = [respond = std::move(respond)](Http::Request& request, Http::ResponseWriter& writer) -> boost::asio::awaitable<void> {
        std::ignore = co_await writer.send(respond(request));
    };
    BOOST_OUTCOME_TRY(std::unique_ptr<Http::Server> server, Http::Server::create(m_control, endpoint, settings, std::move(handler), rejectionResponse));
    server->limitMemory(m_memory, [name](Http::MemoryRefusal const& refusal) { logMemoryRefusal(refusal, name); });
    return server;
}

void Daemon::setCallerLimits(State::CallerLimits const& limits)
{
    Http::ServerSettings server = m_settings.callers.server;
    server.headLimit = limits.headBytes;
    server.bodyLimit = limits.bodyBytes;
    server.headTimeout = limits.headTimeout;
    server.idleTimeout = limits.idleTimeout;
    for (std::unique_ptr<TrafficThread> const& thread : m_traffic)
        thread->setLimits(server);
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

// Where daemons do not share what they know, each goes by its own runs.
void Daemon::noteFindings(std::vector<Quarantine::Finding> const& findings, std::optional<Quarantine::WorkKey> const& cleared)
{
    if (!m_storeControl) {
        logFindings(findings, m_settings.daemon.name);
        return;
    }
    m_storeControl->quarantine().noteFindings(findings);
    if (cleared)
        m_storeControl->quarantine().noteCleared(*cleared);
}

void Daemon::noteTargetsGone(std::vector<std::uint64_t> const& targets)
{
    for (std::uint64_t target : targets) {
        std::vector<Quarantine::Finding> findings = m_guard.noteEnded(target, Core::BootClock::now());
        if (!findings.empty())
            noteFindings(findings, std::nullopt);
    }
}

void Daemon::publish(FleetPointer const& fleet)
{
    std::map<std::string, std::set<std::string>> releases;
    for (FleetTarget const& target : fleet->targets)
        releases[target.work()].insert(target.release);
    m_guard.setReleases(std::move(releases));
    m_dispatcher->setFleet(fleet);
    for (std::unique_ptr<TrafficThread> const& thread : m_traffic)
        thread->setFleet(fleet);
}

void Daemon::run()
{
    Core::logEvent(Core::Severity::Info, Core::Event::ProcessStarted, { { "daemon", m_settings.daemon.name }, { "incarnation", Request::formatIncarnation(m_incarnation) }, { "availability_zone", m_settings.daemon.availabilityZone }, { "callers", Http::toString(m_settings.callers.listen) }, { "operators", Http::toString(m_settings.operators.listen) } });
    waitForSignal();
    unblockSignals();
    watchSettings();
    expireAnswers();
    m_plane->start();
    m_operatorServer->start();
    for (std::unique_ptr<Http::Server> const& server : m_entryServers)
        server->start();
    for (std::unique_ptr<TrafficThread> const& thread : m_traffic)
        thread->start();
    m_control.run();
    Core::logEvent(Core::Severity::Info, Core::Event::ProcessStopped, { { "daemon", m_settings.daemon.name } });
}

void Daemon::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code ec, int signal) {
        if (ec)
            return;
        if (signal == SIGHUP)
            reloadSettings("signal");
        else
            startLeaving();
        waitForSignal(); // A second signal changes nothing.
    });
}

// The file may change without a signal.
void Daemon::watchSettings()
{
    m_settingsTimer.expires_after(settingsInterval);
    m_settingsTimer.async_wait([this](boost::system::error_code ec) {
        if (ec)
            return;
        reloadSettings("file changed");
        watchSettings();
    });
}

// What a running daemon cannot take over (its addresses, its name) stays as it was at the start. A file that is not good
// changes nothing.
void Daemon::reloadSettings(std::string_view cause)
{
    Core::Result<Settings::DaemonSettings> read = m_readSettings();
    if (read.has_error()) {
        if (std::exchange(m_settingsProblem, read.error().message) != m_settingsProblem)
            Core::logEvent(Core::Severity::Error, Core::Event::SettingsRefused, { { "cause", std::string(cause) }, { "error", read.error().message } });
        return;
    }
    m_settingsProblem.clear();
    std::string text = read.value().print();
    if (text == m_settingsText)
        return;
    m_settingsText = std::move(text);
    Settings::DaemonSettings const& settings = read.value();
    bool hasMoved = settings.callers.listen != m_settings.callers.listen || settings.peers.listen != m_settings.peers.listen || settings.operators.listen != m_settings.operators.listen || settings.daemon.name != m_settings.daemon.name;
    Core::setEventLogThreshold(settings.daemon.logLevel);
    m_sharedBudgets.change({ settings.limits.retryRatio, settings.limits.retryExtra, settings.limits.retryWindow });
    if (m_storeControl)
        m_storeControl->change(settings);
    Core::logEvent(Core::Severity::Info, Core::Event::SettingsReloaded, { { "cause", std::string(cause) }, { "needs_restart", hasMoved ? "yes" : "no" } });
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
