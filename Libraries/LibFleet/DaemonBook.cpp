#include <LibFleet/DaemonBook.h>

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

bool DaemonBook::hear(Platform::ListedDaemon const& listed, std::uint64_t sequence, bool isLeaving, std::uint64_t configVersion, Time now)
{
    list(listed, now);
    BookedDaemon& daemon = m_daemons[listed.name];
    bool isOld = listed.incarnation < daemon.listed.incarnation || sequence <= daemon.sequence;
    if (isOld)
        return false;
    daemon.sequence = sequence;
    daemon.isLeaving = isLeaving;
    daemon.configVersion = configVersion;
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
    return daemon.heardAt != Time() && now - daemon.heardAt <= m_settings.silentAfter;
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
        if (it.second.isLeaving)
            continue;
        known.push_back(&it.second);
        if (isLive(it.second, now))
            live.push_back(&it.second);
    }
    return live.empty() ? known : live;
}

}
