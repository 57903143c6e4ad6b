#include <LibCore/EventQuota.h>
#include <algorithm>
#include <utility>

namespace Core {

std::size_t EventQuota::positionOf(Event event)
{
    auto isSame = [event](std::pair<Event, std::string_view> const& it) { return it.first == event; };
    return static_cast<std::size_t>(std::find_if(eventNames.begin(), eventNames.end(), isSame) - eventNames.begin());
}

EventQuota::Admission EventQuota::admit(Event event, Time now)
{
    std::lock_guard lock(m_mutex);
    Count& count = m_counts.at(positionOf(event));
    std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    Admission admission;
    if (second != count.second) {
        count.second = second;
        count.lines = 0;
        admission.leftOut = std::exchange(count.leftOut, 0);
    }
    admission.isAdmitted = count.lines < m_linesPerSecond;
    count.lines += admission.isAdmitted ? 1 : 0;
    count.leftOut += admission.isAdmitted ? 0 : 1;
    return admission;
}

std::uint32_t EventQuota::takeLeftOut(Event event)
{
    std::lock_guard lock(m_mutex);
    return std::exchange(m_counts.at(positionOf(event)).leftOut, 0);
}

}
