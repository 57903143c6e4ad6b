#include <LibFleet/ReadTurn.h>
#include <algorithm>

namespace Fleet {

std::optional<StoreCallReason> ReadTurn::due(SiteView const& view, bool hasNews, Time now)
{
    if (now < allowedAt())
        return std::nullopt;
    if (m_settings.isToldByPeers && view.isReader)
        return StoreCallReason::Reader;
    bool isHeard = m_settings.isToldByPeers ? view.hasLiveReader : view.live > 1;
    if (!isHeard)
        return dueUnheard(view, hasNews, now);
    m_unheardReadAt.reset();
    if (hasNews)
        return StoreCallReason::News;
    std::chrono::milliseconds idle = std::max(m_settings.minIdleTime, m_settings.idleTimePerDaemon * static_cast<int>(view.live));
    return now >= m_begunAt + idle ? std::optional(StoreCallReason::Idle) : std::nullopt;
}

std::optional<StoreCallReason> ReadTurn::dueUnheard(SiteView const& view, bool hasNews, Time now)
{
    if (!m_unheardReadAt) {
        std::chrono::milliseconds within = std::max(m_settings.minUnheardTime, m_settings.unheardTimePerDaemon * static_cast<int>(view.live));
        m_unheardReadAt = now + std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, within.count())(m_random));
    }
    if (now < *m_unheardReadAt && !hasNews)
        return std::nullopt;
    m_unheardReadAt.reset();
    return StoreCallReason::Unheard;
}

}
