#include <LibDuties/UsageCounter.h>
#include <algorithm>

namespace Duties {

void UsageCounter::setOffset(FleetClock::Offset offset)
{
    std::lock_guard lock(m_mutex);
    m_offset = offset;
}

UsageCounter::Window* UsageCounter::openWindow(BootTime at)
{
    if (m_windowLength.count() == 0)
        return nullptr;
    WallTime time(std::chrono::floor<std::chrono::milliseconds>(at.time_since_epoch()) + m_offset);
    WindowNumber window = windowAt(time, m_windowLength);
    return window < m_closedBefore ? nullptr : &m_windows[window];
}

void UsageCounter::note(std::string const& organisation, BootTime at)
{
    std::lock_guard lock(m_mutex);
    if (Window* window = openWindow(at))
        ++window->counts[organisation];
}

void UsageCounter::noteLost(std::string const& organisation, std::uint64_t target, BootTime at)
{
    std::lock_guard lock(m_mutex);
    if (Window* window = openWindow(at))
        ++window->lost[{ organisation, target }];
}

void UsageCounter::noteEnds(std::uint64_t target, std::uint32_t answered, std::uint32_t broken, BootTime at)
{
    std::lock_guard lock(m_mutex);
    Window* window = openWindow(at);
    if (!window)
        return;
    Ends& ends = window->ends[target];
    ends.answered += answered;
    ends.broken += broken;
}

void UsageCounter::closeBefore(WindowNumber window)
{
    std::lock_guard lock(m_mutex);
    m_closedBefore = std::max(m_closedBefore, window);
    for (std::map<WindowNumber, Window>::iterator it = m_windows.begin(); it != m_windows.lower_bound(m_closedBefore); ++it) {
        Window& closed = it->second;
        for (std::pair<std::pair<std::string, std::uint64_t> const, std::uint64_t> const& lost : closed.lost) {
            Ends const& ends = closed.ends[lost.first.second];
            if (ends.answered > ends.broken)
                closed.counts[lost.first.first] += lost.second;
        }
        closed.lost.clear();
        closed.ends.clear();
    }
}

std::map<WindowNumber, OrganisationCounts> UsageCounter::take(WindowNumber first)
{
    std::lock_guard lock(m_mutex);
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(first));
    std::map<WindowNumber, OrganisationCounts> counts;
    for (std::pair<WindowNumber const, Window> const& it : m_windows) {
        if (!it.second.counts.empty())
            counts.emplace(it.first, it.second.counts);
    }
    return counts;
}

}
