#include <LibAdmission/Controller.h>
#include <algorithm>

namespace Admission {

namespace {

/// Maximum number of waiting requests considered for one free slot; requests that may not use the target are skipped.
constexpr int maxOffers = 16;

}

Core::Result<std::unique_ptr<Controller>> Controller::create(Limits limits, TargetChooser targetChooser)
{
    if (limits.inFlightPerOrganisation == 0 || limits.queuedPerOrganisation == 0 || limits.queuedPerGroup == 0)
        return Core::fail(Core::ErrorCode::BadInput, "Admission limits must be greater than 0.");
    if (!targetChooser)
        return Core::fail(Core::ErrorCode::BadInput, "Admission requires a target chooser.");
    return std::unique_ptr<Controller>(new Controller(limits, std::move(targetChooser)));
}

Controller::Controller(Limits limits, TargetChooser targetChooser)
    : m_limits(limits)
    , m_targetChooser(std::move(targetChooser))
{
}

std::vector<Grant> Controller::setTarget(TargetId id, std::uint32_t inFlightLimit, std::vector<GroupId> groups)
{
    Target& target = m_targets[id];
    updateTarget(target, 0, target.inFlight);
    target.groups = std::move(groups);
    updateTarget(target, inFlightLimit, target.inFlight);
    std::vector<Grant> grants;
    for (GroupId group : target.groups)
        dispatchWaiting(group, grants);
    return grants;
}

void Controller::removeTarget(TargetId id)
{
    auto it = m_targets.find(id);
    if (it == m_targets.end())
        return;
    updateTarget(it->second, 0, it->second.inFlight);
    it->second.groups.clear();
    // Requests still in flight stay counted, in case the target is added again before they finish.
    if (it->second.inFlight == 0)
        m_targets.erase(it);
}

void Controller::updateOpenTargets(Target const& target, bool isOpen)
{
    for (GroupId id : target.groups) {
        Group& group = m_groups[id];
        group.openTargets += isOpen ? 1 : -1;
    }
}

void Controller::updateTarget(Target& target, std::uint32_t limit, std::uint32_t inFlight)
{
    bool hadRoom = target.hasRoom();
    target.limit = limit;
    target.inFlight = inFlight;
    if (target.hasRoom() != hadRoom)
        updateOpenTargets(target, !hadRoom);
}

void Controller::releaseSlot(TargetId id)
{
    auto it = m_targets.find(id);
    updateTarget(it->second, it->second.limit, it->second.inFlight - 1);
    if (it->second.inFlight == 0 && it->second.groups.empty())
        m_targets.erase(it);
}

Controller::Decision Controller::enter(Demand const& demand, TimePoint now)
{
    int priority = std::clamp(demand.priority, 0, priorityCount - 1);
    std::uint64_t tokens = std::max<std::uint64_t>(1, demand.tokens);
    Group& group = m_groups[demand.group];
    OrganisationId id = organisationIdOf(demand.organisation);
    addGroup(id, demand.group);
    bool isEligible = organisationOf(id).inFlight < m_limits.inFlightPerOrganisation;
    bool isFirst = group.queue.readyOrganisations() == 0 && isEligible;
    if (isFirst && group.openTargets > 0 && demand.latestStart > now) {
        std::optional<TargetId> target = chooseTarget(demand.id, demand.group);
        if (target) {
            group.queue.charge(id, priority, tokens);
            occupySlot(demand.id, InFlight { id, *target, demand.group, tokens });
            return Grant { demand.id, *target };
        }
    }
    Decision decision = enqueue(demand, priority, id, now);
    removeIfIdle(id);
    return decision;
}

Controller::Decision Controller::enqueue(Demand const& demand, int priority, OrganisationId id, TimePoint now)
{
    std::optional<Refusal> refusal = refuseEarly(demand, priority, id, now);
    if (refusal)
        return *refusal;
    Group& group = m_groups[demand.group];
    std::uint64_t tokens = std::max<std::uint64_t>(1, demand.tokens);
    FairQueue::Handle handle = group.queue.add(Waiting { demand.id, id, priority, tokens, demand.latestStart });
    Organisation& organisation = organisationOf(id);
    ++organisation.queued;
    group.queue.setEligible(id, organisation.inFlight < m_limits.inFlightPerOrganisation);
    m_queued.emplace(demand.id, QueuedAt { demand.group, handle });
    m_expiries.emplace(demand.latestStart, demand.id);
    // A slot may be free that the requests already waiting may not use but this one may.
    std::vector<Grant> grants;
    dispatchWaiting(demand.group, grants);
    Decision decision = Queued {};
    for (Grant const& grant : grants) {
        if (grant.id == demand.id)
            decision = grant;
        else
            m_grants.push_back(grant);
    }
    return decision;
}

/// Refuses a request that would miss its deadline or exceed a queue limit.
std::optional<Refusal> Controller::refuseEarly(Demand const& demand, int priority, OrganisationId id, TimePoint now)
{
    Group& group = m_groups[demand.group];
    std::chrono::milliseconds wait = group.rate.timeToProcess(group.queue.tokensAhead(id, priority));
    if (demand.latestStart <= now)
        return Refusal { demand.id, Core::makeError(Core::ErrorCode::Timeout, "The deadline has passed."), {} };
    if (now + wait >= demand.latestStart)
        return overloaded(demand.id, "The wait would be longer than the deadline allows.", wait);
    if (organisationOf(id).queued >= m_limits.queuedPerOrganisation)
        return overloaded(demand.id, "The organisation has too many requests waiting.", wait);
    if (group.queue.size() >= m_limits.queuedPerGroup && !evictFromLongestQueue(demand.group, id))
        return overloaded(demand.id, "Too many requests are waiting.", wait);
    return std::nullopt;
}

/// Refuses a request of the organisation with the longest queue, if that queue is longer than this organisation's would become.
bool Controller::evictFromLongestQueue(GroupId groupId, OrganisationId id)
{
    Group& group = m_groups[groupId];
    Waiting const* last = group.queue.lastOfLongestQueue(group.queue.sizeOf(id) + 1);
    if (last == nullptr)
        return false;
    RequestId victim = last->id;
    OrganisationId owner = last->organisation;
    std::chrono::milliseconds wait = group.rate.timeToProcess(group.queue.tokensAhead(owner, last->priority));
    dequeue(victim);
    m_refusals.push_back(overloaded(victim, "The queue is full and the organisation has most of it.", wait));
    return true;
}

Refusal Controller::overloaded(RequestId id, std::string_view message, std::chrono::milliseconds retryAfter) const
{
    return Refusal { id, Core::makeError(Core::ErrorCode::Overloaded, std::string(message)), retryAfter };
}

std::vector<Grant> Controller::release(RequestId request, TimePoint now)
{
    std::vector<Grant> grants;
    if (m_queued.contains(request)) {
        OrganisationId id = m_queued.find(request)->second.handle.organisation;
        dequeue(request);
        removeIfIdle(id);
        return grants;
    }
    auto it = m_inFlight.find(request);
    if (it == m_inFlight.end())
        return grants;
    InFlight ended = it->second;
    m_inFlight.erase(it);
    Group& group = m_groups[ended.group];
    group.rate.recordCompletion(ended.tokens, group.queue.size() > 0, now);
    Organisation& organisation = organisationOf(ended.organisation);
    bool wasHeldBack = organisation.inFlight-- == m_limits.inFlightPerOrganisation;
    if (wasHeldBack)
        setEligible(organisation, ended.organisation, true);
    releaseSlot(ended.target);
    auto target = m_targets.find(ended.target);
    if (target != m_targets.end()) {
        for (GroupId freed : target->second.groups)
            dispatchWaiting(freed, grants);
    }
    // The organisation's in-flight limit may have been the only thing blocking its requests in other groups.
    if (wasHeldBack) {
        for (GroupId other : organisationOf(ended.organisation).groups)
            dispatchWaiting(other, grants);
    }
    removeIfIdle(ended.organisation);
    return grants;
}

/// Assigns free slots to waiting requests in fair queueing order.
void Controller::dispatchWaiting(GroupId id, std::vector<Grant>& grants)
{
    Group& group = m_groups[id];
    std::optional<TargetId> target;
    auto accept = [this, id, &target](Waiting const& it) {
        target = chooseTarget(it.id, id);
        return target.has_value();
    };
    while (group.openTargets > 0 && group.queue.readyOrganisations() > 0) {
        std::optional<Waiting> next = group.queue.dequeueNext(std::ref(accept), maxOffers);
        if (!next)
            return;
        m_queued.erase(next->id);
        m_expiries.erase({ next->latestStart, next->id });
        --organisationOf(next->organisation).queued;
        occupySlot(next->id, InFlight { next->organisation, *target, id, next->tokens });
        grants.push_back(Grant { next->id, *target });
    }
}

std::optional<TargetId> Controller::chooseTarget(RequestId request, GroupId group) const
{
    std::optional<TargetId> target = m_targetChooser(request, group);
    if (!target || !hasRoom(*target))
        return std::nullopt;
    return target;
}

void Controller::occupySlot(RequestId request, InFlight inFlight)
{
    Target& target = m_targets[inFlight.target];
    updateTarget(target, target.limit, target.inFlight + 1);
    Organisation& organisation = organisationOf(inFlight.organisation);
    if (++organisation.inFlight == m_limits.inFlightPerOrganisation)
        setEligible(organisation, inFlight.organisation, false);
    m_inFlight.emplace(request, inFlight);
}

void Controller::setEligible(Organisation const& organisation, OrganisationId id, bool isEligible)
{
    for (GroupId group : organisation.groups)
        m_groups[group].queue.setEligible(id, isEligible);
}

void Controller::dequeue(RequestId request)
{
    auto it = m_queued.find(request);
    QueuedAt at = it->second;
    m_queued.erase(it);
    m_expiries.erase({ at.handle.it->latestStart, request });
    --organisationOf(at.handle.organisation).queued;
    m_groups[at.group].queue.remove(at.handle);
}

std::vector<Refusal> Controller::expire(TimePoint now)
{
    std::vector<Refusal> refusals;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        RequestId request = m_expiries.begin()->second;
        OrganisationId id = m_queued.find(request)->second.handle.organisation;
        dequeue(request);
        removeIfIdle(id);
        refusals.push_back(Refusal { request, Core::makeError(Core::ErrorCode::Timeout, "No target was free within the time that the request may wait."), {} });
    }
    return refusals;
}

