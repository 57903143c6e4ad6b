#pragma once

#include <LibAdmission/Controller.h>
#include <LibDaemon/FleetSnapshot.h>
#include <LibDaemon/Work.h>
#include <LibRouting/DemandMeter.h>
#include <LibRouting/LoadTable.h>
#include <LibRouting/OpenWork.h>
#include <LibRouting/OutlierFinder.h>
#include <LibRouting/PrefixIndex.h>
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

/// What a request wants of the dispatcher.
struct PlacementRequest {
    std::string requestId;
    std::string organisation;
    std::string work; ///< The model's or service's name.
    int priority { 5 };
    Routing::RequestShape shape;
    std::vector<Routing::PrefixBlock> prefix;
    FleetPointer fleet;
    std::vector<std::uint32_t> allowed; ///< Positions in the fleet's targets.
    std::string kvZone; ///< The availability zone that a prompt's KV cache is fetched from; empty: it is not fetched.
    std::vector<std::string> excluded; ///< Names of targets that were tried.
    std::chrono::steady_clock::time_point latestStart;
};

/// Where a request may go, or why nowhere.
struct PlacementOutcome {
    std::uint64_t id { 0 }; ///< Hand it to `release` when the request has ended there.
    std::optional<std::uint32_t> position; ///< In the request's fleet.
    Routing::Decision decision;
    double prefillSeconds { 0 }; ///< Estimated, where only the prompt is computed there; else 0.
    double meanPrefillSeconds { 0 }; ///< Of prompts to the same service lately.
    Core::Error error; ///< Without a position; says not run.
    std::chrono::milliseconds retryAfter { 0 };
};

/// Lets requests in within the limits and chooses their targets: the one place of a daemon where admission,
/// loads, prefixes and routing meet. Thread-safe.
class Dispatcher {
public:
    /// Errors: BadInput from one of the parts.
    static Core::Result<std::unique_ptr<Dispatcher>> create(Settings::DaemonSettings const&, std::uint64_t seed);
    ~Dispatcher();

    /// Waits until the request may go to a target, or is refused. `cancel` with the returned ticket number ends
    /// the wait early. Precondition: awaited on the thread of `executor`.
    boost::asio::awaitable<PlacementOutcome> place(PlacementRequest, boost::asio::any_io_executor executor, std::uint64_t id);

    /// Returns a number for the next `place`.
    std::uint64_t nextId();

    /// Ends a placement, whether it waits or was granted. Unknown ids change nothing.
    void release(std::uint64_t id);

    /// Notes that the target has computed the prompt of a request.
    void prefilled(std::uint64_t id);

    /// Notes how long the target of a placement took to compute the prompt alone.
    void promptComputed(std::uint64_t id, std::chrono::steady_clock::duration);

    /// Notes the time between two events of a stream that the target of a placement makes.
    void noteEventGap(std::uint64_t id, std::chrono::steady_clock::duration);

    /// Returns the demand of this daemon's requests on each service's engines, and what it has learnt of these.
    std::vector<Routing::ServiceReport> serviceReports() const;

    /// Returns how long the output of such a request to a service takes, in seconds; 0 where that is not learnt yet.
    double expectedOutputSeconds(FleetSnapshot const&, std::string const& service, Routing::RequestShape const&) const;

    /// Returns how many times as long as others a target takes for what it does in a role, as learnt.
    double slowness(std::uint64_t targetKey, Routing::TargetRole) const;

    /// Takes what a peer has learnt of services' engines.
    void takePeerReports(std::string const& peer, std::vector<Routing::ServiceReport> const&);

    /// Takes a load report of a target in.
    void report(std::uint32_t targetId, Routing::LoadReport const&);

    /// Takes the fleet's targets and limits over.
    void setFleet(FleetPointer);

    /// Returns how many requests wait here or are open at a target.
    std::size_t openRequests() const;

    /// Returns how many requests this daemon has open at a target.
    std::uint32_t inFlightAt(std::uint32_t targetId) const;

    /// Notes how a send to a target ended, by the target's key.
    void noteOutcome(std::uint64_t targetKey, Routing::TargetOutcome);

    /// Notes what a target says of itself in an answer. Returns whether it is new that it leaves.
    bool noteNotice(std::uint64_t targetKey, Routing::TargetNotice const&);

    /// Whether a request that was placed at a target may still be written to it.
    bool mayWrite(FleetTarget const&) const;

    /// Returns the shared parts that this daemon was the first known to send to a target, since the last call.
    std::vector<Routing::HeldPart> takeHeldParts();

    /// Takes what a peer was the first to send to targets.
    void takePeerParts(std::vector<Routing::HeldPart> const&);

