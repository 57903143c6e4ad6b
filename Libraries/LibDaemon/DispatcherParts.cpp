// The part of Dispatcher that decides where shared parts of prompts are at home: docs/design/uneven-demand.md.

#include <LibDaemon/DispatcherWaiter.h>
#include <LibRouting/LeastTime.h>
#include <LibRouting/PromptHomes.h>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

// Parts in one beacon: those that a daemon's requests ask for most. At a part that needs a second home, each daemon sees some.
constexpr std::size_t maxPartUses = 16;

}

// The home targets of a shared prefix are the same at all daemons, whatever each has seen of it. Called with the mutex held.
void Dispatcher::markHomes(PlacementRequest const& request)
{
    if (request.shape.phase != Routing::Phase::WholeOrPrefill || request.shape.prefixHash == 0)
        return;
    m_homeKeys.clear();
    m_homeCandidates.clear();
    m_promptUtilisation.reset();
    for (std::size_t n = 0; n < m_candidates.size(); ++n) {
        if (m_candidates[n].role != Routing::TargetRole::Prefill || m_candidates[n].closed)
            continue;
        m_homeKeys.push_back(request.fleet->targets[m_candidatePositions[n]].key);
        m_homeCandidates.push_back(n);
    }
    if (m_spreadsParts && markSpreadHomes(request))
        return;
    Routing::Homes homes = Routing::homesOf(request.shape.prefixHash, m_homeKeys);
    if (homes.first < m_homeKeys.size())
        m_candidates[m_homeCandidates[homes.first]].isHome = true;
    if (homes.second < m_homeKeys.size())
        m_candidates[m_homeCandidates[homes.second]].isSecondHome = true;
}

// As many homes as the part's demand keeps busy, and one more for what overflows, most of them at fast targets. Returns false where targets
// are about equally fast: two homes do for each part there.
bool Dispatcher::markSpreadHomes(PlacementRequest const& request)
{
    std::vector<double> speeds;
    speeds.reserve(m_homeKeys.size());
    for (std::size_t n = 0; n < m_homeKeys.size(); ++n)
        speeds.push_back(m_homeSpeeds.speed(m_homeKeys[n], m_candidates[m_homeCandidates[n]].promptFactor));
    if (!Routing::areUneven(speeds))
        return false;
    Clock::time_point now = Clock::now();
    double load = m_promptLoad.total(request.work, now);
    std::vector<double> weights = Routing::leastTimeWork(speeds, load > 0 ? m_homeLoads[request.work].update(load) : 0);
    m_homeTargets.clear();
    double capacity = 0;
    for (std::size_t n = 0; n < m_homeKeys.size(); ++n) {
        m_homeTargets.push_back({ m_homeKeys[n], weights[n] });
        capacity += weights[n] > 0 ? speeds[n] : 0;
    }
    if (load > 0)
        m_promptUtilisation = load / capacity;
    std::size_t needed = m_partHomes.homesNeeded(request.shape.prefixHash, m_demand.meanPrompt(request.work), now);
    std::vector<std::size_t> homes = Routing::weightedHomesOf(request.shape.prefixHash, m_homeTargets, needed + 1);
    for (std::size_t n = 0; n < homes.size(); ++n) {
        Routing::Candidate& candidate = m_candidates[m_homeCandidates[homes[n]]];
        (n < needed ? candidate.isHome : candidate.isSecondHome) = true;
    }
    return true;
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
