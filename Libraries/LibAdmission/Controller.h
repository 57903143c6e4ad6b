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

/// Admission control: enforces in-flight limits per target and per organisation, queues excess requests fairly and
/// refuses requests early that would wait past their deadline. Memory grows only with active organisations and with
/// queued and in-flight requests. Not thread-safe; the owner serialises calls with a mutex.
class Controller {
public:
    struct Limits {
        std::uint32_t inFlightPerOrganisation { 256 };
        std::uint32_t queuedPerOrganisation { 256 }; ///< Across all groups.
        std::size_t queuedPerGroup { 4096 };
    };

    /// Chooses a target for a request from its group, or none if all eligible targets are full. May call only `hasRoom`
    /// on the controller. A target without room is treated as none. Eligible targets may differ between the requests
    /// of a group (a retry excludes the targets that it has already tried).
    using TargetChooser = std::function<std::optional<TargetId>(RequestId, GroupId)>;

    /// Errors: BadInput for a limit of 0 or an empty chooser.
    static Core::Result<std::unique_ptr<Controller>> create(Limits, TargetChooser);

    /// Adds or updates a target with its in-flight limit (0 closes it) and its groups. Lowering the limit does not
    /// cancel requests in flight. Returns the requests admitted as a result.
    std::vector<Grant> setTarget(TargetId, std::uint32_t inFlightLimit, std::vector<GroupId> groups);

    /// Removes a target. Requests in flight there still have to be released.
    void removeTarget(TargetId);

    /// The request is queued; a `Grant` or `Refusal` follows.
    struct Queued { };
    using Decision = std::variant<Grant, Queued, Refusal>;

    /// Submits a request. Refuses it with Overloaded (not run) if its organisation's or group's queue is full or the
    /// estimated wait exceeds `latestStart`. Other requests admitted by this call are returned by `takeGrants`; a request
    /// evicted to make room, by `takeRefusals`. Precondition: the id is neither queued nor in flight.
    Decision enter(Demand const&, TimePoint now);

    /// Ends a granted request or removes a queued one; unknown ids are ignored. Returns the requests admitted as a
    /// result.
    std::vector<Grant> release(RequestId, TimePoint now);

    /// Refuses queued requests whose latest start has passed. Call when `nextExpiry` is due.
    std::vector<Refusal> expire(TimePoint now);

    /// The earliest `latestStart` of the queued requests.
    std::optional<TimePoint> nextExpiry() const;

    /// Returns and clears the queued requests that calls to `enter` admitted.
    std::vector<Grant> takeGrants();

    /// Returns and clears the queued requests evicted in favour of organisations with shorter queues.
    std::vector<Refusal> takeRefusals();

    /// Whether a target is known, open and below its in-flight limit.
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
        std::vector<GroupId> groups; ///< Groups in which it has a flow.
    };
    struct Group {
        FairQueue queue;
        RateEstimate rate;
        std::uint32_t openTargets { 0 }; ///< Targets with room.
    };
    struct InFlight {
        OrganisationId organisation { 0 };
        TargetId target { 0 };
        GroupId group { 0 };
        std::uint64_t tokens { 0 };
    };
    struct QueuedAt {
        GroupId group { 0 };
        FairQueue::Handle handle;
    };

    Controller(Limits, TargetChooser);
    OrganisationId organisationIdOf(std::string const& name);
    Organisation& organisationOf(OrganisationId id) { return m_organisations[id]; }
    void removeIfIdle(OrganisationId);
    void addGroup(OrganisationId, GroupId);
    std::optional<TargetId> chooseTarget(RequestId, GroupId) const;
    void updateTarget(Target&, std::uint32_t limit, std::uint32_t inFlight);
    void updateOpenTargets(Target const&, bool isOpen);
    void occupySlot(RequestId, InFlight);
    void releaseSlot(TargetId);
    void setEligible(Organisation const&, OrganisationId, bool);
    Decision enqueue(Demand const&, int priority, OrganisationId, TimePoint now);
    std::optional<Refusal> refuseEarly(Demand const&, int priority, OrganisationId, TimePoint now);
    bool evictFromLongestQueue(GroupId, OrganisationId);
    void dequeue(RequestId);
    void dispatchWaiting(GroupId, std::vector<Grant>&);
    Refusal overloaded(RequestId, std::string_view message, std::chrono::milliseconds retryAfter) const;

    Limits m_limits;
    TargetChooser m_targetChooser;
    boost::unordered_flat_map<TargetId, Target> m_targets;
    std::map<GroupId, Group> m_groups;
    boost::unordered_flat_map<std::string, OrganisationId> m_organisationIds;
    std::vector<Organisation> m_organisations; ///< Indexed by id; unused ids are in `m_freeIds`.
    std::vector<OrganisationId> m_freeIds;
    boost::unordered_flat_map<RequestId, InFlight> m_inFlight;
    boost::unordered_flat_map<RequestId, QueuedAt> m_queued;
    std::set<std::pair<TimePoint, RequestId>> m_expiries;
    std::vector<Grant> m_grants;
    std::vector<Refusal> m_refusals;
};

}
