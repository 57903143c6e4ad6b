#include <LibDaemon/DispatcherWaiter.h>
#include <LibRouting/PromptHomes.h>
#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tuple>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t prefixIndexCapacity = 16 * 1024;
constexpr std::size_t maxPrefixMatches = 16;
// Lower bound for the mean prompt time, which is 0 until it is known. No engine is faster.
constexpr double minPromptSeconds = 0.001;

// Returns the work that a request adds to a target in this role.
Routing::TargetWork workOf(Routing::RequestShape const& shape, Routing::TargetRole role, std::uint32_t tokensToCompute, double promptFactor)
{
    Routing::TargetWork work;
    if (shape.phase == Routing::Phase::WholeOrPrefill && role == Routing::TargetRole::Prefill) {
        work.prefillSeconds = shape.promptCost.seconds(tokensToCompute, shape.promptTokens) * promptFactor;
        return work;
    }
    work.requests = 1;
    work.kvTokens = static_cast<std::uint64_t>(shape.promptTokens) + shape.expectedOutputTokens;
    return work;
}

}

Core::Result<std::unique_ptr<Dispatcher>> Dispatcher::create(Settings::DaemonSettings const& settings, std::uint64_t seed)
{
    BOOST_OUTCOME_TRY(Routing::Router router, Routing::Router::create(settings.routing));
    BOOST_OUTCOME_TRY(Routing::LoadTable loads, Routing::LoadTable::create(Routing::LoadTable::Settings()));
    BOOST_OUTCOME_TRY(Routing::PrefixIndex prefixes, Routing::PrefixIndex::create(prefixIndexCapacity));
    BOOST_OUTCOME_TRY(Admission::PlaceShares shares, Admission::PlaceShares::create({}, settings.daemon.name));
    BOOST_OUTCOME_TRY(Admission::FleetQueue fleetQueue, Admission::FleetQueue::create({}));
    std::unique_ptr<Dispatcher> dispatcher(new Dispatcher(settings, router, std::move(loads), std::move(prefixes), std::move(shares), std::move(fleetQueue), seed));
    Admission::Controller::Limits limits;
    limits.inFlightPerOrganisation = settings.limits.inFlightPerOrganisation;
    limits.queuedPerOrganisation = settings.limits.queuedPerOrganisation;
    limits.queuedPerGroup = std::max<std::size_t>(settings.limits.queuedPerTarget, 1);
    Dispatcher* raw = dispatcher.get();
    BOOST_OUTCOME_TRY(dispatcher->m_admission, Admission::Controller::create(limits, [raw](Admission::RequestId id, Admission::GroupId) { return raw->chooseTarget(id); }));
    return dispatcher;
}

Dispatcher::Dispatcher(Settings::DaemonSettings const& settings, Routing::Router router, Routing::LoadTable loads, Routing::PrefixIndex prefixes, Admission::PlaceShares shares, Admission::FleetQueue fleetQueue, std::uint64_t seed)
    : m_inFlightPerTarget(settings.limits.inFlightPerTarget)
    , m_router(router)
    , m_loads(std::move(loads))
    , m_learnsPace(settings.routing.learnsPace)
    , m_spreadsParts(settings.routing.spreadsParts)
    , m_prefixes(std::move(prefixes))
    , m_random(seed)
    , m_preferenceSeed(m_random())
    , m_paths(m_random())
    , m_sharesPlaces(settings.limits.sharesPlaces)
    , m_shares(std::move(shares))
    , m_fleetQueue(std::move(fleetQueue))
{
}

Dispatcher::~Dispatcher() = default;

std::uint64_t Dispatcher::nextId()
{
    std::lock_guard lock(m_mutex);
    return ++m_lastId;
}

// Requests that may go to the same targets share a queue, so that a waiting request never blocks one that may go to other targets.
Admission::GroupId Dispatcher::groupOf(PlacementRequest const& request)
{
    std::vector<std::uint32_t> ids;
    ids.reserve(request.allowed.size());
    for (std::uint32_t position : request.allowed)
        ids.push_back(request.fleet->targets[position].id);
    std::sort(ids.begin(), ids.end());
    // Where every target may begin streams, these share a queue with all else, in the order of their priorities.
    bool mayGoAnywhere = request.stream.kind == StreamPlacement::Kind::Begins && !m_isAnyBarred;
    StreamPlacement stream = mayGoAnywhere ? StreamPlacement() : request.stream;
    std::pair<std::map<std::pair<std::vector<std::uint32_t>, StreamPlacement>, Admission::GroupId>::iterator, bool> added = m_groups.try_emplace({ std::move(ids), std::move(stream) }, m_nextGroup);
    if (added.second) {
        ++m_nextGroup;
        addGroup(added.first->second, added.first->first.first);
    }
    return added.first->second;
}

