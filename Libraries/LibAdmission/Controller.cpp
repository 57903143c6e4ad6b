#include <LibAdmission/Controller.h>
#include <algorithm>

namespace Admission {

namespace {

/// How many waiting requests are looked at for one freed place: those of a group that may not use it are passed over.
constexpr int maxOffers = 16;

}

Core::Result<std::unique_ptr<Controller>> Controller::create(Limits limits, PlaceHook placeHook)
{
    if (limits.inFlightPerOrganisation == 0 || limits.queuedPerOrganisation == 0 || limits.queuedPerGroup == 0)
        return Core::fail(Core::ErrorCode::BadInput, "The limits of admission must be more than 0.");
    if (!placeHook)
        return Core::fail(Core::ErrorCode::BadInput, "Admission needs a hook that chooses targets.");
    return std::unique_ptr<Controller>(new Controller(limits, std::move(placeHook)));
}

Controller::Controller(Limits limits, PlaceHook placeHook)
    : m_limits(limits)
    , m_placeHook(std::move(placeHook))
{
}

std::vector<Grant> Controller::setTarget(TargetId id, std::uint32_t inFlightLimit, std::vector<GroupId> groups)
{
    Target& target = m_targets[id];
    changeTarget(target, 0, target.inFlight);
    target.groups = std::move(groups);
    changeTarget(target, inFlightLimit, target.inFlight);
    std::vector<Grant> grants;
    for (GroupId group : target.groups)
        serve(group, grants);
    return grants;
}

void Controller::removeTarget(TargetId id)
{
    auto it = m_targets.find(id);
    if (it == m_targets.end())
        return;
    changeTarget(it->second, 0, it->second.inFlight);
    it->second.groups.clear();
    // What runs there is still counted, should the target come back before it ends.
    if (it->second.inFlight == 0)
        m_targets.erase(it);
}

void Controller::countOpen(Target const& target, bool isOpen)
{
    for (GroupId id : target.groups) {
        Group& group = m_groups[id];
        group.openTargets += isOpen ? 1 : -1;
    }
}

void Controller::changeTarget(Target& target, std::uint32_t limit, std::uint32_t inFlight)
{
    bool hadRoom = target.hasRoom();
    target.limit = limit;
    target.inFlight = inFlight;
    if (target.hasRoom() != hadRoom)
        countOpen(target, !hadRoom);
}

void Controller::vacate(TargetId id)
{
    auto it = m_targets.find(id);
    changeTarget(it->second, it->second.limit, it->second.inFlight - 1);
    if (it->second.inFlight == 0 && it->second.groups.empty())
        m_targets.erase(it);
}

Controller::Decision Controller::enter(Demand const& demand, TimePoint now)
{
    int priority = std::clamp(demand.priority, 0, priorityCount - 1);
    std::uint64_t tokens = std::max<std::uint64_t>(1, demand.tokens);
    Group& group = m_groups[demand.group];
    OrganisationId id = organisationIdOf(demand.organisation);
    noteGroup(id, demand.group);
    bool isEligible = organisationOf(id).inFlight < m_limits.inFlightPerOrganisation;
    bool isFirst = group.queue.readyOrganisations() == 0 && isEligible;
    if (isFirst && group.openTargets > 0 && demand.latestStart > now) {
        std::optional<TargetId> target = place(demand.id, demand.group);
        if (target) {
            group.queue.charge(id, priority, tokens);
            occupy(demand.id, InFlight { id, *target, demand.group, tokens });
            return Grant { demand.id, *target };
        }
    }
    Decision decision = enqueue(demand, priority, id, now);
    forgetIfIdle(id);
    return decision;
}

Controller::Decision Controller::enqueue(Demand const& demand, int priority, OrganisationId id, TimePoint now)
{
    std::optional<Refusal> refusal = refuseEarly(demand, priority, id, now);
    if (refusal)
        return *refusal;
    Group& group = m_groups[demand.group];
    std::uint64_t tokens = std::max<std::uint64_t>(1, demand.tokens);
    FairQueue::Place place = group.queue.add(Waiting { demand.id, id, priority, tokens, demand.latestStart });
    Organisation& organisation = organisationOf(id);
    ++organisation.queued;
    group.queue.setEligible(id, organisation.inFlight < m_limits.inFlightPerOrganisation);
    m_queued.emplace(demand.id, QueuedAt { demand.group, place });
    m_expiries.emplace(demand.latestStart, demand.id);
    // There may be a place that those who wait may not use, and this one may.
    std::vector<Grant> grants;
    serve(demand.group, grants);
    Decision decision = Queued {};
    for (Grant const& grant : grants) {
        if (grant.id == demand.id)
            decision = grant;
        else
            m_grants.push_back(grant);
    }
    return decision;
}

/// Refuses now what would be refused later anyway.
std::optional<Refusal> Controller::refuseEarly(Demand const& demand, int priority, OrganisationId id, TimePoint now)
{
    Group& group = m_groups[demand.group];
    std::chrono::milliseconds wait = group.rate.timeFor(group.queue.tokensAhead(id, priority));
    if (demand.latestStart <= now)
        return Refusal { demand.id, Core::makeError(Core::ErrorCode::Timeout, "The deadline has passed."), {} };
    if (now + wait >= demand.latestStart)
        return overloaded(demand.id, "The wait would be longer than the deadline allows.", wait);
    if (organisationOf(id).queued >= m_limits.queuedPerOrganisation)
        return overloaded(demand.id, "The organisation has too many requests waiting.", wait);
    if (group.queue.size() >= m_limits.queuedPerGroup && !makeRoom(demand.group, id))
        return overloaded(demand.id, "Too many requests are waiting.", wait);
    return std::nullopt;
}

/// Refuses a request of the organisation that has most of them waiting, when it has more than this one would.
bool Controller::makeRoom(GroupId groupId, OrganisationId id)
{
    Group& group = m_groups[groupId];
    Waiting const* last = group.queue.lastOfLongest(group.queue.sizeOf(id) + 1);
    if (last == nullptr)
        return false;
    RequestId victim = last->id;
    OrganisationId owner = last->organisation;
    std::chrono::milliseconds wait = group.rate.timeFor(group.queue.tokensAhead(owner, last->priority));
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
        OrganisationId id = m_queued.find(request)->second.place.organisation;
        dequeue(request);
        forgetIfIdle(id);
        return grants;
    }
    auto it = m_inFlight.find(request);
    if (it == m_inFlight.end())
        return grants;
    InFlight ended = it->second;
    m_inFlight.erase(it);
    Group& group = m_groups[ended.group];
    group.rate.note(ended.tokens, group.queue.size() > 0, now);
    Organisation& organisation = organisationOf(ended.organisation);
    bool wasHeldBack = organisation.inFlight-- == m_limits.inFlightPerOrganisation;
    if (wasHeldBack)
        setEligible(organisation, ended.organisation, true);
    vacate(ended.target);
    auto target = m_targets.find(ended.target);
    if (target != m_targets.end()) {
        for (GroupId freed : target->second.groups)
            serve(freed, grants);
    }
    // The organisation's own limit may have been all that held its requests in other groups.
    if (wasHeldBack) {
        for (GroupId other : organisationOf(ended.organisation).groups)
            serve(other, grants);
    }
    forgetIfIdle(ended.organisation);
    return grants;
}

