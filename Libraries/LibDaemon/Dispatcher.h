#pragma once

#include <LibAdmission/Controller.h>
#include <LibAdmission/FleetQueue.h>
#include <LibAdmission/PlaceShares.h>
#include <LibDaemon/FleetSnapshot.h>
#include <LibDaemon/PathBook.h>
#include <LibDaemon/Work.h>
#include <LibRouting/DemandMeter.h>
#include <LibRouting/HomePlan.h>
#include <LibRouting/LoadTable.h>
#include <LibRouting/OpenWork.h>
#include <LibRouting/OutlierFinder.h>
#include <LibRouting/PaceBook.h>
#include <LibRouting/PartHomes.h>
#include <LibRouting/PrefixIndex.h>
#include <LibRouting/PromptLoad.h>
#include <LibRouting/PromptTimes.h>
#include <LibRouting/RateLimits.h>
#include <LibRouting/Router.h>
#include <LibRouting/ServiceReport.h>
#include <LibRouting/SpeedBook.h>
#include <LibRouting/TargetHealth.h>
#include <LibRouting/TargetNotices.h>
#include <LibSettings/DaemonSettings.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Daemon {

/// What a request asks of the targets that write events of its stream.
struct StreamPlacement {
    enum class Kind : std::uint8_t {
        Any, ///< Nothing: its stream cannot go on elsewhere, or it has none.
        Begins, ///< A target whose release may begin streams.
        GoesOn, ///< A target of the release that began the stream.
    };

    Kind kind { Kind::Any };
    std::string release {}; ///< With `GoesOn`; empty: unknown.

    auto operator<=>(StreamPlacement const&) const = default;
};

/// Input of `Dispatcher::place`.
struct PlacementRequest {
    std::string requestId;
    std::string organisation;
    std::string work; ///< The model's or service's name.
    std::uint64_t workKey { 0 }; ///< The same whenever the same is asked for; 0: not known.
    int priority { 5 };
    Routing::RequestShape shape;
    std::vector<Routing::PrefixBlock> prefix;
    FleetPointer fleet;
    std::vector<std::uint32_t> allowed; ///< Indices into the fleet's targets.
    std::string kvZone; ///< Availability zone that holds the prompt's KV cache; empty if none is fetched.
    std::vector<std::string> excluded; ///< Names of targets already tried.
    std::chrono::steady_clock::time_point latestStart;
    StreamPlacement stream {};
};

/// The chosen target, or the reason why there is none.
struct PlacementOutcome {
    std::uint64_t id { 0 }; ///< To pass to `release` when the request has ended at the target.
    std::optional<std::uint32_t> position; ///< Index into the targets of the request's fleet.
    Routing::Decision decision;
    double prefillSeconds { 0 }; ///< Estimate, if the target only computes the prompt; otherwise 0.
    double meanPrefillSeconds { 0 }; ///< Recent mean for prompts to the same service.
    Core::Error error; ///< Set if there is no position; its verdict is NotRun.
    std::chrono::milliseconds retryAfter { 0 };
};

/// What is known of one target's pace for one kind of work.
struct PaceStatus {
    std::string target;
    Routing::PaceKind kind { Routing::PaceKind::Whole };
    Routing::TargetPace pace;
};

/// Admits requests within the configured limits and chooses their targets. Combines admission, target loads, the prefix
/// index and routing. One per daemon. Thread-safe.
class Dispatcher {
public:
    /// Errors: BadInput from one of the components.
    static Core::Result<std::unique_ptr<Dispatcher>> create(Settings::DaemonSettings const&, std::uint64_t seed);
    ~Dispatcher();

    /// Waits until the request gets a target or is refused. `release` with the same id ends the wait early.
    /// Precondition: awaited on the thread of `executor`.
    boost::asio::awaitable<PlacementOutcome> place(PlacementRequest, boost::asio::any_io_executor executor, std::uint64_t id);

    /// Returns a new id for `place`.
    std::uint64_t nextId();

    /// Ends a waiting or granted placement. Unknown ids are ignored.
    void release(std::uint64_t id);

    /// Records that the target has finished computing the request's prompt.
    void notePrefillDone(std::uint64_t id);

    /// Records how long the placement's target took to compute the prompt, without its output.
    void notePromptTime(std::uint64_t id, std::chrono::steady_clock::duration);