void Dispatcher::addGroup(Admission::GroupId group, std::vector<std::uint32_t> const& targetIds)
{
    for (std::uint32_t id : targetIds) {
        m_groupsOfTarget[id].push_back(group);
        std::unordered_map<std::uint32_t, std::uint32_t>::const_iterator limit = m_limits.find(id);
        if (limit != m_limits.end())
            resolve(m_admission->setTarget(id, admittedAt(id), m_groupsOfTarget[id]));
    }
}

// If every fitting target was already tried, allows trying them again instead of waiting for a new one.
void Dispatcher::clearExhaustedExclusions(PlacementRequest& request) const
{
    bool isAnyLeft = std::any_of(request.allowed.begin(), request.allowed.end(), [&](std::uint32_t position) {
        FleetTarget const& target = request.fleet->targets[position];
        bool isExcluded = std::find(request.excluded.begin(), request.excluded.end(), target.name) != request.excluded.end();
        std::unordered_map<std::uint32_t, std::uint32_t>::const_iterator limit = m_limits.find(target.id);
        std::unordered_map<std::uint32_t, Routing::TargetRole>::const_iterator role = m_roles.find(target.id);
        bool isFit = role != m_roles.end() && Routing::takes(role->second, request.shape.phase) && mayWriteEvents(request, target.key, role->second);
        return isFit && !isExcluded && limit != m_limits.end() && limit->second > 0;
    });
    if (!isAnyLeft)
        request.excluded.clear();
}

Admission::Demand Dispatcher::demandOf(PlacementRequest const& request, std::uint64_t id)
{
    Admission::Demand demand;
    demand.id = id;
    demand.organisation = request.organisation;
    demand.group = groupOf(request);
    demand.priority = request.priority;
    demand.tokens = request.shape.promptTokens + request.shape.expectedOutputTokens;
    demand.latestStart = request.latestStart;
    return demand;
}

