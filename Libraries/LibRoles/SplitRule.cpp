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

std::uint32_t SplitRule::wantedDecode(std::size_t engines, std::size_t decoding, SplitDemand const& demand) const
{
    if (engines < 2)
        return static_cast<std::uint32_t>(engines);
    std::size_t most = engines - std::min<std::size_t>(m_settings.leastPrefill, engines - 1);
    // One in each group that can be lost at once.
    std::size_t least = std::clamp<std::size_t>(std::max<std::size_t>(m_settings.leastDecode, m_groups), 1, most);
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

bool SplitRule::isDue(std::vector<EngineView> const& engines, std::uint32_t prefill, std::uint32_t decode, std::uint32_t wanted, bool isDemandKnown, Time now)
{
    if (!m_changedAt || engines.size() != m_engines) {
        m_engines = engines.size();
        m_changedAt = now;
    }
    if (isDemandKnown && !m_knownSince)
        m_knownSince = now;
    if (decode == wanted) {
        m_hasPlanned = m_hasPlanned || now - *m_changedAt >= m_settings.settle;
        m_hasFollowedDemand = m_hasFollowedDemand || (m_knownSince && now - *m_knownSince >= m_settings.firstPatience);
        m_shortSince.reset();
        return false;
    }
    if (!m_shortSince)
        m_shortSince = now;
    bool isEmpty = prefill == 0 || decode == 0;
    bool isFirst = isDemandKnown && !m_hasFollowedDemand;
    std::chrono::milliseconds patience = isEmpty ? m_settings.emptyPatience : isFirst ? m_settings.firstPatience
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

std::vector<RoleChange> SplitRule::plan(std::vector<EngineView> const& engines, SplitDemand const& demand, Time now)
{
    std::vector<RoleChange> changes;
    std::uint32_t prefill = 0;
    std::uint32_t decode = 0;
    std::set<std::uint32_t> groups;
    for (EngineView const& engine : engines) {
        if (engine.state == EngineState::Down)
            continue;
        if (engine.lossGroup != 0)
            groups.insert(engine.lossGroup);
        prefill += engine.role == TargetRole::Prefill ? 1 : 0;
        decode += engine.role == TargetRole::Decode ? 1 : 0;
    }
    m_groups = groups.size();
    std::uint32_t wanted = wantedDecode(prefill + decode, decode, demand);
    changes = assignFresh(engines, decode, demand, prefill + decode);
    if (!changes.empty() || !isDue(engines, prefill, decode, wanted, demand.isKnown, now))
        return changes;
    TargetRole from = decode < wanted ? TargetRole::Prefill : TargetRole::Decode;
    TargetRole to = decode < wanted ? TargetRole::Decode : TargetRole::Prefill;
    std::uint32_t missing = decode < wanted ? wanted - decode : decode - wanted;
    bool followsDemand = demand.isKnown && decode >= m_settings.leastDecode && prefill >= m_settings.leastPrefill;
    if (followsDemand)
        missing = std::min(missing, std::max(1U, static_cast<std::uint32_t>(std::lround(m_settings.mostMoved * (prefill + decode)))));
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
