#include <LibAuthority/ClosedEngines.h>

namespace Authority {

bool ClosedEngines::close(std::string const& engine, std::uint64_t fencing, std::uint64_t round, Time now, Duration timeToLive)
{
    Entry& entry = m_engines[engine];
    if (std::pair(fencing, round) < entry.order)
        return false;
    entry = { { fencing, round }, now + timeToLive };
    return true;
}

bool ClosedEngines::open(std::string const& engine, std::uint64_t fencing, std::uint64_t round)
{
    Entry& entry = m_engines[engine];
    if (std::pair(fencing, round) < entry.order)
        return false;
    entry = { { fencing, round }, Time::min() };
    return true;
}

bool ClosedEngines::isClosed(std::string const& engine, Time now) const
{
    std::map<std::string, Entry>::const_iterator it = m_engines.find(engine);
    return it != m_engines.end() && now < it->second.closedUntil;
}

}
