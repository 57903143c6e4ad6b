#pragma once

#include <LibDaemon/Adapters.h>
#include <LibDaemon/BeaconExchange.h>
#include <LibDaemon/Control.h>
#include <LibDaemon/EngineKeeper.h>
#include <LibDaemon/PathBook.h>
#include <LibDaemon/QuarantineExchange.h>
#include <LibDaemon/RecordExchange.h>
#include <LibDaemon/RoleKeeper.h>
#include <LibDaemon/StartStep.h>
#include <LibDaemon/StreamExchange.h>
#include <LibDaemon/UsageKeeper.h>
#include <LibFleet/ChangingTargets.h>
#include <LibFleet/FirstMeeting.h>
#include <LibFleet/LeavingTargets.h>
#include <LibFleet/TargetBook.h>
#include <LibFleet/TopicFollower.h>
#include <LibHttp/Client.h>
#include <LibSettings/DaemonSettings.h>
#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Daemon {

/// The control side where the platform's store keeps the configuration, the targets and the daemons as keyed records:
/// docs/design/platform.md. Use from the control thread only.
class StoreControl final : public Control {
public:
    struct Hooks {
        std::function<void(FleetPointer)> publish;
        std::function<void(State::CallerLimits const&)> setLimits; ///< Called when the operators' limits change.
        std::function<std::vector<Routing::TargetShare>()> openWork;
        std::function<void(std::string const& peer, std::vector<Routing::TargetShare> const&, std::chrono::milliseconds lifetime)> takePeerWork;
        std::function<std::vector<Routing::OutcomeCounts>()> takeOutcomes; ///< How requests ended since the last call.
        std::function<void(std::vector<Routing::OutcomeCounts> const&)> takePeerOutcomes;
        std::function<std::vector<Routing::HeldPart>()> takeHeldParts; ///< Shared parts sent to targets first by this daemon.
        std::function<void(std::vector<Routing::HeldPart> const&)> takePeerParts;
        std::function<std::vector<Routing::PaceSample>()> takePaceSamples; ///< How fast targets were in this daemon's answers since the last call.
        std::function<void(std::vector<Routing::PaceSample> const&)> takePeerPaces;
        std::function<std::vector<Admission::PlaceDemand>()> placeDemands; ///< This daemon's, on places that may become scarce.
        std::function<void(std::string const& peer, std::vector<Admission::PlaceDemand> const&, std::chrono::milliseconds lifetime)> takePeerPlaceDemands;
        std::function<void()> updateShares; ///< Called ten times a second.
        std::function<std::vector<Routing::PartUse>()> takePartUses; ///< How often this daemon's requests asked for shared parts since the last call.
        std::function<void(std::vector<Routing::PartUse> const&)> takePeerPartUses;
        std::function<std::vector<Routing::ServiceReport>()> serviceReports; ///< What this daemon's requests ask of engines.
        std::function<void(std::string const& peer, std::vector<Routing::ServiceReport> const&)> takePeerReports;
        std::function<double(std::uint64_t target, Routing::TargetRole)> slowness; ///< Of a target's key in a role, as learnt.
        std::function<std::vector<std::uint64_t>()> suspects; ///< Keys of targets that this daemon could not reach lately.
        std::function<std::vector<Routing::PathCounts>()> paths; ///< To how many targets this daemon could connect lately.
        std::function<bool(std::vector<Routing::PathCounts> const&)> isCutOff; ///< Whether a daemon with these counts is cut off from some service.
        std::function<bool()> needsRelays; ///< Whether this daemon reaches few of the targets of some service.
        std::function<void(std::vector<RelayPeer>)> setRelayPeers; ///< Takes the daemons that may serve requests in place of this one.
        std::function<void()> probePaths; ///< Has targets probed that this daemon could not reach, where that is due.
        std::function<std::set<std::uint64_t>(std::vector<Routing::PathReport> const&, std::size_t live, std::chrono::milliseconds settle)> decideUnreachable; ///< As `PathBook`.
        std::function<void(std::set<std::uint64_t>)> setAvoided; ///< Takes those that enough daemons cannot reach.
        std::function<void(std::size_t daemons)> setDaemons; ///< How many daemons share the site's budgets.
        std::function<void(std::vector<std::string> const& others)> setSharers; ///< Names of the other daemons that share the rate limits of targets.
        std::function<std::vector<Routing::RateLimitReport>()> rateLimitReports; ///< Rate limits that targets have stated to this daemon.
        std::function<void(std::string const& peer, std::vector<Routing::RateLimitReport> const&)> takePeerRateLimits;
        std::function<void(Fleet::StoreCallReason)> countStoreCall;
        std::function<void(std::vector<std::uint64_t> const&)> onTargetsGone; ///< Takes the keys of targets that went without a word.
    };