// Callback of the admission controller. Called with the mutex held.
std::optional<Admission::TargetId> Dispatcher::chooseTarget(Admission::RequestId id)
{
    Waiter& waiter = *m_waiters.at(id);
    PlacementRequest const& request = waiter.request;
    std::array<Routing::PrefixMatch, maxPrefixMatches> matches {};
    std::size_t matched = m_prefixes.match(request.prefix, matches);
    Clock::time_point now = Clock::now();
    Core::BootClock::time_point bootNow = Core::BootClock::now();
    m_candidates.clear();
    m_candidatePositions.clear();
    m_failingCandidates.clear();
    updateOutliers(now);
    updatePaces(now);
    bool hasOutputTarget = false;
    Routing::AgeWeightedWork stale;
    std::size_t fitTargets = 0;
    for (std::uint32_t position : request.allowed) {
        FleetTarget const& target = request.fleet->targets[position];
        std::unordered_map<std::uint32_t, Routing::TargetRole>::const_iterator role = m_roles.find(target.id);
        if (role == m_roles.end())
            continue;
        bool isExcluded = std::find(request.excluded.begin(), request.excluded.end(), target.name) != request.excluded.end();
        // Targets that cannot be chosen now are candidates, too, because the outputs pending from them count.
        bool isUnusable = !mayWriteEvents(request, target.key, role->second) || !m_admission->hasRoom(target.id) || m_health.isClosed(target.key, now) || m_paths.isClosed(target.key) || m_avoided.contains(target.key) || m_notices.isClosed(target.key, bootNow) || isRateExhausted(waiter, target.key, bootNow);
        bool isClosed = isExcluded || isUnusable;
        // An excluded target counts, because it may still generate the output if no other is left.
        hasOutputTarget = hasOutputTarget || (role->second != Routing::TargetRole::Prefill && !isUnusable);
        bool isFailing = !isClosed && m_outliers.isOutlier(target.key, now);
        // Uses the target's current role, because it may have changed while the request was waiting.
        Routing::Candidate candidate { target.id, role->second, target.distance, isClosed || isFailing, 0, m_loads.load(target.id, now), m_openWork.total(target.key, now) };
        candidate.slots = placesOf(target, now);
        candidate.preference = Routing::homeWeight(m_preferenceSeed, target.key);
        candidate.promptFactor = promptFactor(target.key);
        candidate.eventFactor = eventFactor(target.key, role->second);
        if (!isClosed && Routing::takes(role->second, request.shape.phase)) {
            stale += m_openWork.ageWeighted(target.key, now);
            ++fitTargets;
        }
        if (isFailing)
            m_failingCandidates.push_back(m_candidates.size());
        candidate.fetchesCrossZoneKv = !request.kvZone.empty() && request.kvZone != target.availabilityZone;
        if (target.kvCapacityTokens != 0)
            candidate.load.kvCapacityTokens = static_cast<std::uint32_t>(target.kvCapacityTokens);
        for (std::size_t n = 0; n < matched; ++n) {
            if (matches[n].target == target.id)
                candidate.prefixMatchTokens = std::max(candidate.prefixMatchTokens, matches[n].tokens);
        }
        m_candidates.push_back(candidate);
        m_candidatePositions.push_back(position);
    }
    closeLoneReleases(request);
    Routing::RequestShape shape = request.shape;
    markHomes(request, shape);
    shape.promptCost = m_speeds.speed(request.work, now).promptCost;
    shape.wholeSeconds = wholeSeconds(request);
    shape.outputSeconds = outputSeconds(*request.fleet, request.work, shape, now);
    shape.unseenRequests = unseenRequests(request.work, shape.phase, stale, fitTargets);
    // In the decode phase, the output being placed is no longer pending itself.
    shape.pendingOutputs = shape.phase == Routing::Phase::Decode ? 0 : Routing::pendingOutputs(m_candidates);
    waiter.outcome.decision = m_router.decide(m_candidates, shape, m_random);
    if (!waiter.outcome.decision.chosen && !m_loneCandidates.empty()) {
        for (std::size_t n : m_loneCandidates)
            m_candidates[n].closed = false;
        waiter.outcome.decision = m_router.decide(m_candidates, shape, m_random);
    }
    if (!waiter.outcome.decision.chosen && !m_failingCandidates.empty()) {
        // A target that fails often is better than none.
        for (std::size_t n : m_failingCandidates)
            m_candidates[n].closed = false;
        waiter.outcome.decision = m_router.decide(m_candidates, shape, m_random);
    }
    // A prompt is not computed while no target can decode it: that would waste prefill capacity that other requests need.
    if (waiter.outcome.decision.chosen && waiter.outcome.decision.role == Routing::TargetRole::Prefill && !hasOutputTarget) {
        waiter.outcome.decision.chosen.reset();
        waiter.outcome.decision.reason = Routing::Reason::NoOutputTarget;
    }
    if (!waiter.outcome.decision.chosen)
        return std::nullopt;
    std::uint32_t cached = m_candidates[*waiter.outcome.decision.chosen].prefixMatchTokens;
    waiter.computesSharedPrefix = shape.prefixHash != 0 && cached < shape.sharedTokens && waiter.outcome.decision.role == Routing::TargetRole::Prefill;
    waiter.promptTokens = shape.phase == Routing::Phase::Decode ? 0 : shape.promptTokens - std::min(cached, shape.promptTokens);
    waiter.outcome.position = m_candidatePositions[*waiter.outcome.decision.chosen];
    waiter.work = workOf(shape, waiter.outcome.decision.role, waiter.promptTokens, m_candidates[*waiter.outcome.decision.chosen].promptFactor);
    waiter.averageSeconds = shape.promptCost.seconds(waiter.promptTokens, shape.promptTokens);
    waiter.outcome.prefillSeconds = waiter.work.prefillSeconds;
    waiter.outcome.meanPrefillSeconds = m_demand.meanPrompt(request.work);
    return waiter.outcome.decision.target;
}

// If requests stay open for a tenth of the time since a peer reported them, about ten times as many have followed since.
double Dispatcher::unseenRequests(std::string const& service, Routing::Phase phase, Routing::AgeWeightedWork const& stale, std::size_t targets) const
{
    bool isPrompt = phase == Routing::Phase::WholeOrPrefill;
    Routing::TargetRole role = isPrompt ? Routing::TargetRole::Prefill : phase == Routing::Phase::Decode ? Routing::TargetRole::Decode
                                                                                                         : Routing::TargetRole::Mixed;
    double openSeconds = m_speeds.openSeconds(service, role);
    double requests = isPrompt ? stale.prefillSeconds / std::max(m_demand.meanPrompt(service), minPromptSeconds) : stale.requests;
    return targets > 0 && openSeconds > 0 ? requests / static_cast<double>(targets) / openSeconds : 0;
}

