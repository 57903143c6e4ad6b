#include <LibFleet/DaemonBook.h>
#include <algorithm>

namespace Fleet {

void DaemonBook::list(Platform::ListedDaemon const& listed, Time now)
{
    BookedDaemon& daemon = m_daemons[listed.name];
    bool isNewer = daemon.listed.name.empty() || listed.incarnation > daemon.listed.incarnation;
    if (!isNewer)
        return;
    daemon = BookedDaemon();
    daemon.listed = listed;
    daemon.knownSince = now;
}

bool DaemonBook::hear(Platform::ListedDaemon const& listed, std::uint64_t sequence, DaemonState const& said, Time now)
{
    list(listed, now);
    BookedDaemon& daemon = m_daemons[listed.name];
    bool isOld = listed.incarnation < daemon.listed.incarnation || sequence <= daemon.sequence;
    if (isOld)
        return false;
    daemon.sequence = sequence;
    daemon.said = said;
    daemon.heardAt = now;
    return true;
}

void DaemonBook::expire(Time now)
{
    std::erase_if(m_daemons, [&](std::pair<std::string const, BookedDaemon> const& it) {
        return now - std::max(it.second.heardAt, it.second.knownSince) > m_settings.forgetAfter;
    });
}

bool DaemonBook::isLive(BookedDaemon const& daemon, Time now) const
{
    return daemon.heardAt != Time() && now - daemon.heardAt <= std::max(m_settings.silentAfter, m_settings.silentBeacons * beaconInterval());
}

std::chrono::milliseconds DaemonBook::beaconInterval() const
{
    return std::max(m_settings.leastInterval, m_settings.intervalPerDaemon * static_cast<int>(m_daemons.size()));
}

bool DaemonBook::isReader(std::string const& name, Time now) const
{
    std::size_t before = 0;
    for (std::pair<std::string const, BookedDaemon> const& it : m_daemons)
        before += it.first < name && isLive(it.second, now) && !it.second.said.isLeaving ? 1 : 0;
    return before < m_settings.readers;
}

bool DaemonBook::hearsReader(Time now) const
{
    return std::any_of(m_daemons.begin(), m_daemons.end(), [&](std::pair<std::string const, BookedDaemon> const& it) {
        return it.second.said.isReading && isLive(it.second, now);
    });
}

DaemonState DaemonBook::newest(Time now) const
{
    DaemonState newest;
    for (std::pair<std::string const, BookedDaemon> const& it : m_daemons) {
        if (!isLive(it.second, now))
            continue;
        newest.configVersion = std::max(newest.configVersion, it.second.said.configVersion);
        newest.targetsChanged = std::max(newest.targetsChanged, it.second.said.targetsChanged);
    }
    return newest;
}

std::size_t DaemonBook::liveCount(Time now) const
{
    std::size_t count = 1;
    for (std::pair<std::string const, BookedDaemon> const& it : m_daemons)
        count += isLive(it.second, now) ? 1 : 0;
    return count;
}

std::vector<BookedDaemon const*> DaemonBook::usable(Time now) const
{
    std::vector<BookedDaemon const*> live;
    std::vector<BookedDaemon const*> known;
    for (std::pair<std::string const, BookedDaemon> const& it : m_daemons) {
        if (it.second.said.isLeaving)
            continue;
        known.push_back(&it.second);
        if (isLive(it.second, now))
            live.push_back(&it.second);
    }
    return live.empty() ? known : live;
}

}
