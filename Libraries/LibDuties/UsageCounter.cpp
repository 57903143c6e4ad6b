#include <LibDuties/UsageCounter.h>
#include <algorithm>

namespace Duties {

void UsageCounter::setOffset(FleetClock::Offset offset)
{
    std::lock_guard lock(m_mutex);
    m_offset = offset;
}

UsageCounter::Window* UsageCounter::findOpenWindow(BootTime at)
{
    if (m_windowLength.count() == 0)
        return nullptr;
    WallTime time(std::chrono::floor<std::chrono::milliseconds>(at.time_since_epoch()) + m_offset);
    WindowNumber window = windowAt(time, m_windowLength);
    return window < m_closedBefore ? nullptr : &m_windows[window];
}

void UsageCounter::countRequest(std::string const& organisation, BootTime at)
{
    std::lock_guard lock(m_mutex);
    if (Window* window = findOpenWindow(at))
        ++window->counts[organisation];
}

void UsageCounter::noteLostAnswer(std::string const& organisation, std::uint64_t target, BootTime at)
{
    std::lock_guard lock(m_mutex);
    if (Window* window = findOpenWindow(at))
        ++window->lostAnswers[{ organisation, target }];
}

void UsageCounter::noteOutcomes(std::uint64_t target, std::uint32_t answered, std::uint32_t broken, BootTime at)
{
    std::lock_guard lock(m_mutex);
    Window* window = findOpenWindow(at);
    if (!window)
        return;
    Outcomes& outcomes = window->outcomes[target];
    outcomes.answered += answered;
    outcomes.broken += broken;
}

void UsageCounter::closeBefore(WindowNumber window)
{
    std::lock_guard lock(m_mutex);
    m_closedBefore = std::max(m_closedBefore, window);
    for (std::map<WindowNumber, Window>::iterator it = m_windows.begin(); it != m_windows.lower_bound(m_closedBefore); ++it) {
        Window& closed = it->second;
        for (std::pair<std::pair<std::string, std::uint64_t> const, std::uint64_t> const& lost : closed.lostAnswers) {
            Outcomes const& outcomes = closed.outcomes[lost.first.second];
            if (outcomes.answered > outcomes.broken)
                closed.counts[lost.first.first] += lost.second;
        }
        closed.lostAnswers.clear();
        closed.outcomes.clear();
    }
}

std::map<WindowNumber, OrganisationCounts> UsageCounter::takeFrom(WindowNumber first)
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
