// The part of Dispatcher that decides where shared parts of prompts are at home: docs/design/uneven-demand.md.

#include <LibDaemon/DispatcherWaiter.h>
#include <LibRouting/PromptHomes.h>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

// Parts in one beacon: those that a daemon's requests ask for most. At a part that needs a second home, each daemon sees some.
constexpr std::size_t maxPartUses = 16;

}

// The home targets of a shared prefix are the same at all daemons, whatever each has seen of it. Called with the mutex held.
void Dispatcher::markHomes(PlacementRequest const& request, Routing::RequestShape& shape)
{
    if (shape.phase != Routing::Phase::WholeOrPrefill || shape.prefixHash == 0)
        return;
    m_homeKeys.clear();
    m_homeCandidates.clear();
    for (std::size_t n = 0; n < m_candidates.size(); ++n) {
        if (m_candidates[n].role != Routing::TargetRole::Prefill || m_candidates[n].closed)
            continue;
        m_homeKeys.push_back(request.fleet->targets[m_candidatePositions[n]].key);
        m_homeCandidates.push_back(n);
    }
    Routing::HomePlan const* plan = m_spreadsParts ? &homePlan(request) : nullptr;
    if (plan && plan->isUneven() && markPlannedHomes(request, *plan)) {
        shape.placesByLoad = true;
        shape.promptUtilisation = plan->utilisation();
        return;
    }
    Routing::Homes homes = Routing::homesOf(shape.prefixHash, m_homeKeys);
    if (homes.first < m_homeKeys.size())
        m_candidates[m_homeCandidates[homes.first]].isHome = true;
    if (homes.second < m_homeKeys.size())
        m_candidates[m_homeCandidates[homes.second]].isSecondHome = true;
}

Routing::HomePlan const& Dispatcher::homePlan(PlacementRequest const& request)
{
    Clock::time_point now = Clock::now();
    Routing::HomePlan& plan = m_homePlans[request.work];
    if (!plan.isDue(now))
        return plan;
    std::vector<Routing::HomePlan::Target> targets;
    for (FleetTarget const& target : request.fleet->targets) {
        if (target.role == Routing::TargetRole::Prefill && target.work() == request.work)
            targets.push_back({ target.key, promptFactor(target.key) });
    }
    plan.update(targets, m_promptLoad.total(request.work, now), now);
    return plan;
}

// As many homes as the part's demand keeps busy, and one more for what overflows. Returns false where no open target is home to parts.
bool Dispatcher::markPlannedHomes(PlacementRequest const& request, Routing::HomePlan const& plan)
{
    m_homeTargets.clear();
    for (std::uint64_t key : m_homeKeys)
        m_homeTargets.push_back({ key, plan.weight(key) });
    std::size_t needed = m_partHomes.homesNeeded(request.shape.prefixHash, m_demand.meanPrompt(request.work), Clock::now());
    std::vector<std::size_t> homes = Routing::weightedHomesOf(request.shape.prefixHash, m_homeTargets, needed + 1);
    for (std::size_t n = 0; n < homes.size(); ++n) {
        Routing::Candidate& candidate = m_candidates[m_homeCandidates[homes[n]]];
        (n < needed ? candidate.isHome : candidate.isSecondHome) = true;
    }
    return !homes.empty();
}

// Called with the mutex held. Counts each request once, at its first attempt.
void Dispatcher::notePartUse(PlacementRequest const& request)
{
    bool isFirst = request.shape.phase == Routing::Phase::WholeOrPrefill && request.excluded.empty();
    if (m_spreadsParts && isFirst && request.shape.prefixHash != 0)
        m_partHomes.note(request.shape.prefixHash, Clock::now());
}

std::vector<Routing::PartUse> Dispatcher::takePartUses()
{
    std::lock_guard lock(m_mutex);
    return m_spreadsParts ? m_partHomes.takeUnreported(maxPartUses) : std::vector<Routing::PartUse>();
}

void Dispatcher::takePeerPartUses(std::vector<Routing::PartUse> const& uses)
{
    std::lock_guard lock(m_mutex);
    if (m_spreadsParts)
        m_partHomes.merge(uses, Clock::now());
}

}
