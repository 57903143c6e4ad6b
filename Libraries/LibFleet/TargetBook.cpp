#include <LibFleet/TargetBook.h>

namespace Fleet {

void TargetBook::noteFailure(Time now)
{
    if (!m_failingSince)
        m_failingSince = now;
}

void TargetBook::noteRead(Time now)
{
    if (m_failingSince && now - *m_failingSince > m_settings.awayAfter)
        m_graceUntil = now + m_settings.lapseGrace;
    m_failingSince.reset();
}

bool TargetBook::list(Platform::ListedTarget const& listed)
{
    BookedTarget& target = m_targets[listed.incarnation];
    bool isChanged = target.isLapsed || !(target.listed == listed);
    target = { listed, false };
    return isChanged;
}

bool TargetBook::remove(std::string const& incarnation, Time now)
{
    std::map<std::string, BookedTarget>::iterator it = m_targets.find(incarnation);
    if (it == m_targets.end())
        return false;
    // One that was leaving before is expected to go.
    bool mayBeAlive = m_graceUntil && now < *m_graceUntil && !it->second.listed.isLeaving;
    if (!mayBeAlive) {
        m_targets.erase(it);
        return true;
    }
    it->second.isLapsed = true;
    return false;
}

bool TargetBook::expire(Time now)
{
    if (!m_graceUntil || now < *m_graceUntil)
        return false;
    m_graceUntil.reset();
    return std::erase_if(m_targets, [](std::pair<std::string const, BookedTarget> const& it) { return it.second.isLapsed; }) > 0;
}

}