    /// Preconditions: context, settings, adapters and books outlive the object. Errors: Unavailable when the beacons' address
    /// cannot be bound.
    static Core::Result<std::unique_ptr<StoreControl>> create(boost::asio::io_context&, Settings::DaemonSettings const&, Adapters const&, Quarantine::Guard&, Duties::UsageCounter&, Streams::OriginBook&, std::uint64_t incarnation, Hooks);

    void start() override;
    void stop() override;
    void startLeaving() override;
    void leave(std::function<void()> onDone) override;

    /// Takes over what may change while the daemon runs: the store's address and how long callers keep the list.
    void change(Settings::DaemonSettings const&);

    /// Notes that a target has said in an answer that it leaves.
    void noteLeaving(std::uint64_t target);

    /// Returns the daemons that callers may use now.
    EntryList entries() const;

    /// Whether this daemon takes requests.
    bool isReady() const { return m_fleet->isReady && !m_isLeaving; }

    FleetPointer const& fleet() const { return m_fleet; }
    std::uint64_t configVersion() const { return m_services ? m_services->version : 0; }
    std::size_t liveDaemons() const; ///< This one included.
    std::size_t unsentRecordBytes() const { return m_records->pendingBytes(); } ///< That wait to be sent to peers.
    std::chrono::milliseconds storeReadAge() const; ///< Since the list of targets was last read from the store.
    std::optional<std::chrono::milliseconds> targetListAge() const; ///< How old this daemon's list may be, whoever told it.
    RoleKeeper const& roles() const { return *m_roles; }
    QuarantineExchange& quarantine() { return *m_quarantine; }
    StreamExchange& streams() { return *m_streams; }
    StoreLeases const& engineLeases() const { return *m_engineLeases; }
    UsageKeeper const* usage() const { return m_usage.get(); } ///< Null: usage is not reported.
    EngineKeeper const* engineNumbers() const { return m_engineNumbers.get(); } ///< Null: no engines are ordered.
    std::vector<std::string> const& elders() const { return m_elders; } ///< The first of them has the singleton duties.
    bool hasDuties() const; ///< Whether this daemon should carry out the singleton duties.
    std::optional<std::uint64_t> dutyFencing() const { return m_dutyCalls ? m_dutyCalls->fencing() : std::nullopt; }

private:
    using RecordHook = std::function<void(Platform::KeyedRecord const&)>;