/// Hands free places to waiting requests in fair order.
void Controller::serve(GroupId id, std::vector<Grant>& grants)
{
    Group& group = m_groups[id];
    std::optional<TargetId> target;
    auto accept = [this, id, &target](Waiting const& it) {
        target = place(it.id, id);
        return target.has_value();
    };
    while (group.openTargets > 0 && group.queue.readyOrganisations() > 0) {
        std::optional<Waiting> next = group.queue.serve(std::ref(accept), maxOffers);
        if (!next)
            return;
        m_queued.erase(next->id);
        m_expiries.erase({ next->latestStart, next->id });
        --organisationOf(next->organisation).queued;
        occupy(next->id, InFlight { next->organisation, *target, id, next->tokens });
        grants.push_back(Grant { next->id, *target });
    }
}

std::optional<TargetId> Controller::place(RequestId request, GroupId group) const
{
    std::optional<TargetId> target = m_placeHook(request, group);
    if (!target || !hasRoom(*target))
        return std::nullopt;
    return target;
}

void Controller::occupy(RequestId request, InFlight inFlight)
{
    Target& target = m_targets[inFlight.target];
    changeTarget(target, target.limit, target.inFlight + 1);
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
    m_expiries.erase({ at.place.it->latestStart, request });
    --organisationOf(at.place.organisation).queued;
    m_groups[at.group].queue.remove(at.place);
}

std::vector<Refusal> Controller::expire(TimePoint now)
{
    std::vector<Refusal> refusals;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        RequestId request = m_expiries.begin()->second;
        OrganisationId id = m_queued.find(request)->second.place.organisation;
        dequeue(request);
        forgetIfIdle(id);
        refusals.push_back(Refusal { request, Core::makeError(Core::ErrorCode::Timeout, "The deadline passed in the queue."), {} });
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

void Controller::noteGroup(OrganisationId id, GroupId group)
{
    std::vector<GroupId>& groups = organisationOf(id).groups;
    if (std::find(groups.begin(), groups.end(), group) == groups.end())
        groups.push_back(group);
}

void Controller::forgetIfIdle(OrganisationId id)
{
    Organisation& organisation = organisationOf(id);
    if (organisation.inFlight > 0 || organisation.queued > 0)
        return;
    for (GroupId group : organisation.groups)
        m_groups[group].queue.forget(id);
    m_organisationIds.erase(organisation.name);
    organisation = Organisation();
    m_freeIds.push_back(id);
}

}