    /// Returns how requests of this daemon ended since the last call, for its peers.
    std::vector<Routing::OutcomeCounts> takeOutcomes();

    /// Takes how requests of a peer ended.
    void takePeerOutcomes(std::vector<Routing::OutcomeCounts> const&);

    /// Returns the keys of targets that this daemon could not reach lately.
    std::vector<std::uint64_t> suspects() const;

    /// Takes the keys of targets that enough other daemons cannot reach: nothing is sent there.
    void setAvoided(std::set<std::uint64_t>);

    /// Returns the work that this daemon has open at targets, for its peers.
    std::vector<Routing::TargetShare> openWork() const;

    /// Takes the open work of a peer, in place of what it said before; it counts for `lifetime`.
    void takePeerWork(std::string const& peer, std::vector<Routing::TargetShare> const&, std::chrono::milliseconds lifetime);

private:
    struct Waiter;
    Dispatcher(Settings::DaemonSettings const&, Routing::Router, Routing::LoadTable, Routing::PrefixIndex, std::uint64_t seed);

    std::optional<Admission::TargetId> chooseFor(Admission::RequestId);
    void resolve(std::vector<Admission::Grant> const&);
    void resolve(std::vector<Admission::Refusal> const&);
    void drainOutcomes();
    std::optional<Core::BootClock::time_point> nextOpening(PlacementRequest const&) const;
    void serveOpened(PlacementRequest const&);
    void refusePaused(Waiter&, Core::BootClock::duration left);
    void wake(std::shared_ptr<Waiter> const&);
    Admission::GroupId groupOf(PlacementRequest const&);
    void addGroup(Admission::GroupId, std::vector<std::uint32_t> const& targetIds);
    void dropExclusionsOfAll(PlacementRequest&) const;
    void noteSent(Waiter&);
    void noteDemand(PlacementRequest const&);
    double outputSeconds(FleetSnapshot const&, std::string const& service, Routing::RequestShape const&, std::chrono::steady_clock::time_point now) const;
    void updateOutliers(std::chrono::steady_clock::time_point now);
    void addHome(PlacementRequest const&);
    double unseenRequests(std::string const& service, Routing::Phase, Routing::AgeWeightedWork const&, std::size_t targets) const;
    std::uint32_t limitOf(FleetTarget const&) const;
    Admission::Demand demandOf(PlacementRequest const&, std::uint64_t id);

    mutable std::mutex m_mutex;
    std::uint32_t m_inFlightPerTarget;
    Routing::Router m_router;
    Routing::LoadTable m_loads;
    Routing::OpenWork m_openWork;
    Routing::TargetHealth m_health;
    Routing::TargetNotices m_notices;
    Routing::OutlierFinder m_outliers;
    std::chrono::steady_clock::time_point m_outliersUpdated;
    std::unordered_map<std::uint64_t, std::string> m_targetNames; ///< By key, for logs.
    Routing::SpeedBook m_speeds;
    Routing::DemandMeter m_demand;
    std::set<std::string> m_services; ///< Of engines that requests have asked for.
    std::set<std::uint64_t> m_avoided; ///< Keys of targets that peers cannot reach.
    Routing::PrefixIndex m_prefixes;
    std::vector<Routing::HeldPart> m_untoldParts;
    std::unordered_map<std::uint64_t, std::uint32_t> m_targetIdsByKey;
    std::unique_ptr<Admission::Controller> m_admission;
    std::mt19937_64 m_random;
    std::uint64_t m_ownNumber; ///< Differs from daemon to daemon, and so do the targets that each prefers.
    std::uint64_t m_lastId { 0 };
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters; ///< Waiting and granted placements.
    std::map<std::vector<std::uint32_t>, Admission::GroupId> m_groups; ///< By the ids of the targets that a request may go to.
    std::unordered_map<std::uint32_t, std::vector<Admission::GroupId>> m_groupsOfTarget;
    Admission::GroupId m_nextGroup { 1 };
    std::unordered_map<std::uint32_t, std::uint32_t> m_limits; ///< In flight at each known target; 0 while it is closed.
    std::vector<std::uint32_t> m_knownTargets;
    std::unordered_map<std::uint32_t, Routing::TargetRole> m_roles; ///< Of the known targets, now.
    std::vector<Routing::Candidate> m_candidates; ///< Reused between decisions.
    std::vector<std::uint32_t> m_candidatePositions;
    std::vector<std::size_t> m_failingCandidates; ///< Reused: places of outliers that are closed for that alone.
    std::vector<std::uint64_t> m_homeKeys; ///< Reused: keys of the open prefill candidates,
    std::vector<std::size_t> m_homeCandidates; ///< and their places among the candidates.
};

}
