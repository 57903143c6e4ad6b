#include <LibAuthority/ClaimTimes.h>
#include <algorithm>

namespace Authority {

void ClaimTimes::note(std::uint64_t next, Time now)
{
    if (next == 0 || (!m_reports.empty() && next <= m_reports.back().next))
        return;
    m_reports.push_back({ next, now });
    if (m_reports.size() > maxReports)
        m_reports.pop_front();
}

std::optional<ClaimTimes::Time> ClaimTimes::madeBy(std::uint64_t offset) const
{
    std::deque<Report>::const_iterator it = std::find_if(m_reports.begin(), m_reports.end(), [offset](Report const& report) { return report.next > offset; });
    return it == m_reports.end() ? std::nullopt : std::optional(it->at);
}

}