// Goes by the newest list of targets: a request keeps the one that it began with. A target that only computes prompts writes no events.
bool Dispatcher::mayWriteEvents(PlacementRequest const& request, std::uint64_t targetKey, Routing::TargetRole role) const
{
    if (request.stream.kind == StreamPlacement::Kind::Any || role == Routing::TargetRole::Prefill)
        return true;
    std::unordered_map<std::uint64_t, StreamTerms>::const_iterator terms = m_streamTerms.find(targetKey);
    if (terms == m_streamTerms.end())
        return false;
    if (request.stream.kind == StreamPlacement::Kind::Begins)
        return terms->second.mayBegin;
    return !request.stream.release.empty() && terms->second.release == request.stream.release;
}

// A stream at the only target of its release could go on nowhere if that were lost. Such a target begins streams only while those of other
// releases have no room.
void Dispatcher::closeLoneReleases(PlacementRequest const& request)
{
    m_loneCandidates.clear();
    if (!m_hasSeveralReleases || request.stream.kind != StreamPlacement::Kind::Begins)
        return;
    std::map<std::string_view, std::vector<std::size_t>> open; // Indices of candidates that may write events, by release.
    for (std::size_t n = 0; n < m_candidates.size(); ++n) {
        if (!m_candidates[n].closed && m_candidates[n].role != Routing::TargetRole::Prefill)
            open[m_streamTerms.at(request.fleet->targets[m_candidatePositions[n]].key).release].push_back(n);
    }
    bool isAnyRedundant = std::any_of(open.begin(), open.end(), [](std::pair<std::string_view const, std::vector<std::size_t>> const& it) { return it.second.size() > 1; });
    for (std::pair<std::string_view const, std::vector<std::size_t>> const& it : open) {
        if (isAnyRedundant && it.second.size() == 1)
            m_loneCandidates.push_back(it.second.front());
    }
    for (std::size_t n : m_loneCandidates)
        m_candidates[n].closed = true;
}

void Dispatcher::noteSent(Waiter& waiter)
{
    std::uint64_t key = waiter.request.fleet->targets[*waiter.outcome.position].key;
    constexpr double negligibleSeconds = 1e-6;
    Routing::TargetWork before = m_openWork.total(key, Clock::now());
    waiter.isOnlyPrompt = before.prefillSeconds < negligibleSeconds;
    waiter.aheadSeconds = before.prefillSeconds;
    waiter.openAtSend = before.requests + 1;
    m_openWork.begin(key, waiter.work);
    takeRate(waiter, key);
    waiter.sentAt = Clock::now();
    std::uint32_t id = waiter.request.fleet->targets[*waiter.outcome.position].id;
    bool hasPrompt = waiter.request.shape.phase != Routing::Phase::Decode;
    m_loads.count(id, { 1, 0, waiter.promptTokens, hasPrompt ? 1U : 0U, 0 }, Clock::now());
    if (!hasPrompt)
        return;
    if (m_spreadsParts && waiter.work.prefillSeconds > 0)
        m_promptLoad.note(waiter.request.work, waiter.averageSeconds, waiter.sentAt);
    m_prefixes.routed(waiter.request.prefix, id);
    if (waiter.computesSharedPrefix)
        m_unreportedParts.push_back({ waiter.request.shape.prefixHash, waiter.request.fleet->targets[*waiter.outcome.position].key });
}

void Dispatcher::wake(std::shared_ptr<Waiter> const& waiter)
{
    waiter->isResolved = true;
    boost::asio::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
}

void Dispatcher::resolve(std::vector<Admission::Grant> const& grants)
{
    for (Admission::Grant const& grant : grants) {
        std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::iterator it = m_waiters.find(grant.id);
        if (it == m_waiters.end())
            continue;
        noteSent(*it->second);
        wake(it->second);
    }
}

void Dispatcher::resolve(std::vector<Admission::Refusal> const& refusals)
{
    for (Admission::Refusal const& refusal : refusals) {
        std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::iterator it = m_waiters.find(refusal.id);
        if (it == m_waiters.end())
            continue;
        it->second->outcome.position.reset();
        it->second->outcome.error = refusal.error;
        it->second->outcome.retryAfter = refusal.retryAfter;
        returnRate(*it->second);
        wake(it->second);
        m_waiters.erase(it);
    }
}

void Dispatcher::applyAdmissionResults()
{
    resolve(m_admission->takeGrants());
    resolve(m_admission->takeRefusals());
}

