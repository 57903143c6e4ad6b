#include <LibRoles/SplitRule.h>
#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <tuple>

namespace Roles {

namespace {

// Of one engine that is lost, half of its work at least is done by others even where there are none now: one comes back, or
// changes its role, within seconds.
double capacityAfterLoss(std::size_t engines, std::size_t groups)
{
    constexpr double none = 1e-9;
    double n = static_cast<double>(engines);
    double lost = groups > 1 ? std::ceil(n / static_cast<double>(groups)) : 1;
    return std::max({ n - lost, n / 2, none });
}

}

double SplitRule::busiest(std::size_t engines, std::size_t decoding, SplitDemand const& demand) const
{
    double prompts = demand.prompts * m_settings.promptRoom / capacityAfterLoss(engines - decoding, m_groups);
    return std::max(prompts, demand.outputs / capacityAfterLoss(decoding, m_groups));
}

bool SplitRule::isPressed(std::size_t engines, std::size_t decoding, SplitDemand const& demand) const
{
    return demand.prompts >= m_settings.pressed * static_cast<double>(engines - decoding) || demand.outputs >= m_settings.pressed * static_cast<double>(decoding);
}

std::size_t SplitRule::mostDecoding(std::size_t engines) const
{
    return engines - std::min<std::size_t>(m_settings.leastPrefill, engines - 1);
}

// One in each group that can be lost at once, and enough in the others when it is.
std::size_t SplitRule::leastDecoding(std::size_t engines) const
{
    std::size_t least = std::max<std::size_t>(m_settings.leastDecode, m_groups);
    while (m_groups > 1 && least - (least + m_groups - 1) / m_groups < m_settings.leastDecode)
        ++least;
    return std::clamp<std::size_t>(least, 1, mostDecoding(engines));
}

std::uint32_t SplitRule::wantedDecode(std::size_t engines, std::size_t decoding, SplitDemand const& demand) const
{
    if (engines < 2)
        return static_cast<std::uint32_t>(engines);
    std::size_t most = mostDecoding(engines);
    std::size_t least = leastDecoding(engines);
    std::size_t best = std::clamp(static_cast<std::size_t>(std::lround(static_cast<double>(engines) * m_settings.decodeShare)), least, most);
    if (!demand.isKnown)
        return static_cast<std::uint32_t>(best);
    best = least;
    for (std::size_t n = least + 1; n <= most; ++n) {
        if (busiest(engines, n, demand) < busiest(engines, best, demand))
            best = n;
    }
    bool isAllowed = decoding >= least && decoding <= most;
    bool mayStay = m_hasFollowedDemand && !isPressed(engines, decoding, demand);
    bool isRelief = isAllowed && busiest(engines, best, demand) <= busiest(engines, decoding, demand) * (1 - m_settings.leastRelief);
    bool stays = isAllowed && (mayStay || !isRelief);
    return static_cast<std::uint32_t>(stays ? decoding : best);
}

// A side has no engine, or too few, and none that may come back.
bool SplitRule::isUrgent(Counts const& counts) const
{
    if (counts.prefill == 0 || counts.decode == 0)
        return true;
    return counts.total() > 1 && (counts.decode + counts.returningDecode < leastDecoding(counts.total()) || counts.prefill + counts.returningPrefill < m_settings.leastPrefill);
}

bool SplitRule::isDue(std::size_t listed, Counts const& counts, std::uint32_t wanted, bool isDemandKnown, Time now)
{
    if (!m_changedAt || listed != m_engines) {
        m_engines = listed;
        m_changedAt = now;
    }
    if (isDemandKnown && !m_knownSince)
        m_knownSince = now;
    if (counts.decode == wanted) {
        m_hasPlanned = m_hasPlanned || now - *m_changedAt >= m_settings.settle;
        m_hasFollowedDemand = m_hasFollowedDemand || (m_knownSince && now - *m_knownSince >= m_settings.firstPatience);
        m_shortSince.reset();
        return false;
    }
    if (!m_shortSince)
        m_shortSince = now;
    bool isFirst = isDemandKnown && !m_hasFollowedDemand;
    std::chrono::milliseconds patience = isUrgent(counts) ? m_settings.emptyPatience : isFirst ? m_settings.firstPatience
                                                                                               : m_settings.patience;
    if (!m_hasPlanned)
        return now - *m_changedAt >= m_settings.settle;
    return now - *m_shortSince >= patience;
}

// Engines that come later take roles of their own choice: they get the missing ones at once.
std::vector<RoleChange> SplitRule::assignFresh(std::vector<EngineView> const& engines, std::uint32_t decode, SplitDemand const& demand, std::size_t total)
{
    std::vector<RoleChange> changes;
    if (!m_hasPlanned || !demand.isKnown)
        return changes;
    std::uint32_t wanted = wantedDecode(total, decode, demand);
    TargetRole to = decode < wanted ? TargetRole::Decode : TargetRole::Prefill;
    std::uint32_t missing = decode < wanted ? wanted - decode : decode - wanted;
    std::vector<EngineView> fresh;
    for (EngineView const& engine : engines) {
        if (engine.isFresh && engine.state == EngineState::Serving && engine.role != to && engine.allowed.has(to))
            fresh.push_back(engine);
    }
    return choose(engines, fresh, to, missing);
}

// Of the engines that may change, those that leave each group that can be lost at once with an even part of the role; then fast
// ones for outputs: an output takes seconds at one engine, so that a slow one makes the longest of them late, while a prompt waits
// for none but those before it.
std::vector<RoleChange> SplitRule::choose(std::vector<EngineView> const& engines, std::vector<EngineView> fit, TargetRole to, std::uint32_t count)
{
    std::map<std::uint32_t, double> sizes;
    std::map<std::uint32_t, double> having;
    for (EngineView const& engine : engines) {
        if (engine.state == EngineState::Down)
            continue;
        sizes[engine.lossGroup] += 1;
        having[engine.lossGroup] += engine.role == to ? 1 : 0;
    }
    std::function<std::tuple<double, double, std::uint32_t>(EngineView const&)> rank = [&](EngineView const& it) { return std::tuple((having[it.lossGroup] + 1) / std::max(1.0, sizes[it.lossGroup]), to == TargetRole::Decode ? it.slowness : -it.slowness, it.engine); };
    std::vector<RoleChange> changes;
    while (changes.size() < count && !fit.empty()) {
        std::vector<EngineView>::iterator best = std::min_element(fit.begin(), fit.end(), [&rank](EngineView const& one, EngineView const& other) { return rank(one) < rank(other); });
        changes.push_back({ best->engine, to, 0 });
        having[best->lossGroup] += 1;
        fit.erase(best);
    }
    return changes;
}

// Notes the groups that can be lost at once, too.
SplitRule::Counts SplitRule::count(std::vector<EngineView> const& engines)
{
    Counts counts;
    std::set<std::uint32_t> groups;
    for (EngineView const& engine : engines) {
        bool isPrefill = engine.role == TargetRole::Prefill;
        bool isDecode = engine.role == TargetRole::Decode;
        if (engine.state == EngineState::Down) {
            counts.returningPrefill += isPrefill && !engine.isLeaving ? 1 : 0;
            counts.returningDecode += isDecode && !engine.isLeaving ? 1 : 0;
            continue;
        }
        if (engine.lossGroup != 0)
            groups.insert(engine.lossGroup);
        counts.prefill += isPrefill ? 1 : 0;
        counts.decode += isDecode ? 1 : 0;
    }
    m_groups = groups.size();
    return counts;
}

std::vector<RoleChange> SplitRule::plan(std::vector<EngineView> const& engines, SplitDemand const& demand, Time now)
{
    Counts counts = count(engines);
    std::uint32_t wanted = wantedDecode(counts.total(), counts.decode, demand);
    std::vector<RoleChange> changes = assignFresh(engines, counts.decode, demand, counts.total());
    if (!changes.empty() || !isDue(engines.size(), counts, wanted, demand.isKnown, now))
        return changes;
    TargetRole from = counts.decode < wanted ? TargetRole::Prefill : TargetRole::Decode;
    TargetRole to = counts.decode < wanted ? TargetRole::Decode : TargetRole::Prefill;
    std::uint32_t missing = counts.decode < wanted ? wanted - counts.decode : counts.decode - wanted;
    bool followsDemand = demand.isKnown && counts.decode >= m_settings.leastDecode && counts.prefill >= m_settings.leastPrefill;
    if (followsDemand)
        missing = std::min(missing, std::max(1U, static_cast<std::uint32_t>(std::lround(m_settings.mostMoved * counts.total()))));
    std::vector<EngineView> fit;
    for (EngineView const& engine : engines) {
        if (engine.state == EngineState::Serving && engine.role == from && engine.allowed.has(to))
            fit.push_back(engine);
    }
    changes = choose(engines, std::move(fit), to, missing);
    m_hasPlanned = true;
    m_hasFollowedDemand = m_hasFollowedDemand || demand.isKnown;
    m_shortSince.reset();
    return changes;
}

}
