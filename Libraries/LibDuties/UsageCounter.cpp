#include <LibDuties/UsageCounter.h>

namespace Duties {

void UsageCounter::setOffset(FleetClock::Offset offset)
{
    std::lock_guard lock(m_mutex);
    m_offset = offset;
}

void UsageCounter::note(std::string const& organisation, BootTime at)
{
    if (m_windowLength.count() == 0)
        return;
    std::lock_guard lock(m_mutex);
    WallTime time(std::chrono::floor<std::chrono::milliseconds>(at.time_since_epoch()) + m_offset);
    ++m_windows[windowAt(time, m_windowLength)][organisation];
}

std::map<WindowNumber, OrganisationCounts> UsageCounter::take(WindowNumber first)
{
    std::lock_guard lock(m_mutex);
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(first));
    return m_windows;
}

}