    /// Without the store's list of daemons, their number is taken from beacons after this: the longest interval between two at the
    /// users' two-year size.
    static constexpr std::chrono::milliseconds unlistedDaemonsTime { 3'000 };
    /// A daemon that knows the configuration and the targets takes requests after this also without knowing the suspected ones.
    static constexpr std::chrono::milliseconds longestCatchUp { 3'000 };
    static constexpr std::chrono::milliseconds retryDelay { 200 }; ///< After a call to the store that failed; it counts calls.

    /// A topic that is followed for ever.
    struct Followed {
        Platform::StoreTopic topic { Platform::StoreTopic::Configuration };
        bool isToldByPeers { true };
        StartStep firstStep { StartStep::Configuration }; ///< Done once the topic is known whole.
        RecordHook onRecord;
        std::function<void()> onRead { [] { } }; ///< Called after each read that succeeded, ahead of its records.
        std::function<void()> onFailure { [] { } }; ///< Called after each read that failed.
        std::unique_ptr<Fleet::TopicFollower> follower; ///< Set once the daemon's hooks are.
        std::chrono::milliseconds queryTimeout { 0 }; ///< Of a query to a peer; by then this daemon reads the store itself.
        std::uint64_t newsOffset { 0 }; ///< Behind the last record that changed anything.
        std::string problem; ///< Why it cannot be read now; empty while it can.
        std::unique_ptr<boost::asio::steady_timer> turn; ///< Waits for the next read; cancelled when that may be due.
        std::unique_ptr<boost::asio::steady_timer> news; ///< Waits for news to ask for; cancelled when there may be some.
    };

    StoreControl(boost::asio::io_context&, Settings::DaemonSettings const&, Adapters const&, Quarantine::Guard&);
    Core::Result<void> setUp(Duties::UsageCounter&, Streams::OriginBook&, std::uint64_t incarnation, Hooks);
    void createStreams(Streams::OriginBook&);
    void setStreamRoutes();
    void stopDuties();
    bool isFitForDuties(Core::BootClock::time_point now) const;
    std::chrono::milliseconds startInFleetTime() const;
    bool plansRoles() const;
    std::uint64_t newestClaim() const;
    void createDuties(Duties::UsageCounter&);
    void createTopics();
    void setFollower(Followed&, Fleet::TopicFollowerSettings, Fleet::TopicFollower::NewsTest, Fleet::TopicFollower::AgeOf);
    boost::asio::awaitable<void> learn(Followed&);
    boost::asio::awaitable<void> follow(Followed&);
    boost::asio::awaitable<void> waitFor(boost::asio::steady_timer&, Core::BootClock::duration);
    boost::asio::awaitable<void> readFromStore(Followed&, Fleet::StoreRead);
    boost::asio::awaitable<Core::Result<std::vector<Platform::KeyedRecord>>> call(Followed&, Fleet::StoreRead);
    boost::asio::awaitable<void> ask(Followed&, Fleet::PeerQuery);
    void apply(Followed&, std::vector<Platform::KeyedRecord> const&, bool wasComplete);
    Core::Result<RecordsAnswer> extract(RecordsRequest const&) const;
    Followed const* find(Platform::StoreTopic) const;
    std::string const* findVersion(Platform::StoreTopic, std::uint64_t offset) const;
    Core::BootClock::duration timeToNextQuery(Followed const&);
    boost::asio::awaitable<void> waitToMeet(Followed const&, boost::asio::steady_timer&);
    boost::asio::awaitable<void> meetOthers();
    boost::asio::awaitable<void> findOthers();
    bool hasMetPlanner() const;
    void becomeReady();
    void noteStartStep(StartStep);
    std::array<Followed*, 3> topics() { return { &m_configuration, &m_targetList, &m_daemonList }; }
    void wakeTopics();
    void publishAge();
    static std::string ageOf(Followed const&); ///< For logs.
    void pollDuties(Core::BootClock::time_point now);
    void refreshView(Core::BootClock::time_point now);
    std::chrono::milliseconds storeFailingFor() const;
    boost::asio::awaitable<void> listSelf();
    boost::asio::awaitable<void> unlistSelf(std::function<void()> onDone);
    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<void> wait(std::chrono::milliseconds);
    void noteProblem(Followed&, std::string);
    void takeConfiguration(Platform::KeyedRecord const&);
    bool takeTarget(Platform::KeyedRecord const&);
    bool takeUnusableEntry(Platform::KeyedRecord const&, Core::Error const&);
    void takeDaemon(Platform::KeyedRecord const&);
    void takeBeacon(BeaconMessage const&);
    BeaconMessage describe(BeaconKind) const;
    bool isReading() const;
    Roles::SplitDemand demandOf(std::string const& service) const;
    void findUnreachable(Core::BootClock::time_point now);
    std::vector<Routing::PathReport> pathReports(Core::BootClock::time_point now) const;
    void logAvoided() const;
    void pollPaths(Core::BootClock::time_point now);
    bool isCutOff(std::string const& peer) const;
    void leaveTargetsToPeers(bool isOutOfTouch);
    std::vector<RelayPeer> relayPeers(Core::BootClock::time_point now) const;
    bool knowsEnough(Core::BootClock::time_point now) const;
    bool hasHeardPeers(Core::BootClock::time_point now) const;
    void rebuild();
    void shareAmongDaemons(Core::BootClock::time_point now);
    void noteTargetsGone(FleetSnapshot const&);
    FleetTarget describeTarget(Fleet::BookedTarget const&);
    bool isLeaving(Fleet::BookedTarget const& target, std::uint64_t key) const { return target.listed.isLeaving || m_leaving.contains(key) || m_replacedTargets.contains(target.listed.id); }
    std::set<std::string> findReplacedTargets() const;
    std::set<boost::asio::ip::tcp::endpoint> findDaemonAddresses(Core::BootClock::time_point now) const;
    void logDaemonAddress(Platform::ListedTarget const&);
    std::optional<Routing::TargetRole> nextRole(Fleet::BookedTarget const&, std::uint64_t key) const;
    std::string whyClosed(Fleet::BookedTarget const&, std::uint64_t key) const;

    boost::asio::io_context& m_context;
    Settings::DaemonSettings const& m_settings;
    Adapters const& m_adapters;
    boost::asio::ip::tcp::endpoint m_storeAddress;
    boost::asio::ip::tcp::endpoint m_dutyAddress;
    std::chrono::milliseconds m_listHold;
    Hooks m_hooks;
    std::unique_ptr<Http::Client> m_client;
    std::unique_ptr<Http::Client> m_waitingClient;
    std::unique_ptr<Platform::KeyedStore> m_store;
    std::unique_ptr<Platform::KeyedStore> m_waitingStore; ///< For reads that wait for news.
    std::unique_ptr<Platform::EngineControl> m_engines;
    std::unique_ptr<BeaconExchange> m_beacons;
    std::unique_ptr<RecordExchange> m_records;
    std::unique_ptr<StoreLeases> m_engineLeases;
    std::unique_ptr<RoleKeeper> m_roles;
    // Only where the platform has a service for singleton duties.
    std::unique_ptr<Platform::DutyService> m_dutyService;
    std::unique_ptr<StoreLeases> m_dutyLeases;
    std::unique_ptr<DutyCalls> m_dutyCalls;
    std::unique_ptr<UsageKeeper> m_usage;
    std::unique_ptr<EngineKeeper> m_engineNumbers;
    std::vector<std::string> m_elders;
    std::optional<std::chrono::milliseconds> m_ownStart; ///< As `Fleet::DaemonState::startedAt`.
    std::optional<Core::BootClock::time_point> m_startReportedAt; ///< When `m_ownStart` was first reported to peers.
    Quarantine::Guard& m_guard;
    std::unique_ptr<QuarantineExchange> m_quarantine;
    std::unique_ptr<StreamExchange> m_streams;
    Followed m_configuration;
    Followed m_targetList;
    Followed m_daemonList;
    std::shared_ptr<State::ServiceConfig const> m_services;
    std::shared_ptr<State::Config const> m_labels;
    Fleet::TargetBook m_targets;
    std::set<std::string> m_streamServices; ///< Services of routes whose streams may go on at another target.
    std::set<std::string> m_replacedTargets; ///< Ids of targets whose address another one has taken.
    std::set<std::size_t> m_unusableEntries; ///< Hashes of the ids of targets whose newest entry cannot be used: an id may be long.
    std::map<std::uint64_t, std::uint32_t> m_targetIds; ///< By key.
    std::uint32_t m_nextTargetId { 0 };
    std::map<std::string, std::vector<std::uint64_t>> m_suspects; ///< By peer, as last said.
    std::map<std::string, std::vector<Routing::PathCounts>> m_peerPaths; ///< Likewise.
    std::map<std::string, std::vector<Routing::ServiceReport>> m_reports; ///< Likewise.
    std::set<std::uint64_t> m_unreachable; ///< Targets that enough daemons cannot reach.
    Fleet::ChangingTargets m_changing; ///< As peers said.
    Fleet::LeavingTargets m_leaving; ///< As they themselves said.
    FleetPointer m_fleet;
    std::shared_ptr<std::atomic<Core::BootClock::time_point>> m_listConfirmedAt; ///< As snapshots of the fleet have it,
    std::shared_ptr<std::atomic<Core::BootClock::time_point>> m_configConfirmedAt; ///< and the same of the configuration.
    Core::BootClock::time_point m_startedAt;
    std::optional<Fleet::FirstMeeting> m_meeting; ///< Set by `start`.
    std::set<StartStep> m_startSteps; ///< The steps that are done.
    bool m_hasToldStart { false }; ///< The others were told that this daemon has all that they wait for.
    std::optional<Core::BootClock::time_point> m_firstHeardAt; ///< When the first beacon of a peer arrived.
    std::optional<Core::BootClock::time_point> m_listedAt; ///< When the list of targets was first known whole.
    Fleet::SiteView m_view; ///< As of the last tick, but for news, which count at once.
    bool m_wasReading { false }; ///< When the others were last told.
    bool m_hasRelayPeers { false };
    bool m_isOutOfTouch { false }; ///< It is cut off from targets, and a peer is not.
    bool m_isTargetListChanged { false };
    bool m_isLeaving { false };
    bool m_isStopped { false };
};

}
