#include <LibDuties/UsageDuty.h>
#include <algorithm>

namespace Duties {

void UsageDuty::begin(WallTime now)
{
    if (m_isBegun)
        return;
    m_isBegun = true;
    m_next = std::max(windowAt(now, m_settings.window), m_settledBefore);
}

void UsageDuty::noteUnsettled(WindowNumber window)
{
    if (m_next && window >= m_settledBefore)
        m_next = std::min(*m_next, window);
}

void UsageDuty::noteSettledBefore(WindowNumber window)
{
    m_settledBefore = std::max(m_settledBefore, window);
    if (m_next)
        m_next = std::max(*m_next, window);
    m_decided.erase(m_decided.begin(), m_decided.lower_bound(m_settledBefore));
}

void UsageDuty::noteDecided(UsageReport const& report)
{
    if (report.window >= m_settledBefore)
        m_decided[report.window] = report;
}

void UsageDuty::noteSettled(WindowNumber window)
{
    noteSettledBefore(window + 1);
}

std::optional<UsageReport> UsageDuty::decided(WindowNumber window) const
{
    std::map<WindowNumber, UsageReport>::const_iterator it = m_decided.find(window);
    return it == m_decided.end() ? std::nullopt : std::optional(it->second);
}

std::optional<UsageStep> UsageDuty::next(WallTime now, std::function<bool(WindowNumber)> const& isClosed) const
{
    if (!m_next)
        return std::nullopt;
    WallTime end = endOf(*m_next, m_settings.window);
    if (now >= end + m_settings.dueWithin)
        return GiveUpReport { *m_next };
    if (std::optional<UsageReport> report = decided(*m_next))
        return SendReport { std::move(*report) };
    std::chrono::milliseconds closeWait = std::chrono::round<std::chrono::milliseconds>(m_settings.dueWithin * m_settings.closeWaitFraction);
    std::chrono::milliseconds longestWait = std::chrono::round<std::chrono::milliseconds>(m_settings.dueWithin * m_settings.lastDecisionFraction);
    WallTime waitEnd = std::min(std::max(end + closeWait, m_collectedAt), end + std::max(closeWait, longestWait));
    bool isDue = now >= waitEnd || (now >= end + m_settings.settleTime && isClosed(*m_next));
    return isDue ? std::optional<UsageStep>(DecideReport { *m_next }) : std::nullopt;
}

}
