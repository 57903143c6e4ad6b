#pragma once

#include <LibAdmission/Demand.h>
#include <LibAdmission/FairQueue.h>
#include <LibAdmission/RateEstimate.h>
#include <LibCore/Result.h>
#include <boost/unordered/unordered_flat_map.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace Admission {

/// Lets requests in within the limits per target and per organisation, queues the others fairly and refuses early
/// what would wait too long. Costs memory only for organisations with work here and for requests that wait or are
/// in flight. Not thread-safe: one mutex around it.
class Controller {
public:
    struct Limits {
        std::uint32_t inFlightPerOrganisation { 256 };
        std::uint32_t queuedPerOrganisation { 256 }; ///< In all groups together.
        std::size_t queuedPerGroup { 4096 };
    };

    /// Chooses a target for a request among those of its group, or none when all that it may use are full: ask
    /// `hasRoom`. Must not call anything else here. A target without room counts as none. Requests of one group
    /// may differ a little in what they may use (a retry leaves out the targets that it tried).
    using PlaceHook = std::function<std::optional<TargetId>(RequestId, GroupId)>;

    /// Errors: BadInput for a limit of 0 or no hook.
    static Core::Result<std::unique_ptr<Controller>> create(Limits, PlaceHook);

    /// Adds or changes a target: its limit in flight (0 closes it) and the groups that it is in. A lower limit
    /// ends nothing that runs. Returns requests that now may go.
    std::vector<Grant> setTarget(TargetId, std::uint32_t inFlightLimit, std::vector<GroupId> groups);

    /// Removes a target; what runs there still ends with `release`.
    void removeTarget(TargetId);

    /// The request waits; a `Grant` or `Refusal` follows.
    struct Queued { };
    using Decision = std::variant<Grant, Queued, Refusal>;

    /// Asks for a request. Refuses with Overloaded (not run) when its organisation's or the group's queue is full or
    /// the estimated wait is beyond `latestStart`. Other requests that may go now are in `takeGrants`; one that was
    /// refused to make room is in `takeRefusals`. Precondition: the id is not here.
    Decision enter(Demand const&, TimePoint now);

    /// Ends a request that was granted, or takes one out that waits; unknown ids change nothing. Returns requests
    /// that now may go.
    std::vector<Grant> release(RequestId, TimePoint now);

    /// Refuses what can't start in time any more. Call when `nextExpiry` is due.
    std::vector<Refusal> expire(TimePoint now);

    /// When the next waiting request's time runs out.
    std::optional<TimePoint> nextExpiry() const;

    /// Returns and forgets the waiting requests that `enter` found a place for.
    std::vector<Grant> takeGrants();

    /// Returns and forgets the waiting requests that had to make room for a smaller user.
    std::vector<Refusal> takeRefusals();

    /// Whether a target is known, open and under its limit.
    bool hasRoom(TargetId) const;

    std::uint32_t inFlightAt(TargetId) const;
    std::size_t queued(GroupId) const;
    std::size_t activeOrganisations() const { return m_organisationIds.size(); }

private:
    struct Target {
        std::uint32_t limit { 0 };
        std::uint32_t inFlight { 0 };
        std::vector<GroupId> groups;

        bool hasRoom() const { return inFlight < limit; }
    };
    struct Organisation {
        std::string name;
        std::uint32_t inFlight { 0 };
        std::uint32_t queued { 0 };
        std::vector<GroupId> groups; ///< Where it has a flow.
    };
    struct Group {
        FairQueue queue;
        RateEstimate rate;
        std::uint32_t openTargets { 0 }; ///< Those with room.
    };
    struct InFlight {
        OrganisationId organisation { 0 };
        TargetId target { 0 };
        GroupId group { 0 };
        std::uint64_t tokens { 0 };
    };
    struct QueuedAt {
        GroupId group { 0 };
        FairQueue::Place place;
    };

    Controller(Limits, PlaceHook);
    OrganisationId organisationIdOf(std::string const& name);
    Organisation& organisationOf(OrganisationId id) { return m_organisations[id]; }
    void forgetIfIdle(OrganisationId);
    void noteGroup(OrganisationId, GroupId);
    std::optional<TargetId> place(RequestId, GroupId) const;
    void changeTarget(Target&, std::uint32_t limit, std::uint32_t inFlight);
    void countOpen(Target const&, bool isOpen);
    void occupy(RequestId, InFlight);
    void vacate(TargetId);
    void setEligible(Organisation const&, OrganisationId, bool);
    Decision enqueue(Demand const&, int priority, OrganisationId, TimePoint now);
    std::optional<Refusal> refuseEarly(Demand const&, int priority, OrganisationId, TimePoint now);
    bool makeRoom(GroupId, OrganisationId);
    void dequeue(RequestId);
    void serve(GroupId, std::vector<Grant>&);
    Refusal overloaded(RequestId, std::string_view message, std::chrono::milliseconds retryAfter) const;

    Limits m_limits;
    PlaceHook m_placeHook;
    boost::unordered_flat_map<TargetId, Target> m_targets;
    std::map<GroupId, Group> m_groups;
    boost::unordered_flat_map<std::string, OrganisationId> m_organisationIds;
    std::vector<Organisation> m_organisations; ///< By id; free ones are in `m_freeIds`.
    std::vector<OrganisationId> m_freeIds;
    boost::unordered_flat_map<RequestId, InFlight> m_inFlight;
    boost::unordered_flat_map<RequestId, QueuedAt> m_queued;
    std::set<std::pair<TimePoint, RequestId>> m_expiries;
    std::vector<Grant> m_grants;
    std::vector<Refusal> m_refusals;
};

}
