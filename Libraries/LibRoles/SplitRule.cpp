#include <LibRoles/SplitRule.h>
#include <algorithm>
#include <cmath>

namespace Roles {

std::uint32_t SplitRule::wantedDecode(std::size_t engines) const
{
    if (engines < 2)
        return static_cast<std::uint32_t>(engines);
    std::uint32_t share = static_cast<std::uint32_t>(std::lround(static_cast<double>(engines) * m_settings.decodeShare));
    std::uint32_t most = static_cast<std::uint32_t>(engines) - std::min<std::uint32_t>(m_settings.leastPrefill, static_cast<std::uint32_t>(engines) - 1);
    return std::clamp(std::max(share, m_settings.leastDecode), 1U, most);
}

bool SplitRule::isDue(std::vector<EngineView> const& engines, std::uint32_t prefill, std::uint32_t decode, std::uint32_t wanted, Time now)
{
    if (!m_changedAt || engines.size() != m_engines) {
        m_engines = engines.size();
        m_changedAt = now;
    }
    if (decode == wanted) {
        m_hasPlanned = m_hasPlanned || now - *m_changedAt >= m_settings.settle;
        m_shortSince.reset();
        return false;
    }
    if (!m_shortSince)
        m_shortSince = now;
    bool isEmpty = prefill == 0 || decode == 0;
    std::chrono::milliseconds patience = isEmpty ? m_settings.emptyPatience : m_settings.patience;
    if (!m_hasPlanned)
        return now - *m_changedAt >= m_settings.settle;
    return now - *m_shortSince >= patience;
}

std::vector<RoleChange> SplitRule::plan(std::vector<EngineView> const& engines, Time now)
{
    std::vector<RoleChange> changes;
    std::uint32_t prefill = 0;
    std::uint32_t decode = 0;
    for (EngineView const& engine : engines) {
        if (engine.state == EngineState::Down)
            continue;
        prefill += engine.role == TargetRole::Prefill ? 1 : 0;
        decode += engine.role == TargetRole::Decode ? 1 : 0;
    }
    std::uint32_t wanted = wantedDecode(prefill + decode);
    if (!isDue(engines, prefill, decode, wanted, now))
        return changes;
    TargetRole from = decode < wanted ? TargetRole::Prefill : TargetRole::Decode;
    TargetRole to = decode < wanted ? TargetRole::Decode : TargetRole::Prefill;
    std::uint32_t missing = decode < wanted ? wanted - decode : decode - wanted;
    for (EngineView const& engine : engines) {
        bool isFit = engine.state == EngineState::Serving && engine.role == from && engine.allowed.has(to);
        if (changes.size() < missing && isFit)
            changes.push_back({ engine.engine, to, 0 });
    }
    m_hasPlanned = true;
    m_shortSince.reset();
    return changes;
}

}
