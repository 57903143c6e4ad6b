// The part of Dispatcher that updates the state of targets: fleet, load reports, outcomes and peer messages.

#include <LibCore/EventLog.h>
#include <LibDaemon/Dispatcher.h>
#include <algorithm>
#include <tuple>
#include <utility>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

// Outcomes arrive about ten times a second. With enough of them, a failing target is detected within this interval.
constexpr std::chrono::milliseconds outlierInterval { 100 };

// Targets of one service, whatever their roles: an engine that changes its role keeps its pace.
std::vector<std::vector<std::uint64_t>> paceGroups(FleetSnapshot const& fleet)
{
    std::map<std::string, std::vector<std::uint64_t>> groups;
    for (FleetTarget const& target : fleet.targets)
        groups[target.work()].push_back(target.key);
    std::vector<std::vector<std::uint64_t>> keys;
    for (std::pair<std::string const, std::vector<std::uint64_t>>& it : groups)
        keys.push_back(std::move(it.second));
    return keys;
}

}

void Dispatcher::report(std::uint32_t targetId, Routing::LoadReport const& report)
{
    std::lock_guard lock(m_mutex);
    if (targetId < m_loads.size())
        m_loads.report(targetId, report);
}

void Dispatcher::setFleet(FleetPointer fleet)
{
    m_paths.setFleet(*fleet);
    std::lock_guard lock(m_mutex);
    std::uint32_t highest = 0;
    std::vector<std::uint32_t> known;
    std::unordered_map<std::uint32_t, Routing::TargetRole> formerRoles = std::exchange(m_roles, {});
    m_targetNames.clear();
    m_streamTerms.clear();
    m_targetIdsByKey.clear();
    std::map<std::tuple<std::string, Routing::TargetRole>, std::vector<std::uint64_t>> groups;
    std::map<std::string, std::set<std::string>> releases; // By service.
    for (FleetTarget const& target : fleet->targets) {
        groups[{ target.work(), target.role }].push_back(target.key);
        m_targetNames.emplace(target.key, target.name);
        releases[target.work()].insert(target.streamRelease);
        m_streamTerms.emplace(target.key, StreamTerms { target.streamRelease, target.mayBeginStreams });
        m_targetIdsByKey.emplace(target.key, target.id);
        highest = std::max(highest, target.id);
        known.push_back(target.id);
        m_roles.emplace(target.id, target.role);
        // A target that rejects a request for its former role, and does not say which process it is, was taken for replaced.
        std::unordered_map<std::uint32_t, Routing::TargetRole>::const_iterator former = formerRoles.find(target.id);
        if (former != formerRoles.end() && former->second != target.role)
            m_health.forget(target.key);
    }
    m_isAnyBarred = std::any_of(fleet->targets.begin(), fleet->targets.end(), [](FleetTarget const& it) { return !it.mayBeginStreams; });
    m_hasSeveralReleases = std::any_of(releases.begin(), releases.end(), [](std::pair<std::string const, std::set<std::string>> const& it) { return it.second.size() > 1; });
    std::vector<std::vector<std::uint64_t>> outlierGroups;
    for (std::pair<std::tuple<std::string, Routing::TargetRole> const, std::vector<std::uint64_t>>& it : groups)
        outlierGroups.push_back(std::move(it.second));
    m_paces.setGroups(paceGroups(*fleet));
    m_outliers.setGroups(std::move(outlierGroups));
    m_speeds.keepTargets(m_targetNames);
    std::erase_if(m_homePlans, [&groups](std::pair<std::string const, Routing::HomePlan> const& it) { return !groups.contains({ it.first, Routing::TargetRole::Prefill }); });
    std::set<std::uint64_t> listed;
    for (FleetTarget const& target : fleet->targets)
        listed.insert(target.key);
    m_notices.keepListed(listed, Core::BootClock::now());
    m_rates.keepListed(listed, Core::BootClock::now());
    if (!fleet->targets.empty() && highest >= m_loads.size())
        m_loads.resize(highest + 1);
    for (std::uint32_t id : m_knownTargets) {
        if (std::find(known.begin(), known.end(), id) == known.end())
            m_admission->removeTarget(id);
    }
    m_knownTargets = std::move(known);
    setPlaces(*fleet);
    m_limits.clear();
    for (FleetTarget const& target : fleet->targets)
        m_limits.emplace(target.id, limitOf(target));
    for (FleetTarget const& target : fleet->targets)
        resolve(m_admission->setTarget(target.id, admittedAt(target.id), m_groupsOfTarget[target.id]));
}

