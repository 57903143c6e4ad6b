#include <LibRoles/SplitRule.h>
#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <tuple>

namespace Roles {

namespace {

// Returns the capacity that remains after a loss, but at least half: even where no engine remains, a lost one returns or
// another changes its role within seconds.
double capacityAfterLoss(std::size_t engines, std::size_t failureDomains)
{
    constexpr double minCapacity = 1e-9;
    double n = static_cast<double>(engines);
    double lost = failureDomains > 1 ? std::ceil(n / static_cast<double>(failureDomains)) : 1;
    return std::max({ n - lost, n / 2, minCapacity });
}

}

std::map<std::uint32_t, SplitRule::ReleaseCounts> SplitRule::countReleases(std::vector<EngineView> const& engines, Returning returning)
{
    std::map<std::uint32_t, ReleaseCounts> releases;
    for (EngineView const& engine : engines) {
        bool isReturning = returning == Returning::Count && !engine.isLeaving;
        if (engine.state == EngineState::Down && !isReturning)
            continue;
        ReleaseCounts& counts = releases[engine.release];
        ++counts.total;
        counts.decode += engine.role == TargetRole::Decode ? 1 : 0;
    }
    return releases;
}

// Ranks an engine for a change by how many engines of its release decode; the lowest rank changes first.
std::uint32_t SplitRule::releaseRank(std::uint32_t decoding, TargetRole to) const
{
    bool isShort = decoding > 0 && decoding < m_settings.leastDecode;
    if (to == TargetRole::Decode)
        return isShort ? 0 : decoding > 0 ? 1
                                          : 2;
    return isShort ? 0 : decoding > m_settings.leastDecode ? 1
                                                           : 2;
}

double SplitRule::peakUtilisation(std::size_t engines, std::size_t decoding, SplitDemand const& demand) const
{
    double prompts = demand.prompts * m_settings.promptHeadroom / capacityAfterLoss(engines - decoding, m_failureDomains);
    return std::max(prompts, demand.outputs / capacityAfterLoss(decoding, m_failureDomains));
}

bool SplitRule::isUnderPressure(std::size_t engines, std::size_t decoding, SplitDemand const& demand) const
{
    return demand.prompts >= m_settings.pressureThreshold * static_cast<double>(engines - decoding) || demand.outputs >= m_settings.pressureThreshold * static_cast<double>(decoding);
}

std::size_t SplitRule::maxDecoding(std::size_t engines) const
{
    return engines - std::min<std::size_t>(m_settings.leastPrefill, engines - 1);
}

// At least one engine in each failure domain, and enough in the others when any one is lost.
std::size_t SplitRule::minDecoding(std::size_t engines) const
{
    std::size_t minimum = std::max<std::size_t>(m_settings.leastDecode, m_failureDomains);
    while (m_failureDomains > 1 && minimum - (minimum + m_failureDomains - 1) / m_failureDomains < m_settings.leastDecode)
        ++minimum;
    return std::clamp<std::size_t>(minimum, 1, maxDecoding(engines));
}

std::uint32_t SplitRule::wantedDecode(std::size_t engines, std::size_t decoding, SplitDemand const& demand) const
{
    if (engines < 2)
        return static_cast<std::uint32_t>(engines);
    std::size_t maximum = maxDecoding(engines);
    std::size_t minimum = minDecoding(engines);
    std::size_t best = std::clamp(static_cast<std::size_t>(std::lround(static_cast<double>(engines) * m_settings.decodeShare)), minimum, maximum);
    if (!demand.isKnown)
        return static_cast<std::uint32_t>(best);
    best = minimum;
    for (std::size_t n = minimum + 1; n <= maximum; ++n) {
        if (peakUtilisation(engines, n, demand) < peakUtilisation(engines, best, demand))
            best = n;
    }
    bool isAllowed = decoding >= minimum && decoding <= maximum;
    bool isPressureLow = m_hasFollowedDemand && !isUnderPressure(engines, decoding, demand);
    bool isWorthwhile = isAllowed && peakUtilisation(engines, best, demand) <= peakUtilisation(engines, decoding, demand) * (1 - m_settings.minImprovement);
    bool keepsSplit = isAllowed && (isPressureLow || !isWorthwhile);
    return static_cast<std::uint32_t>(keepsSplit ? decoding : best);
}

// Returns whether a side has no engine, or too few even with those that may return.
bool SplitRule::isUrgent(Counts const& counts) const
{
    if (counts.prefill == 0 || counts.decode == 0)
        return true;
    return counts.total() > 1 && (counts.decode + counts.returningDecode < minDecoding(counts.total()) || counts.prefill + counts.returningPrefill < m_settings.leastPrefill);
}

bool SplitRule::isDue(std::size_t listed, Counts const& counts, std::uint32_t wanted, bool isDemandKnown, bool isUrgent, Time now)
{
    if (!m_listChangedAt || listed != m_listedCount) {
        m_listedCount = listed;
        m_listChangedAt = now;
    }
    if (isDemandKnown && !m_demandKnownSince)
        m_demandKnownSince = now;
    if (counts.decode == wanted) {
        m_hasPlanned = m_hasPlanned || now - *m_listChangedAt >= m_settings.stabilisationTime;
        m_hasFollowedDemand = m_hasFollowedDemand || (m_demandKnownSince && now - *m_demandKnownSince >= m_settings.firstPatience);
        m_mismatchSince.reset();
        return false;
    }
    if (!m_mismatchSince)
        m_mismatchSince = now;
    bool isFirst = isDemandKnown && !m_hasFollowedDemand;
    std::chrono::milliseconds patience = isUrgent ? m_settings.urgentPatience : isFirst ? m_settings.firstPatience
                                                                                        : m_settings.patience;
    if (!m_hasPlanned)
        return now - *m_listChangedAt >= m_settings.stabilisationTime;
    return now - *m_mismatchSince >= patience;
}

// Engines that join later choose an initial role themselves; those that fill a shortage change it at once.
std::vector<RoleChange> SplitRule::assignNewEngines(std::vector<EngineView> const& engines, std::uint32_t decode, SplitDemand const& demand, std::size_t total)
{
    std::vector<RoleChange> changes;
    if (!m_hasPlanned || !demand.isKnown)
        return changes;
    std::uint32_t wanted = wantedDecode(total, decode, demand);
    TargetRole to = decode < wanted ? TargetRole::Decode : TargetRole::Prefill;
    std::uint32_t missing = decode < wanted ? wanted - decode : decode - wanted;
    std::map<std::uint32_t, ReleaseCounts> releases = countReleases(engines, Returning::AreLeftOut);
    std::vector<EngineView> newEngines;
    std::uint32_t bestRank = std::numeric_limits<std::uint32_t>::max();
    for (EngineView const& engine : engines) {
        if (engine.state != EngineState::Serving || engine.role == to || !engine.allowed.has(to))
            continue;
        bestRank = std::min(bestRank, releaseRank(releases[engine.release].decode, to));
        if (engine.isFresh)
            newEngines.push_back(engine);
    }
    // An engine of another release is worth the wait for its change.
    std::erase_if(newEngines, [&](EngineView const& it) { return releaseRank(releases[it.release].decode, to) > bestRank; });
    TargetRole from = to == TargetRole::Decode ? TargetRole::Prefill : TargetRole::Decode;
    missing = std::min(missing, movableEngines(engines, from, from == TargetRole::Decode ? wanted : static_cast<std::uint32_t>(total) - wanted));
    return selectEngines(engines, newEngines, to, missing, fastRole(demand));
}

// Without a demand, fast engines decode: an output stays on one engine for seconds, so a slow one delays the longest outputs, while a
// prompt waits only for those before it.
TargetRole SplitRule::fastRole(SplitDemand const& demand) const
{
    bool arePromptsLonger = demand.isKnown && demand.prompts > demand.openOutputs;
    return m_settings.putsFastWhereLongest && arePromptsLonger ? TargetRole::Prefill : TargetRole::Decode;
}

// Whether engines of several releases serve and none of these has enough that decode, so that the loss of one engine ends its streams.
bool SplitRule::lacksRedundantRelease(std::vector<EngineView> const& engines, Returning returning) const
{
    std::map<std::uint32_t, ReleaseCounts> releases = countReleases(engines, returning);
    bool isAnyRedundant = std::any_of(releases.begin(), releases.end(), [this](std::pair<std::uint32_t const, ReleaseCounts> const& it) { return it.second.decode >= m_settings.leastDecode; });
    bool isPossible = std::any_of(releases.begin(), releases.end(), [this](std::pair<std::uint32_t const, ReleaseCounts> const& it) { return it.second.total >= m_settings.leastDecode; });
    return releases.size() > 1 && !isAnyRedundant && isPossible;
}

// Selects eligible engines so that each release has enough that decode or none, and the role is spread evenly over failure domains; among
// equals, the fast ones for their role.
std::vector<RoleChange> SplitRule::selectEngines(std::vector<EngineView> const& engines, std::vector<EngineView> eligible, TargetRole to, std::uint32_t count, TargetRole fastRole) const
{
    std::map<std::uint32_t, ReleaseCounts> releases = countReleases(engines, Returning::AreLeftOut);
    std::map<std::uint32_t, double> sizes;
    std::map<std::uint32_t, double> withRole;
    for (EngineView const& engine : engines) {
        if (engine.state == EngineState::Down)
            continue;
        sizes[engine.failureDomain] += 1;
        withRole[engine.failureDomain] += engine.role == to ? 1 : 0;
    }
    std::function<std::tuple<std::uint32_t, std::int64_t, double, double, std::uint32_t>(EngineView const&)> rank = [&](EngineView const& it) { return std::tuple(releaseRank(releases[it.release].decode, to), to == TargetRole::Decode ? -static_cast<std::int64_t>(releases[it.release].total) : 0, (withRole[it.failureDomain] + 1) / std::max(1.0, sizes[it.failureDomain]), to == fastRole ? it.slowness : -it.slowness, it.engine); };
    std::vector<RoleChange> changes;
    while (changes.size() < count && !eligible.empty()) {
        std::vector<EngineView>::iterator best = std::min_element(eligible.begin(), eligible.end(), [&rank](EngineView const& one, EngineView const& other) { return rank(one) < rank(other); });
        changes.push_back({ best->engine, to, 0 });
        withRole[best->failureDomain] += 1;
        std::uint32_t& decoding = releases[best->release].decode;
        decoding = to == TargetRole::Decode ? decoding + 1 : decoding - std::min(decoding, 1U);
        eligible.erase(best);
    }
    return changes;
}

// Also updates the number of failure domains.
SplitRule::Counts SplitRule::countEngines(std::vector<EngineView> const& engines)
{
    Counts counts;
    std::set<std::uint32_t> failureDomains;
    for (EngineView const& engine : engines) {
        bool isPrefill = engine.role == TargetRole::Prefill;
        bool isDecode = engine.role == TargetRole::Decode;
        if (engine.state == EngineState::Down) {
            counts.returningPrefill += isPrefill && !engine.isLeaving ? 1 : 0;
            counts.returningDecode += isDecode && !engine.isLeaving ? 1 : 0;
            continue;
        }
        if (engine.failureDomain != 0)
            failureDomains.insert(engine.failureDomain);
        counts.prefill += isPrefill ? 1 : 0;
        counts.decode += isDecode ? 1 : 0;
    }
    m_failureDomains = failureDomains.size();
    return counts;
}

// Returns how many engines may leave a role now. One keeps serving until another does, even if that one is on its way; only where no
// engine has the other role, without which nothing is served, the engine on its way is enough.
std::uint32_t SplitRule::movableEngines(std::vector<EngineView> const& engines, TargetRole from, std::uint32_t wantedLeft)
{
    std::uint32_t serving = 0;
    bool isOtherRoleTaken = false;
    for (EngineView const& engine : engines) {
        if (engine.state == EngineState::Down)
            continue;
        serving += engine.role == from && engine.state == EngineState::Serving ? 1 : 0;
        isOtherRoleTaken = isOtherRoleTaken || engine.role != from;
    }
    bool mayBeEmptied = wantedLeft == 0 || !isOtherRoleTaken;
    return mayBeEmptied ? serving : serving - std::min(serving, 1U);
}

std::vector<RoleChange> SplitRule::propose(std::vector<EngineView> const& engines, SplitDemand const& demand, Time now)
{
    Counts counts = countEngines(engines);
    std::uint32_t wanted = wantedDecode(counts.total(), counts.decode, demand);
    bool hasRoom = counts.total() > 1 && counts.decode < maxDecoding(counts.total());
    bool lacksRedundancy = hasRoom && lacksRedundantRelease(engines, Returning::AreLeftOut);
    bool staysWithoutRedundancy = lacksRedundancy && lacksRedundantRelease(engines, Returning::Count);
    if (lacksRedundancy)
        wanted = std::max(wanted, counts.decode + 1);
    m_isSplitDue = false;
    m_isDemandKnown = demand.isKnown;
    std::vector<RoleChange> changes = assignNewEngines(engines, counts.decode, demand, counts.total());
    if (!changes.empty() || !isDue(engines.size(), counts, wanted, demand.isKnown, staysWithoutRedundancy || isUrgent(counts), now))
        return changes;
    m_isSplitDue = true;
    TargetRole from = counts.decode < wanted ? TargetRole::Prefill : TargetRole::Decode;
    TargetRole to = counts.decode < wanted ? TargetRole::Decode : TargetRole::Prefill;
    std::uint32_t missing = counts.decode < wanted ? wanted - counts.decode : counts.decode - wanted;
    bool followsDemand = demand.isKnown && counts.decode >= m_settings.leastDecode && counts.prefill >= m_settings.leastPrefill;
    if (followsDemand)
        missing = std::min(missing, std::max(1U, static_cast<std::uint32_t>(std::lround(m_settings.maxMovedShare * counts.total()))));
    missing = std::min(missing, movableEngines(engines, from, from == TargetRole::Decode ? wanted : counts.total() - wanted));
    std::vector<EngineView> eligible;
    for (EngineView const& engine : engines) {
        if (engine.state == EngineState::Serving && engine.role == from && engine.allowed.has(to))
            eligible.push_back(engine);
    }
    return selectEngines(engines, std::move(eligible), to, missing, fastRole(demand));
}

void SplitRule::commit()
{
    if (!m_isSplitDue)
        return;
    m_hasPlanned = true;
    m_hasFollowedDemand = m_hasFollowedDemand || m_isDemandKnown;
    m_mismatchSince.reset();
}

std::vector<RoleChange> SplitRule::plan(std::vector<EngineView> const& engines, SplitDemand const& demand, Time now)
{
    std::vector<RoleChange> changes = propose(engines, demand, now);
    commit();
    return changes;
}

}