    /// Returns how long after its send the placement's prompt is overdue, with what is open at its target now; nothing while too few
    /// prompts are known.
    std::optional<std::chrono::milliseconds> overdueAfter(std::uint64_t id);

    /// Records that the placement's prompt was given up so long after its send.
    void notePromptGivenUp(std::uint64_t id, std::chrono::steady_clock::duration);

    /// Records the time between two events of the stream that the placement's target generates.
    void noteEventGap(std::uint64_t id, std::chrono::steady_clock::duration);

    /// Returns, per service, the demand of this daemon's requests on its engines and the engine speeds measured here.
    std::vector<Routing::ServiceReport> serviceReports() const;

    /// Returns the expected time to generate the output of such a request, in seconds; 0 while it is unknown.
    double expectedOutputSeconds(FleetSnapshot const&, std::string const& service, Routing::RequestShape const&) const;

    /// Returns the measured time of a target for its work in a role, relative to other targets (1: the same).
    double slowness(std::uint64_t targetKey, Routing::TargetRole) const;

    /// Applies the engine speeds that a peer has measured.
    void takePeerReports(std::string const& peer, std::vector<Routing::ServiceReport> const&);

    /// Applies a load report of a target.
    void report(std::uint32_t targetId, Routing::LoadReport const&);

    /// Replaces the known targets and their limits by those of the fleet.
    void setFleet(FleetPointer);

    /// Returns how many requests are waiting here or open at a target.
    std::size_t openRequests() const;

    /// Returns how many requests this daemon has open at a target.
    std::uint32_t inFlightAt(std::uint32_t targetId) const;

    /// Records how a send to a target ended.
    void noteOutcome(std::uint64_t targetKey, Routing::TargetOutcome);

    /// Records a target's notice about itself from a response to a request that was sent at `sentAt`, or at zero if that is not
    /// known. Returns true if it is the first that says it leaves.
    bool noteNotice(std::uint64_t targetKey, Routing::TargetNotice const&, Core::BootClock::time_point sentAt);

    /// Returns whether a request that was placed at a target may be written to it now. If so and the target states a rate limit,
    /// the request counts against it. `id` is that of the placement.
    bool mayWrite(FleetTarget const&, std::uint64_t id);

    /// Sets the daemons that share the rate limits of targets with this one.
    void setDaemons(std::string const& self, std::vector<std::string> const& others);

    /// Returns the rate limits that targets have stated to this daemon, for its peers.
    std::vector<Routing::RateLimitReport> rateLimitReports() const;

    /// Applies the rate limits that targets have stated to a peer.
    void takePeerRateLimits(std::string const& peer, std::vector<Routing::RateLimitReport> const&);

    /// Returns the rate limits in force by target name.
    std::map<std::string, Routing::RateLimitStatus> rateLimits() const;

    /// Returns the shared prompt prefixes that this daemon was the first known to send to a target since the last call.
    std::vector<Routing::HeldPart> takeHeldParts();

    /// Applies the prompt prefixes that a peer was the first to send to targets.
    void takePeerParts(std::vector<Routing::HeldPart> const&);

    /// Returns how often this daemon's requests have asked for shared parts of prompts since the last call, for its peers.
    std::vector<Routing::PartUse> takePartUses();

    /// Applies how often a peer's requests have asked for shared parts of prompts.
    void takePeerPartUses(std::vector<Routing::PartUse> const&);

    /// Returns the outcome counts of this daemon's requests since the last call, for its peers.
    std::vector<Routing::OutcomeCounts> takeOutcomes();

    /// Applies the outcome counts of a peer's requests.
    void takePeerOutcomes(std::vector<Routing::OutcomeCounts> const&);

    /// Records that a plain service has answered the placement's request, so that its time counts for the target's pace.
    void noteAnswered(std::uint64_t id);

    /// Returns how fast targets were in this daemon's answers since the last call, for its peers.
    std::vector<Routing::PaceSample> takePaceSamples();

    /// Applies how fast targets were in a peer's answers.
    void takePeerPaces(std::vector<Routing::PaceSample> const&);

    /// Returns what is known of the pace of each target for each kind of work with evidence, for operators.
    std::vector<PaceStatus> paces() const;
    /// Returns this daemon's demand on the places of services where these may become scarce, for its peers.
    std::vector<Admission::PlaceDemand> placeDemands() const;

    /// Replaces a peer's demand on places. It expires after `lifetime`.
    void takePeerPlaceDemands(std::string const& peer, std::vector<Admission::PlaceDemand>, std::chrono::milliseconds lifetime);