std::uint32_t Dispatcher::limitOf(FleetTarget const& target) const
{
    if (target.isClosed())
        return 0;
    // A plain service reports its slots; an engine queues requests by urgency itself.
    bool isPlain = target.kind == Platform::VmKind::Service;
    return isPlain && target.slots != 0 ? std::min(target.slots, m_inFlightPerTarget) : m_inFlightPerTarget;
}

void Dispatcher::noteOutcome(std::uint64_t targetKey, Routing::TargetOutcome outcome)
{
    std::lock_guard lock(m_mutex);
    Clock::time_point now = Clock::now();
    m_health.note(targetKey, outcome, now);
    if (outcome == Routing::TargetOutcome::Unreachable)
        m_paths.note(targetKey, Routing::PathEvidence::Unreachable);
    else if (outcome != Routing::TargetOutcome::Broken && outcome != Routing::TargetOutcome::Replaced)
        m_paths.note(targetKey, Routing::PathEvidence::Answered);
    // A refusal is retried elsewhere and loses no response, so that it is not counted. `m_health` handles unreachable targets.
    if (outcome == Routing::TargetOutcome::Answered)
        m_outliers.note(targetKey, true, now);
    else if (outcome == Routing::TargetOutcome::Failed || outcome == Routing::TargetOutcome::Broken)
        m_outliers.note(targetKey, false, now);
}

std::vector<Routing::HeldPart> Dispatcher::takeHeldParts()
{
    std::lock_guard lock(m_mutex);
    return std::exchange(m_unreportedParts, {});
}

void Dispatcher::takePeerParts(std::vector<Routing::HeldPart> const& parts)
{
    std::lock_guard lock(m_mutex);
    for (Routing::HeldPart const& part : parts) {
        std::unordered_map<std::uint64_t, std::uint32_t>::const_iterator id = m_targetIdsByKey.find(part.target);
        if (id != m_targetIdsByKey.end())
            m_prefixes.stored(part.hash, id->second);
    }
}

std::vector<Routing::OutcomeCounts> Dispatcher::takeOutcomes()
{
    std::lock_guard lock(m_mutex);
    return m_outliers.takeUnreported();
}

void Dispatcher::takePeerOutcomes(std::vector<Routing::OutcomeCounts> const& outcomes)
{
    std::lock_guard lock(m_mutex);
    m_outliers.merge(outcomes, Clock::now());
}

// Called with the mutex held.
void Dispatcher::updateOutliers(Clock::time_point now)
{
    if (now - m_outliersUpdated < outlierInterval)
        return;
    m_outliersUpdated = now;
    for (Routing::OutcomeCounts const& it : m_outliers.update(now))
        Core::logEvent(Core::Severity::Warning, Core::Event::TargetFailing, { { "target", m_targetNames[it.target] }, { "bad", std::to_string(it.bad) }, { "good", std::to_string(it.good) } });
}

std::vector<std::uint64_t> Dispatcher::suspects() const
{
    std::lock_guard lock(m_mutex);
    return m_health.suspects(Clock::now());
}

void Dispatcher::setAvoided(std::set<std::uint64_t> targets)
{
    std::lock_guard lock(m_mutex);
    m_avoided = std::move(targets);
}

std::vector<Routing::TargetShare> Dispatcher::openWork() const
{
    std::lock_guard lock(m_mutex);
    return m_openWork.own();
}

void Dispatcher::takePeerWork(std::string const& peer, std::vector<Routing::TargetShare> const& shares, std::chrono::milliseconds lifetime)
{
    std::lock_guard lock(m_mutex);
    m_openWork.setPeer(peer, shares, Clock::now(), lifetime);
}

std::size_t Dispatcher::openRequests() const
{
    std::lock_guard lock(m_mutex);
    return m_waiters.size();
}

std::uint32_t Dispatcher::inFlightAt(std::uint32_t targetId) const
{
    std::lock_guard lock(m_mutex);
    return m_admission->inFlightAt(targetId);
}

}
