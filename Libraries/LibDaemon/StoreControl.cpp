#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/StoreControl.h>
#include <LibRouting/PromptHomes.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>
#include <tuple>
#include <utility>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

constexpr std::chrono::milliseconds configurationInterval { 50 };
// Heartbeats that change nothing are no records of the topic.
constexpr std::chrono::milliseconds targetInterval { 150 };
// Daemons tell each other of themselves; the store only brings the first ones together.
constexpr std::chrono::milliseconds daemonWait { 0 };
constexpr std::chrono::milliseconds daemonInterval { 2'000 };
// A peer that cannot be connected to within this is passed over; the store is asked instead.
constexpr std::chrono::milliseconds peerConnectTimeout { 300 };
constexpr std::chrono::milliseconds readSlack { 500 };
constexpr std::chrono::milliseconds tickInterval { 100 };
constexpr std::chrono::milliseconds unlistTimeout { 500 };
// Records for peers may use the VM's link divided by this; the rest is for callers' requests and this daemon's own calls.
constexpr std::uint64_t uploadShareDivisor = 4;
// The same for beacons, which are short and carry what bounds depend on. A quarter of the link is left when both are sent.
constexpr std::uint64_t beaconShareDivisor = 2;
// Least time between two chunks of records for peers.
constexpr std::chrono::milliseconds chunkInterval { 5 };

// A store or an engine that is slow answers within this; one that does not is asked again.
constexpr std::chrono::milliseconds answerTime { 1'000 };

Http::ClientSettings storeClient(std::chrono::milliseconds wait)
{
    Http::ClientSettings settings;
    settings.connectTimeout = std::chrono::milliseconds(500);
    settings.headTimeout = wait + readSlack;
    settings.pieceTimeout = readSlack;
    settings.writeTimeout = readSlack;
    settings.liveness = { std::chrono::milliseconds(1'000), std::chrono::seconds(1), 2 };
    settings.onSilence = Http::OnSilence::Fail; // What became of a call is read from the store.
    return settings;
}

std::chrono::milliseconds longestWait(Settings::DaemonSettings::Platform const& platform)
{
    std::chrono::milliseconds newsWithin = std::max(platform.newsWithin, platform.leavingWithin);
    return Fleet::TopicFollowerSettings::create({}, newsWithin).wait;
}

}

StoreControl::StoreControl(boost::asio::io_context& context, Settings::DaemonSettings const& settings, Adapters const& adapters, Quarantine::Guard& guard)
    : m_context(context)
    , m_settings(settings)
    , m_adapters(adapters)
    , m_storeAddress(settings.platform.store)
    , m_dutyAddress(settings.duties.service)
    , m_listHold(settings.callers.listHold)
    , m_client(Http::Client::create(context, storeClient(answerTime)))
    , m_waitingClient(Http::Client::create(context, storeClient(longestWait(settings.platform))))
    , m_store(adapters.createStore(*m_client, [this] { return m_storeAddress; }))
    , m_waitingStore(adapters.createStore(*m_waitingClient, [this] { return m_storeAddress; }))
    , m_engines(adapters.createEngineControl(*m_client))
    , m_guard(guard)
    , m_fleet(std::make_shared<FleetSnapshot>())
    , m_listConfirmedAt(std::make_shared<std::atomic<Clock::time_point>>())
    , m_configConfirmedAt(std::make_shared<std::atomic<Clock::time_point>>())
{
}

Core::Result<std::unique_ptr<StoreControl>> StoreControl::create(boost::asio::io_context& context, Settings::DaemonSettings const& settings, Adapters const& adapters, Quarantine::Guard& guard, Duties::UsageCounter& usage, Streams::OriginBook& origins, std::uint64_t incarnation, Hooks hooks)
{
    std::unique_ptr<StoreControl> control(new StoreControl(context, settings, adapters, guard));
    BOOST_OUTCOME_TRY(control->setUp(usage, origins, incarnation, std::move(hooks)));
    return control;
}

Core::Result<void> StoreControl::setUp(Duties::UsageCounter& usage, Streams::OriginBook& origins, std::uint64_t incarnation, Hooks hooks)
{
    m_hooks = std::move(hooks);
    Platform::ListedDaemon self { m_settings.daemon.name, incarnation, m_settings.daemon.availabilityZone, m_settings.daemon.region, m_settings.callers.listen, { m_settings.peers.beacon.address(), m_settings.peers.beacon.port() }, m_settings.peers.listen };
    BeaconExchange::Hooks beacons { [this](BeaconKind kind) { return describe(kind); }, [this](BeaconMessage const& beacon) { takeBeacon(beacon); }, [this] { return m_wasReading; }, [this](std::string_view notes) { m_streams->takeNotes(notes, Clock::now()); } };
    BOOST_OUTCOME_TRY(m_beacons, BeaconExchange::create(m_context, self, m_settings.peers.bytesPerSecond() / beaconShareDivisor, std::move(beacons)));
    Peer::Settings peers;
    peers.senderName = self.name;
    peers.senderIncarnation = incarnation;
    peers.connectTimeout = peerConnectTimeout;
    Fleet::RecordUploadSettings uploads;
    uploads.bytesPerSecond = m_settings.peers.bytesPerSecond() / uploadShareDivisor;
    uploads.chunkBytes = std::max<std::size_t>(uploads.chunkBytes, uploads.bytesPerSecond * chunkInterval.count() / std::milli::den);
    RecordExchange::Hooks records { [this](RecordsRequest const& request) { return extract(request); }, [this](Platform::StoreTopic topic, std::uint64_t offset) { return findVersion(topic, offset); } };
    BOOST_OUTCOME_TRY(m_records, RecordExchange::create(m_context, self.peerAddress, peers, uploads, std::move(records)));
    RoleKeeper::Hooks roles { [this] { return plansRoles(); }, [this] { m_isTargetListChanged = true; }, [this] { m_beacons->sendNow(); }, [this](std::string const& service) { return demandOf(service); }, m_hooks.slowness, [this](std::string const& service) { return m_engineNumbers && m_engineNumbers->isFirstSizing(service, Clock::now()); }, [this](std::uint64_t target) { noteLeaving(target); }, [this] { m_roles->poll(*m_fleet, m_unreachable); } };
    Authority::StoreLeaseSettings leases;
    leases.quietTime = m_settings.platform.leaseQuiet;
    leases.isFenced = m_settings.platform.areOrdersFenced;
    m_engineLeases = std::make_unique<StoreLeases>(m_context, *m_store, Authority::StoreLeaseHolder { self.name, incarnation }, leases, m_hooks.countStoreCall);
    Roles::SplitSettings split = m_settings.split;
    split.putsFastWhereLongest = m_settings.routing.learnsPace;
    m_roles = std::make_unique<RoleKeeper>(m_context, *m_engineLeases, *m_engines, split, std::move(roles));
    if (m_settings.duties.service.port() != 0)
        createDuties(usage);
    QuarantineExchange::Hooks quarantine { [this] { m_beacons->sendSoon(); }, [this] { becomeReady(); }, m_hooks.countStoreCall, [this] { return m_targetList.follower->asOf().value_or(m_startedAt); } };
    m_quarantine = std::make_unique<QuarantineExchange>(m_context, m_guard, *m_store, *m_records, m_beacons->book(), self.name, std::move(quarantine));
    createStreams(origins);
    createTopics();
    // While another daemon's reads are answered, it is this one that is cut off, not the store that is away.
    m_targetList.onFailure = [this] {
        if (!m_view.hasLiveReader)
            m_targets.noteFailure(Clock::now());
    };
    return Core::ok();
}

void StoreControl::createStreams(Streams::OriginBook& origins)
{
    StreamExchange::Hooks hooks;
    hooks.requestBeacon = [this] { m_beacons->sendSoon(); };
    hooks.onReleases = [this] {
        rebuild();
        becomeReady();
    };
    hooks.countStoreCall = m_hooks.countStoreCall;
    hooks.send = [this](boost::asio::ip::udp::endpoint const& address, std::string const& bytes) { m_beacons->sendNotes(address, bytes); };
    m_streams = std::make_unique<StreamExchange>(m_context, origins, *m_store, m_beacons->book(), m_settings.daemon.name, std::move(hooks));
}

void StoreControl::createTopics()
{
    std::function<bool(Fleet::DaemonState const&)> isConfigurationNews = [this](Fleet::DaemonState const& said) { return said.configVersion > configVersion(); };
    std::function<bool(Fleet::DaemonState const&)> isTargetNews = [this](Fleet::DaemonState const& said) { return said.targetsChanged > m_targetList.follower->replica().nextOffset(); };
    m_configuration.topic = Platform::StoreTopic::Configuration;
    m_configuration.onRecord = [this](Platform::KeyedRecord const& record) { takeConfiguration(record); };
    m_targetList.topic = Platform::StoreTopic::Targets;
    m_targetList.firstStep = StartStep::Targets;
    m_targetList.onRecord = [this](Platform::KeyedRecord const& record) {
        if (takeTarget(record))
            m_targetList.newsOffset = std::max(m_targetList.newsOffset, record.offset + 1);
    };
    m_targetList.onRead = [this] { m_targets.noteRead(Clock::now()); };
    m_daemonList.topic = Platform::StoreTopic::Daemons;
    m_daemonList.firstStep = StartStep::Met;
    m_daemonList.onRecord = [this](Platform::KeyedRecord const& record) { takeDaemon(record); };
    setFollower(m_configuration, Fleet::TopicFollowerSettings::create({ configurationInterval }, m_settings.platform.newsWithin), isConfigurationNews, [](Fleet::DaemonState const& said) { return said.configAge; });
    setFollower(m_targetList, Fleet::TopicFollowerSettings::create({ targetInterval }, m_settings.platform.leavingWithin), isTargetNews, [](Fleet::DaemonState const& said) { return said.targetsAge; });
    Fleet::TopicFollowerSettings daemonList;
    daemonList.pace = { daemonInterval, false };
    daemonList.wait = daemonWait;
    setFollower(m_daemonList, daemonList, [](Fleet::DaemonState const&) { return false; }, [](Fleet::DaemonState const&) { return std::nullopt; });
}

void StoreControl::setFollower(Followed& topic, Fleet::TopicFollowerSettings settings, Fleet::TopicFollower::NewsTest isNews, Fleet::TopicFollower::AgeOf ageOf)
{
    settings.daemon = m_settings.daemon.name;
    settings.availabilityZone = m_settings.daemon.availabilityZone;
    topic.isToldByPeers = settings.pace.isToldByPeers;
    topic.queryTimeout = settings.staleAfter;
    topic.follower = std::make_unique<Fleet::TopicFollower>(settings, std::move(isNews), std::move(ageOf), std::random_device()());
    topic.turn = std::make_unique<boost::asio::steady_timer>(m_context);
    topic.news = std::make_unique<boost::asio::steady_timer>(m_context);
}

void StoreControl::start()
{
    m_startedAt = Clock::now();
    m_meeting.emplace(m_settings.daemon.name, m_startedAt);
    m_beacons->start();
    for (Followed* topic : { &m_configuration, &m_targetList }) {
        boost::asio::co_spawn(
            m_context, [this, topic] { return learn(*topic); }, Core::logUncaughtException);
        boost::asio::co_spawn(
            m_context, [this, topic] { return follow(*topic); }, Core::logUncaughtException);
    }
    boost::asio::co_spawn(
        m_context, [this] { return meetOthers(); }, Core::logUncaughtException);
    boost::asio::co_spawn(
        m_context, [this] { return tick(); }, Core::logUncaughtException);
}

void StoreControl::stop()
{
    m_isStopped = true;
    wakeTopics();
    m_roles->stop();
    m_engineLeases->stop();
    stopDuties();
    m_quarantine->stop();
    m_streams->stop();
    m_beacons->stop();
}

void StoreControl::change(Settings::DaemonSettings const& settings)
{
    m_storeAddress = settings.platform.store;
    m_dutyAddress = settings.duties.service;
    m_listHold = settings.callers.listHold;
}

void StoreControl::startLeaving()
{
    m_isLeaving = true;
    m_roles->stop();
    stopDuties();
    m_beacons->sendNow();
}

void StoreControl::leave(std::function<void()> onDone)
{
    m_beacons->sendNow();
    boost::asio::co_spawn(
        m_context, [this, onDone = std::move(onDone)]() { return unlistSelf(onDone); }, Core::logUncaughtException);
}

boost::asio::awaitable<void> StoreControl::wait(std::chrono::milliseconds duration)
{
    boost::asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

// A daemon that is gone costs the others a few datagrams until they forget it, so one try is enough.
boost::asio::awaitable<void> StoreControl::unlistSelf(std::function<void()> onDone)
{
    std::shared_ptr<std::function<void()>> once = std::make_shared<std::function<void()>>(std::move(onDone));
    std::function<void()> done = [once] {
        if (*once)
            std::exchange(*once, nullptr)();
    };
    std::shared_ptr<boost::asio::steady_timer> limit = std::make_shared<boost::asio::steady_timer>(m_context, unlistTimeout);
    limit->async_wait([limit, done](boost::system::error_code) { done(); });
    m_hooks.countStoreCall(Fleet::StoreCallReason::Listing);
    std::ignore = co_await m_store->append(Platform::StoreTopic::Daemons, m_settings.daemon.name, std::string(), std::nullopt);
    done();
}

void StoreControl::noteProblem(Followed& topic, std::string problem)
{
    bool wasGood = topic.problem.empty();
    topic.problem = std::move(problem);
    if (wasGood == topic.problem.empty())
        return;
    std::string name(Core::nameOf(Platform::storeTopicNames, topic.topic));
    if (wasGood)
        Core::logEvent(Core::Severity::Warning, Core::Event::LogUnavailable, { { "stream", name }, { "next", std::to_string(topic.follower->replica().nextOffset()) }, { "error", topic.problem } });
    else
        Core::logEvent(Core::Severity::Info, Core::Event::LogRecovered, { { "stream", name }, { "next", std::to_string(topic.follower->replica().nextOffset()) } });
}

BeaconMessage StoreControl::describe(BeaconKind kind) const
{
    BeaconMessage beacon;
    Clock::time_point now = Clock::now();
    beacon.state.isLeaving = m_isLeaving;
    beacon.state.runningFor = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_startedAt);
    beacon.state.startedAt = m_ownStart.value_or(std::chrono::milliseconds(0));
    beacon.state.configVersion = configVersion();
    beacon.state.targetsChanged = m_targetList.newsOffset;
    beacon.state.isReading = isReading();
    beacon.state.cannotPlan = m_engineLeases->isBarred() || m_isOutOfTouch;
    beacon.state.leaseClaimed = newestClaim();
    beacon.state.cannotHoldDuties = m_dutyLeases && (m_dutyLeases->isBarred() || m_isOutOfTouch);
    beacon.state.storeFailingFor = storeFailingFor();
    beacon.state.configAge = m_configuration.follower->ownReadAge(now);
    beacon.state.targetsAge = m_targetList.follower->ownReadAge(now);
    beacon.shares = m_hooks.openWork();
    beacon.changingTo = m_roles->changing();
    for (std::pair<std::uint64_t const, Routing::TargetRole> const& it : beacon.changingTo)
        beacon.changing.push_back(it.first);
    beacon.leaving = m_leaving.own();
    beacon.rateLimits = m_hooks.rateLimitReports();
    beacon.placeDemands = m_hooks.placeDemands();
    beacon.suspects = m_hooks.suspects();
    beacon.paths = m_hooks.paths();
    if (kind == BeaconKind::ToAll) {
        beacon.outcomes = m_hooks.takeOutcomes();
        beacon.heldParts = m_hooks.takeHeldParts();
        beacon.paceSamples = m_hooks.takePaceSamples();
        beacon.partUses = m_hooks.takePartUses();
    }
    beacon.services = m_hooks.serviceReports();
    beacon.lapseGrace = m_targets.graceLeft(now);
    m_quarantine->describe(beacon, now);
    m_streams->describe(beacon);
    if (m_usage) {
        m_usage->noteOutcomes(beacon.outcomes, now);
        m_usage->describe(beacon, now);
    }
    if (m_engineNumbers)
        beacon.sizedDemands = m_engineNumbers->demands();
    return beacon;
}

boost::asio::awaitable<void> StoreControl::tick()
{
    while (!m_isStopped) {
        co_await wait(tickInterval);
        if (m_isStopped)
            co_return;
        Clock::time_point now = Clock::now();
        refreshView(now);
        bool isLapsed = m_targets.expire(now);
        bool isOpened = m_changing.expire(now);
        findUnreachable(now);
        pollPaths(now);
        pollDuties(now);
        m_hooks.updateShares();
        m_roles->poll(*m_fleet, m_unreachable);
        // Before the first beacons each daemon takes itself for the only one.
        m_quarantine->tick(m_view.isReader && m_targetList.follower->replica().isComplete(), now);
        m_streams->tick(m_view.isReader && m_targetList.follower->replica().isComplete(), m_isLeaving, now);
        if (std::exchange(m_isTargetListChanged, false) || isLapsed || isOpened)
            rebuild();
        becomeReady();
        // Beacons tell of all that are heard within a second, also while the store is away.
        if (m_daemonList.follower->replica().isComplete() || now - m_startedAt > unlistedDaemonsTime)
            shareAmongDaemons(now);
    }
}

void StoreControl::refreshView(Clock::time_point now)
{
    Fleet::SiteView before = std::exchange(m_view, m_beacons->book().view(m_settings.daemon.name, now));
    if (before.isReader != m_view.isReader || before.hasLiveReader != m_view.hasLiveReader || m_configuration.follower->hasNews(m_view) || m_targetList.follower->hasNews(m_view))
        wakeTopics();
    // Whoever starts, or has lost its reader, waits for just this.
    if (isReading() != m_wasReading) {
        m_wasReading = !m_wasReading;
        m_beacons->sendNow();
    }
}

void StoreControl::wakeTopics()
{
    for (Followed* topic : topics()) {
        topic->turn->cancel();
        topic->news->cancel();
    }
}

std::size_t StoreControl::liveDaemons() const
{
    return m_beacons->book().liveCount(Clock::now());
}

std::optional<std::chrono::milliseconds> StoreControl::targetListAge() const
{
    return m_targetList.follower->age(Clock::now());
}

std::chrono::milliseconds StoreControl::storeReadAge() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_targetList.follower->readAt());
}

EntryList StoreControl::entries() const
{
    EntryList list;
    list.hold = m_listHold;
    if (!m_isLeaving && !m_isOutOfTouch)
        list.addresses.push_back(Http::toString(m_settings.callers.listen));
    std::vector<std::string> cutOff;
    for (Fleet::BookedDaemon const* daemon : m_beacons->book().usable(Clock::now()))
        (isCutOff(daemon->listed.name) ? cutOff : list.addresses).push_back(Http::toString(daemon->listed.callerAddress));
    // Callers of daemons that are cut off are served by way of the others. Where there are no others, every address counts.
    if (list.addresses.empty())
        list.addresses = std::move(cutOff);
    return list;
}

}