    /// Measures this daemon's demand, and opens so many places of scarce targets as are this daemon's now. Call ten times a second.
    void updateShares();

    /// Returns the demand of all daemons over the places, for each service whose places are divided now.
    std::map<std::string, double> scarcities() const;

    /// Returns the paths to targets. The reference stays valid.
    PathBook& paths() { return m_paths; }

    /// Returns the keys of targets that this daemon recently failed to reach.
    std::vector<std::uint64_t> suspects() const;

    /// Sets the keys of targets that enough other daemons cannot reach. No requests are sent to them.
    void setAvoided(std::set<std::uint64_t>);

    /// Returns the work that this daemon has open at targets, for its peers.
    std::vector<Routing::TargetShare> openWork() const;

    /// Replaces the open work reported by a peer. It expires after `lifetime`.
    void takePeerWork(std::string const& peer, std::vector<Routing::TargetShare> const&, std::chrono::milliseconds lifetime);

private:
    struct Waiter;

    /// What streams depend on at a target.
    struct StreamTerms {
        std::string release;
        bool mayBegin { true };
    };

    /// When a request's first target that is paused or at its rate limit accepts it.
    struct Reopening {
        Core::BootClock::time_point at;
        bool isWorthWaiting { true };
    };

    Dispatcher(Settings::DaemonSettings const&, Routing::Router, Routing::LoadTable, Routing::PrefixIndex, Admission::PlaceShares, Admission::FleetQueue, std::uint64_t seed);

    std::optional<Admission::TargetId> chooseTarget(Admission::RequestId);
    void resolve(std::vector<Admission::Grant> const&);
    void resolve(std::vector<Admission::Refusal> const&);
    void applyAdmissionResults();
    std::optional<Reopening> nextReopening(Waiter&);
    bool isRateExhausted(Waiter const&, std::uint64_t targetKey, Core::BootClock::time_point now) const;
    void takeRate(Waiter&, std::uint64_t targetKey);
    void returnRate(Waiter&);
    void logRateLimit(std::uint64_t targetKey, std::string const& toldBy) const;
    void retryReopenedTargets(PlacementRequest const&);
    void rejectWhilePaused(Waiter&, Core::BootClock::time_point opensAt);
    void wake(std::shared_ptr<Waiter> const&);
    Admission::GroupId groupOf(PlacementRequest const&);
    void addGroup(Admission::GroupId, std::vector<std::uint32_t> const& targetIds);
    void clearExhaustedExclusions(PlacementRequest&) const;
    bool mayWriteEvents(PlacementRequest const&, std::uint64_t targetKey, Routing::TargetRole) const;
    void closeLoneReleases(PlacementRequest const&);
    void noteSent(Waiter&);
    void noteDemand(PlacementRequest const&);
    double outputSeconds(FleetSnapshot const&, std::string const& service, Routing::RequestShape const&, std::chrono::steady_clock::time_point now) const;
    void updateOutliers(std::chrono::steady_clock::time_point now);
    void updatePaces(std::chrono::steady_clock::time_point now);
    void noteUsualPrompt(Waiter const&, std::chrono::steady_clock::duration);
    void notePromptPace(Waiter const&, std::chrono::steady_clock::duration);
    void noteWholePace(Waiter const&);
    double promptFactor(std::uint64_t targetKey) const;
    double eventFactor(std::uint64_t targetKey, Routing::TargetRole) const;
    std::uint32_t placesOf(FleetTarget const&, std::chrono::steady_clock::time_point now) const;
    double wholeSeconds(PlacementRequest const&) const;
    void markHomes(PlacementRequest const&, Routing::RequestShape&);
    Routing::HomePlan const& homePlan(PlacementRequest const&);
    bool markPlannedHomes(PlacementRequest const&, Routing::HomePlan const&);
    void notePartUse(PlacementRequest const&);
    double unseenRequests(std::string const& service, Routing::Phase, Routing::AgeWeightedWork const&, std::size_t targets) const;
    std::uint32_t limitOf(FleetTarget const&) const;
    std::uint32_t admittedAt(std::uint32_t targetId) const;
    void setPlaces(FleetSnapshot const&);
    void measureDemand();
    bool mayBecomeScarce(std::string const& service, std::vector<Admission::TargetPlaces> const&);
    void setAllotment(std::string const& service, std::optional<Admission::PlaceAllotment> const&);
    void logDivision(std::string const& service, bool isDivided) const;
    void updateFleetQueue(std::string const& service, std::chrono::steady_clock::time_point now);
    bool isRefusedForFleet(Waiter&);
    void noteServiceTime(Waiter const&);
    Admission::Demand demandOf(PlacementRequest const&, std::uint64_t id);

