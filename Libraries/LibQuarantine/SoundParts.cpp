#include <LibQuarantine/SoundParts.h>

namespace Quarantine {

void SoundParts::note(WorkKey const& part, Time now)
{
    Sighting& sighting = m_sightings[part];
    m_bySeen.erase({ sighting.seenAt, part });
    sighting.seenAt = now;
    m_bySeen.emplace(now, part);
    if (m_sightings.size() <= m_settings.maxParts)
        return;
    m_sightings.erase(m_bySeen.begin()->second);
    m_bySeen.erase(m_bySeen.begin());
}

bool SoundParts::contains(WorkKey const& part, Time now) const
{
    std::map<WorkKey, Sighting>::const_iterator it = m_sightings.find(part);
    return it != m_sightings.end() && now - it->second.seenAt < m_settings.lifetime;
}

bool SoundParts::takeTelling(WorkKey const& part, Time now)
{
    Sighting& sighting = m_sightings.at(part);
    if (sighting.toldAt != Time() && now - sighting.toldAt < m_settings.tellingInterval)
        return false;
    sighting.toldAt = now;
    return true;
}

void SoundParts::clear()
{
    m_sightings.clear();
    m_bySeen.clear();
}

}
