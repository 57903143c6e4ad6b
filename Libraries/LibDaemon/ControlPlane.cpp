#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/ControlPlane.h>
#include <LibPeer/Call.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>
#include <tuple>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds tickInterval { 1'000 };
constexpr std::chrono::milliseconds peerTimeout { 1'000 };
constexpr char const* progressPath = "/v1/progress";
constexpr int okStatus = 200;
constexpr int badRequestStatus = 400;
constexpr int notFoundStatus = 404;

Http::ClientSettings controlClient()
{
    Http::ClientSettings settings;
    settings.headTimeout = std::chrono::milliseconds(3'000);
    settings.pieceTimeout = std::chrono::milliseconds(3'000);
    return settings;
}

}

ControlPlane::ControlPlane(boost::asio::io_context& context, Settings::DaemonSettings const& settings, std::uint64_t incarnation, std::shared_ptr<Peer::Clients> peers, Hooks hooks)
    : m_context(context)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_client(Http::Client::create(context, controlClient()))
    , m_log(Platform::createHttpLogService(*m_client, settings.platform.log))
    , m_vmList(Platform::createHttpVmList(*m_client, settings.platform.vms))
    , m_engines(Platform::createHttpEngineControl(*m_client))
    , m_peers(std::move(peers))
    , m_incarnation(std::to_string(incarnation))
    , m_config(std::make_unique<ConfigFollower>(context, *m_log, settings.platform.retryDelay, [this](std::shared_ptr<State::Config const> const&) { rebuild(); }))
    , m_fleet(std::make_shared<FleetSnapshot>())
{
}

Core::Result<std::unique_ptr<ControlPlane>> ControlPlane::create(boost::asio::io_context& context, Settings::DaemonSettings const& settings, std::uint64_t incarnation, Peer::Settings const& peerSettings, Hooks hooks)
{
    BOOST_OUTCOME_TRY(std::shared_ptr<Peer::Clients> peers, Peer::Clients::create(context, peerSettings));
    std::unique_ptr<ControlPlane> plane(new ControlPlane(context, settings, incarnation, std::move(peers), std::move(hooks)));
    BOOST_OUTCOME_TRY(plane->setUp(incarnation));
    return plane;
}

Core::Result<void> ControlPlane::setUp(std::uint64_t incarnation)
{
    BOOST_OUTCOME_TRY(m_membership, MembershipAgent::create(m_context, *m_peers, m_settings, incarnation, incarnation, [this](std::vector<Membership::Change> const&) { rebuild(); }));
    Authority::Holder self { m_settings.daemon.name, Http::toString(m_settings.peers.listen), m_incarnation };
    AuthorityAgent::Hooks hooks;
    hooks.closeHere = [this](std::function<void()> onApplied) {
        rebuild();
        m_hooks.onApplied(std::move(onApplied));
    };
    m_authority = std::make_unique<AuthorityAgent>(m_context, *m_log, *m_engines, *m_peers, std::move(self), m_settings.platform.retryDelay, Roles::Settings(), std::move(hooks));
    createSnapshotWriters();
    return Core::ok();
}

void ControlPlane::createSnapshotWriters()
{
    SnapshotWriter::Hooks config;
    config.policy = [this] { return State::SnapshotPolicy { m_settings.platform.retainedRecords, std::chrono::seconds(0), snapshotRank() }; };
    config.nextOffset = [this] { return m_config->fold().nextOffset(); };
    config.coveredBelow = [this] { return m_config->fold().coveredBelow(); };
    config.snapshot = [this] { return m_config->fold().snapshot(); };
    SnapshotWriter::Hooks leases;
    leases.policy = config.policy;
    leases.nextOffset = [this] { return m_authority->leases().fold().nextOffset(); };
    leases.coveredBelow = [this] { return m_authority->leases().fold().coveredBelow(); };
    leases.snapshot = [this] { return m_authority->leases().fold().snapshot(); };
    m_snapshotWriters.push_back(std::make_unique<SnapshotWriter>(m_context, *m_log, configStream, std::move(config)));
    m_snapshotWriters.push_back(std::make_unique<SnapshotWriter>(m_context, *m_log, leaseStream, std::move(leases)));
}

// The place of this daemon among those that may write a snapshot: by name, among those that are present.
std::uint32_t ControlPlane::snapshotRank() const
{
    std::uint32_t rank = 0;
    for (Platform::Vm const& vm : m_entries)
        rank += vm.name < m_settings.daemon.name && takesWork(vm) ? 1 : 0;
    return rank;
}

void ControlPlane::start()
{
    m_config->start();
    m_membership->start();
    m_authority->start();
    for (std::unique_ptr<SnapshotWriter> const& writer : m_snapshotWriters)
        writer->start();
    boost::asio::co_spawn(
        m_context, [this] { return followVms(); }, Core::logUncaughtException);
    boost::asio::co_spawn(
        m_context, [this] { return tick(); }, Core::logUncaughtException);
}

void ControlPlane::stop()
{
    m_isStopped = true;
    m_config->stop();
    m_membership->stop();
    m_authority->stop();
    for (std::unique_ptr<SnapshotWriter> const& writer : m_snapshotWriters)
        writer->stop();
}

void ControlPlane::startLeaving()
{
    m_membership->startLeaving();
    rebuild();
}

void ControlPlane::leave(std::function<void()> onDone)
{
    m_authority->release([this, onDone = std::move(onDone)] {
        m_membership->leave();
        onDone();
    });
}

// What has no event of its own: load for peers, the mix for lease holders, closings that lapse.
boost::asio::awaitable<void> ControlPlane::tick()
{
    while (!m_isStopped) {
        co_await wait(tickInterval);
        if (m_isStopped)
            co_return;
        Membership::Load load;
        load.running = static_cast<std::uint32_t>(m_hooks.openRequests());
        m_membership->setLoad(load);
        reportMix();
        noteIsolation();
        bool isLapsed = std::any_of(m_closedForChange.begin(), m_closedForChange.end(), [this](std::string const& name) { return !m_authority->isClosed(name); });
        if (isLapsed)
            rebuild();
    }
}

// A daemon that hears nobody goes on with what it last knew: configuration, targets and members stay as they are, it
// gives no orders once its leases lapse, and it says so.
void ControlPlane::noteIsolation()
{
    bool isIsolated = m_membership->protocol().isIsolated(Clock::now());
    if (std::exchange(m_isIsolated, isIsolated) != isIsolated)
        Core::logEvent(isIsolated ? Core::Severity::Warning : Core::Severity::Info, Core::Event::IsolationChanged, { { "isolated", isIsolated ? "yes" : "no" } });
}

void ControlPlane::reportMix()
{
    for (std::pair<std::string const, Roles::MixCounts> const& it : m_hooks.takeMix()) {
        std::optional<boost::asio::ip::tcp::endpoint> holder = m_authority->holderAddress(it.first);
        if (!holder)
            continue;
        MixReport report { it.first, it.second };
        if (*holder == m_settings.peers.listen)
            m_authority->takeMix(report);
        else
            boost::asio::co_spawn(
                m_context, [this, endpoint = *holder, report] { return sendMix(endpoint, report); }, Core::logUncaughtException);
    }
}

// A report that is lost makes the mix look smaller for a moment; it is not sent again.
boost::asio::awaitable<void> ControlPlane::sendMix(boost::asio::ip::tcp::endpoint endpoint, MixReport report)
{
    std::shared_ptr<Peer::Client> client = m_peers->get(endpoint);
    std::ignore = co_await Peer::call(*client, mixPath, encode(report), peerTimeout);
}

void ControlPlane::handlePeerMessage(Peer::Request const& request, std::function<void(int status, std::string body)> reply)
{
    if (request.path == membershipPath) {
        Core::Result<std::string> answer = m_membership->handleMessage(request.body);
        reply(answer.has_value() ? okStatus : badRequestStatus, answer.has_value() ? answer.value() : std::string());
    } else if (request.path == closePath) {
        Core::Result<CloseRequest> close = decodeCloseRequest(request.body);
        if (close.has_error())
            reply(badRequestStatus, std::string());
        else
            m_authority->handleClose(close.value(), [reply = std::move(reply)](CloseReply const& answer) { reply(okStatus, encode(answer)); });
    } else if (request.path == mixPath) {
        Core::Result<MixReport> report = decodeMixReport(request.body);
        if (report.has_value())
            m_authority->takeMix(report.value());
        reply(report.has_value() ? okStatus : badRequestStatus, std::string());
    } else if (request.path == identityPath) {
        reply(okStatus, m_incarnation);
    } else if (request.path == progressPath) {
        reply(okStatus, std::to_string(m_config->fold().nextOffset()));
    } else {
        reply(notFoundStatus, std::string());
    }
}

boost::asio::awaitable<std::vector<DaemonProgress>> ControlPlane::askProgress()
{
    std::vector<DaemonProgress> progress;
    progress.push_back({ m_settings.daemon.name, m_config->fold().nextOffset() });
    std::vector<Platform::Vm> entries = m_entries;
    for (Platform::Vm const& vm : entries) {
        Membership::Member const* member = m_membership->find(vm.name);
        bool isPresent = member && member->isPresent();
        if (vm.name == m_settings.daemon.name || !isPresent)
            continue;
        std::shared_ptr<Peer::Client> client = m_peers->get(vm.address);
        Core::Result<Peer::Reply> reply = co_await Peer::call(*client, progressPath, std::string(), peerTimeout);
        DaemonProgress one { vm.name, std::nullopt };
        if (reply.has_value() && reply.value().status == okStatus)
            one.offset = std::strtoull(reply.value().body.c_str(), nullptr, 10);
        progress.push_back(std::move(one));
    }
    co_return progress;
}

boost::asio::awaitable<void> ControlPlane::wait(std::chrono::milliseconds duration)
{
    boost::asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

boost::asio::awaitable<void> ControlPlane::followVms()
{
    while (!m_isStopped) {
        Core::Result<std::vector<Platform::Vm>> vms = co_await m_vmList->read();
        if (m_isStopped)
            co_return;
        // While the list cannot be read the last one stays in force.
        m_vmListProblem = vms.has_error() ? vms.error().message : std::string();
        if (vms.has_value())
            takeVms(vms.value());
        co_await wait(m_settings.platform.vmsInterval);
    }
}

void ControlPlane::takeVms(std::vector<Platform::Vm> const& vms)
{
    std::vector<Platform::Vm> entries;
    std::vector<std::string> listed;
    bool isChanged = !std::exchange(m_hasVms, true);
    for (Platform::Vm const& vm : vms) {
        if (vm.kind == Platform::VmKind::Entry) {
            entries.push_back(vm);
            continue;
        }
        listed.push_back(vm.name);
        std::pair<std::map<std::string, TargetStatus>::iterator, bool> added = m_targets.try_emplace(vm.name);
        TargetStatus& status = added.first->second;
        if (added.second) {
            status.id = m_nextTargetId++;
            Core::logEvent(Core::Severity::Info, Core::Event::TargetAdded, { { "target", vm.name }, { "address", Http::toString(vm.address) }, { "availability_zone", vm.availabilityZone } });
        }
        isChanged = isChanged || added.second || status.vm != vm;
        status.vm = vm;
        if (vm.kind == Platform::VmKind::Engine && !std::exchange(status.isWatched, true))
            boost::asio::co_spawn(
                m_context, [this, name = vm.name] { return watch(name); }, Core::logUncaughtException);
    }
    std::size_t removed = std::erase_if(m_targets, [&](std::pair<std::string const, TargetStatus> const& it) {
        bool isGone = std::find(listed.begin(), listed.end(), it.first) == listed.end();
        if (isGone)
            Core::logEvent(Core::Severity::Info, Core::Event::TargetRemoved, { { "target", it.first } });
        return isGone;
    });
    isChanged = isChanged || removed > 0 || entries != m_entries;
    m_entries = std::move(entries);
    m_membership->takeVms(m_entries);
    if (isChanged)
        rebuild();
}

boost::asio::awaitable<void> ControlPlane::watch(std::string name)
{
    while (!m_isStopped) {
        std::map<std::string, TargetStatus>::iterator it = m_targets.find(name);
        if (it == m_targets.end())
            co_return;
        Authority::Time readAt = Core::BootClock::now();
        Core::Result<Platform::EngineState> state = co_await m_engines->state(it->second.vm.address);
        it = m_targets.find(name);
        if (m_isStopped || it == m_targets.end())
            co_return;
        takeState(it->second, state);
        if (state.has_value())
            m_authority->observeEngine(it->second.vm.pool, name, state.value(), readAt);
        co_await wait(m_settings.platform.stateInterval);
    }
}

void ControlPlane::takeState(TargetStatus& status, Core::Result<Platform::EngineState> const& state)
{
    if (state.has_error()) {
        ++status.failures;
        if (status.failures != failuresUntilUnreachable)
            return;
        Core::logEvent(Core::Severity::Warning, Core::Event::TargetUnreachable, { { "target", status.vm.name }, { "error", state.error().message } });
        rebuild();
        return;
    }
    bool isChanged = status.failures >= failuresUntilUnreachable || !status.state || status.state->role != state.value().role || status.state->phase != state.value().phase || status.state->incarnation != state.value().incarnation || status.state->model != state.value().model;
    if (status.failures >= failuresUntilUnreachable)
        Core::logEvent(Core::Severity::Info, Core::Event::TargetRecovered, { { "target", status.vm.name } });
    status.failures = 0;
    status.state = state.value();
    Routing::LoadReport report { Clock::now() - state.value().asOfAge, state.value().running, state.value().waiting, state.value().waitingPromptTokens, state.value().kvUsedTokens, state.value().kvCapacityTokens };
    m_hooks.report(status.id, report);
    if (isChanged)
        rebuild();
}

}