boost::asio::awaitable<PlacementOutcome> Dispatcher::place(PlacementRequest request, boost::asio::any_io_executor executor, std::uint64_t id)
{
    std::shared_ptr<Waiter> waiter = std::make_shared<Waiter>(std::move(request), executor);
    waiter->outcome.id = id;
    {
        std::lock_guard lock(m_mutex);
        if (isRefusedForFleet(*waiter))
            co_return waiter->outcome;
        m_waiters.emplace(id, waiter);
        noteDemand(waiter->request);
        clearExhaustedExclusions(waiter->request);
        Admission::Controller::Decision decision = m_admission->enter(demandOf(waiter->request, id), Clock::now());
        if (std::holds_alternative<Admission::Grant>(decision)) {
            noteSent(*waiter);
            waiter->isResolved = true;
        } else if (Admission::Refusal const* refusal = std::get_if<Admission::Refusal>(&decision)) {
            waiter->outcome.position.reset();
            waiter->outcome.error = refusal->error;
            waiter->outcome.retryAfter = refusal->retryAfter;
            waiter->isResolved = true;
            m_waiters.erase(id);
        }
        applyAdmissionResults();
        if (waiter->isResolved)
            co_return waiter->outcome;
    }
    bool isInTime = true;
    while (isInTime) {
        Clock::time_point until = waiter->request.latestStart;
        {
            std::lock_guard lock(m_mutex);
            if (waiter->isResolved)
                break;
            // If all targets are paused or at their rate limits, wakes up when the first one accepts requests again.
            Core::BootClock::time_point now = Core::BootClock::now();
            std::optional<Reopening> opening = nextReopening(*waiter);
            if (opening && (!opening->isWorthWaiting || opening->at - now >= until - Clock::now())) {
                rejectWhilePaused(*waiter, opening->at);
                co_return waiter->outcome;
            }
            if (opening)
                until = Clock::now() + (opening->at - now);
        }
        waiter->timer.expires_at(until);
        boost::system::error_code ec;
        co_await waiter->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        isInTime = Clock::now() < waiter->request.latestStart;
        std::lock_guard lock(m_mutex);
        if (isInTime && !waiter->isResolved)
            retryReopenedTargets(waiter->request);
    }
    std::lock_guard lock(m_mutex);
    if (!waiter->isResolved)
        resolve(m_admission->expire(Clock::now()));
    if (!waiter->isResolved) {
        // Released by its owner, or the timer fired slightly before the deadline. In both cases it does not start.
        std::ignore = m_admission->release(id, Clock::now());
        returnRate(*waiter);
        m_waiters.erase(id);
        waiter->outcome.position.reset();
        waiter->outcome.error = Core::makeError(Core::ErrorCode::Timeout, "no target was free before the deadline");
    }
    co_return waiter->outcome;
}

void Dispatcher::release(std::uint64_t id)
{
    std::lock_guard lock(m_mutex);
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::iterator it = m_waiters.find(id);
    if (it == m_waiters.end())
        return;
    std::shared_ptr<Waiter> waiter = it->second;
    m_waiters.erase(it);
    returnRate(*waiter);
    if (waiter->isResolved && waiter->outcome.position) {
        std::uint32_t targetId = waiter->request.fleet->targets[*waiter->outcome.position].id;
        m_speeds.noteOpenTime(waiter->request.work, waiter->outcome.decision.role, std::chrono::duration<double>(Clock::now() - waiter->sentAt).count());
        noteWholePace(*waiter);
        noteServiceTime(*waiter);
        m_openWork.end(waiter->request.fleet->targets[*waiter->outcome.position].key, waiter->work);
        if (!waiter->isPrefilled)
            m_loads.prefilled(targetId, waiter->promptTokens, Clock::now());
        m_loads.ended(targetId, Clock::now());
    } else {
        waiter->outcome.position.reset();
        waiter->outcome.error = Core::makeError(Core::ErrorCode::Canceled, "the caller went away");
        wake(waiter);
    }
    resolve(m_admission->release(id, Clock::now()));
    applyAdmissionResults();
}

void Dispatcher::notePrefillDone(std::uint64_t id)
{
    std::lock_guard lock(m_mutex);
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::iterator it = m_waiters.find(id);
    if (it == m_waiters.end() || it->second->isPrefilled || !it->second->outcome.position)
        return;
    it->second->isPrefilled = true;
    m_loads.prefilled(it->second->request.fleet->targets[*it->second->outcome.position].id, it->second->promptTokens, Clock::now());
}

}