std::optional<TimePoint> Controller::nextExpiry() const
{
    if (m_expiries.empty())
        return std::nullopt;
    return m_expiries.begin()->first;
}

std::vector<Grant> Controller::takeGrants()
{
    return std::exchange(m_grants, {});
}

std::vector<Refusal> Controller::takeRefusals()
{
    return std::exchange(m_refusals, {});
}

bool Controller::hasRoom(TargetId id) const
{
    auto it = m_targets.find(id);
    return it != m_targets.end() && it->second.hasRoom();
}

std::uint32_t Controller::inFlightAt(TargetId id) const
{
    auto it = m_targets.find(id);
    return it == m_targets.end() ? 0 : it->second.inFlight;
}

std::size_t Controller::queued(GroupId id) const
{
    auto it = m_groups.find(id);
    return it == m_groups.end() ? 0 : it->second.queue.size();
}

OrganisationId Controller::organisationIdOf(std::string const& name)
{
    auto it = m_organisationIds.find(name);
    if (it != m_organisationIds.end())
        return it->second;
    OrganisationId id = static_cast<OrganisationId>(m_organisations.size());
    if (m_freeIds.empty()) {
        m_organisations.emplace_back();
    } else {
        id = m_freeIds.back();
        m_freeIds.pop_back();
    }
    m_organisations[id].name = name;
    m_organisationIds.emplace(name, id);
    return id;
}

void Controller::addGroup(OrganisationId id, GroupId group)
{
    std::vector<GroupId>& groups = organisationOf(id).groups;
    if (std::find(groups.begin(), groups.end(), group) == groups.end())
        groups.push_back(group);
}

void Controller::removeIfIdle(OrganisationId id)
{
    Organisation& organisation = organisationOf(id);
    if (organisation.inFlight > 0 || organisation.queued > 0)
        return;
    for (GroupId group : organisation.groups)
        m_groups[group].queue.removeOrganisation(id);
    m_organisationIds.erase(organisation.name);
    organisation = Organisation();
    m_freeIds.push_back(id);
}

}
