#include <LibFleet/TargetBook.h>
#include <algorithm>

namespace Fleet {

void TargetBook::noteFailure(Time now)
{
    m_failingSince = m_failingSince.value_or(now);
}

void TargetBook::notePeerFailure(Time now, std::chrono::milliseconds failingFor)
{
    if (!m_answeredAt)
        return;
    Time since = std::max(now - failingFor, *m_answeredAt);
    m_failingSince = std::min(since, m_failingSince.value_or(since));
}

void TargetBook::noteReadElsewhere(Time now)
{
    m_answeredAt = now;
    m_failingSince.reset();
}

void TargetBook::noteRead(Time now)
{
    if (m_failingSince && now - *m_failingSince > m_settings.outageAfter)
        m_graceUntil = m_ownGraceUntil = now + m_settings.lapseGrace;
    m_answeredAt = now;
    m_failingSince.reset();
}

void TargetBook::noteKnownUntil(Time asOf, Time now)
{
    if (m_knownUntil && asOf - *m_knownUntil > m_settings.outageAfter)
        m_gapEndedAt = now;
    m_knownUntil = std::max(asOf, m_knownUntil.value_or(asOf));
}

bool TargetBook::mayHaveBeenAway(Time now) const
{
    bool isInGap = !m_knownUntil || now - *m_knownUntil > m_settings.outageAfter;
    bool wasInGap = m_gapEndedAt && now - *m_gapEndedAt <= m_settings.lapseGrace;
    return isInGap || wasInGap;
}

void TargetBook::noteReturnElsewhere(Time now, std::chrono::milliseconds graceLeft)
{
    if (!mayHaveBeenAway(now))
        return;
    Time until = now + std::min(graceLeft, m_settings.lapseGrace);
    if (graceLeft.count() > 0 && (!m_graceUntil || *m_graceUntil < until))
        m_graceUntil = until;
}

std::chrono::milliseconds TargetBook::graceLeft(Time now) const
{
    if (!m_ownGraceUntil || now >= *m_ownGraceUntil)
        return std::chrono::milliseconds(0);
    return std::chrono::ceil<std::chrono::milliseconds>(*m_ownGraceUntil - now);
}

bool TargetBook::list(Platform::ListedTarget const& listed)
{
    BookedTarget& target = m_targets[listed.id];
    bool isChanged = target.isLapsed || !(target.listed == listed);
    target = { listed, false, {} };
    return isChanged;
}

bool TargetBook::remove(std::string const& id, Time now)
{
    std::map<std::string, BookedTarget>::iterator it = m_targets.find(id);
    if (it == m_targets.end())
        return false;
    // A leaving target's entry is expected to disappear.
    bool mayBeAlive = m_graceUntil && now < *m_graceUntil && !it->second.listed.isLeaving;
    if (!mayBeAlive) {
        m_targets.erase(it);
        return true;
    }
    it->second.isLapsed = true;
    it->second.lapsedAt = now;
    return false;
}

bool TargetBook::expire(Time now)
{
    bool isGraceOver = m_graceUntil && now >= *m_graceUntil;
    if (isGraceOver)
        m_graceUntil.reset();
    return std::erase_if(m_targets, [&](std::pair<std::string const, BookedTarget> const& it) {
        return it.second.isLapsed && (isGraceOver || now >= it.second.lapsedAt + m_settings.lapseGrace);
    }) > 0;
}

}
