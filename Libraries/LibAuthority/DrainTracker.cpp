#include <LibAuthority/DrainTracker.h>
#include <algorithm>

namespace Authority {

namespace {

constexpr std::size_t maximumRounds = 16;

}

DrainTracker::DrainTracker(Duration timeToLive)
    : m_timeToLive(timeToLive)
{
}

void DrainTracker::setRouters(std::vector<Router> routers)
{
    m_routers = std::move(routers);
    std::sort(m_routers.begin(), m_routers.end());
}

std::uint64_t DrainTracker::beginRound(Time now)
{
    m_rounds.emplace(m_nextRound, now);
    if (m_rounds.size() > maximumRounds)
        m_rounds.erase(m_rounds.begin());
    return m_nextRound++;
}

void DrainTracker::acknowledge(Router const& router, std::uint64_t round, Time now)
{
    std::map<std::uint64_t, Time>::const_iterator it = m_rounds.find(round);
    if (it == m_rounds.end())
        return;
    Time until = it->second + m_timeToLive;
    bool wasClosed = isClosed(router, now);
    Closed& closed = m_closed[router];
    closed.since = wasClosed ? closed.since : now;
    closed.until = std::max(closed.until, until);
}

void DrainTracker::reset()
{
    m_rounds.clear();
    m_closed.clear();
}

bool DrainTracker::isClosed(Router const& router, Time now) const
{
    std::map<Router, Closed>::const_iterator it = m_closed.find(router);
    return it != m_closed.end() && now < it->second.until;
}

std::vector<std::string> DrainTracker::unacknowledged(Time now) const
{
    std::vector<std::string> names;
    for (Router const& router : m_routers) {
        if (!isClosed(router, now))
            names.push_back(router.daemon);
    }
    return names;
}

std::optional<Time> DrainTracker::closedSince(Time now) const
{
    Time since = Time::min();
    for (Router const& router : m_routers) {
        if (!isClosed(router, now))
            return std::nullopt;
        since = std::max(since, m_closed.at(router).since);
    }
    return since;
}

}