    mutable std::mutex m_mutex;
    std::uint32_t m_inFlightPerTarget;
    Routing::Router m_router;
    Routing::LoadTable m_loads;
    Routing::OpenWork m_openWork;
    Routing::TargetHealth m_health;
    Routing::TargetNotices m_notices;
    Routing::RateLimits m_rates;
    Routing::OutlierFinder m_outliers;
    std::chrono::steady_clock::time_point m_outliersUpdated;
    std::unordered_map<std::uint64_t, std::string> m_targetNames; ///< By target key, for logs.
    std::unordered_map<std::uint64_t, StreamTerms> m_streamTerms; ///< By target key.
    bool m_isAnyBarred { false }; ///< Some target may not begin streams.
    bool m_hasSeveralReleases { false }; ///< Targets of some service are of several releases.
    Routing::SpeedBook m_speeds;
    Routing::PromptTimes m_promptTimes;
    bool m_learnsPace { false };
    Routing::PaceBook m_paces;
    bool m_spreadsParts { false };
    Routing::PartHomes m_partHomes;
    Routing::PromptLoad m_promptLoad;
    std::map<std::string, Routing::HomePlan> m_homePlans; ///< By service.
    Routing::DemandMeter m_demand;
    std::set<std::string> m_services; ///< Services with engines that requests have named.
    std::set<std::uint64_t> m_avoided; ///< Keys of targets that peers cannot reach.
    Routing::PrefixIndex m_prefixes;
    std::vector<Routing::HeldPart> m_unreportedParts;
    std::unordered_map<std::uint64_t, std::uint32_t> m_targetIdsByKey;
    std::unique_ptr<Admission::Controller> m_admission;
    std::mt19937_64 m_random;
    std::uint64_t m_preferenceSeed; ///< Differs per daemon, and with it the preferred targets.
    PathBook m_paths;
    std::uint64_t m_lastId { 0 };
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters; ///< Waiting and granted placements.
    std::map<std::pair<std::vector<std::uint32_t>, StreamPlacement>, Admission::GroupId> m_groups; ///< By the sorted ids of the allowed targets, and what a stream asks of them.
    std::unordered_map<std::uint32_t, std::vector<Admission::GroupId>> m_groupsOfTarget;
    Admission::GroupId m_nextGroup { 1 };
    bool m_sharesPlaces { false };
    Admission::PlaceShares m_shares;
    Admission::FleetQueue m_fleetQueue;
    std::map<std::string, double> m_serviceSeconds; ///< Mean time that a request occupies a place, by service.
    std::map<std::string, std::vector<Admission::TargetPlaces>> m_places; ///< Of plain services' open targets, by service.
    std::map<std::string, std::map<std::string, double>> m_placeDemands; ///< This daemon's, smoothed, by service and organisation.
    std::set<std::string> m_scarceServices; ///< Those whose places may become scarce, so that peers are told of the demand.
    std::map<std::string, double> m_divided; ///< Services whose places are divided now, and how scarce these are.
    std::unordered_map<std::uint32_t, std::uint32_t> m_allotted; ///< This daemon's places at targets of these services, by target id.
    std::unordered_map<std::uint32_t, std::uint32_t> m_limits; ///< Maximum in flight per known target; 0 while it is closed.
    std::vector<std::uint32_t> m_knownTargets;
    std::unordered_map<std::uint32_t, Routing::TargetRole> m_roles; ///< Current roles of the known targets.
    std::vector<Routing::Candidate> m_candidates; ///< Reused between decisions.
    std::vector<std::uint32_t> m_candidatePositions;
    std::vector<std::size_t> m_loneCandidates; ///< Reused: indices of candidates closed only as the last ones of their release.
    std::vector<std::size_t> m_failingCandidates; ///< Reused: indices of candidates closed only as outliers.
    std::vector<std::uint64_t> m_homeKeys; ///< Reused: keys of the open prefill candidates.
    std::vector<Routing::HomeTarget> m_homeTargets; ///< Reused: the same targets with their parts of the homes.
    std::vector<std::size_t> m_homeCandidates; ///< Reused: their indices among the candidates.
};

}
