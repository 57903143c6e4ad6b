#include <LibFleet/DaemonBook.h>
#include <algorithm>

namespace Fleet {

void DaemonBook::list(Platform::ListedDaemon const& listed, Time now)
{
    BookedDaemon& daemon = m_daemons[listed.name];
    bool isNewer = daemon.listed.name.empty() || listed.incarnation > daemon.listed.incarnation;
    if (!isNewer)
        return;
    std::optional<Time::duration> leastLag = daemon.leastLag;
    daemon = BookedDaemon();
    daemon.leastLag = leastLag;
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
    bool isFirst = daemon.sequence == 0;
    daemon.sequence = sequence;
    daemon.said = said;
    daemon.heardAt = now;
    Time::duration lag = now - said.saidAt;
    // The VM of a daemon that has started again may have done so too, and its clock with it.
    bool isOtherClock = isFirst && daemon.leastLag && lag - *daemon.leastLag > m_settings.longestHoldUp;
    if (!daemon.leastLag || isOtherClock || lag < *daemon.leastLag)
        daemon.leastLag = lag;
    daemon.heldUp = std::chrono::ceil<std::chrono::milliseconds>(lag - *daemon.leastLag);
    for (std::optional<std::chrono::milliseconds>* age : { &daemon.said.configAge, &daemon.said.targetsAge }) {
        if (*age)
            **age += daemon.heldUp;
    }
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
    return daemon.heardAt != Time() && now - daemon.heardAt <= silentTime();
}

std::chrono::milliseconds DaemonBook::silentTime() const
{
    return std::max(m_settings.silentAfter, m_settings.silentBeacons * beaconInterval());
}

std::chrono::milliseconds DaemonBook::beaconInterval() const
{
    return std::max(m_settings.leastInterval, m_settings.intervalPerDaemon * static_cast<int>(m_daemons.size()));
}

SiteView DaemonBook::view(std::string const& name, Time now) const
{
    SiteView view;
    std::size_t readersBefore = 0;
    std::size_t failingBefore = 0;
    std::chrono::milliseconds silent = silentTime();
    for (std::pair<std::string const, BookedDaemon> const& it : m_daemons) {
        DaemonState const& said = it.second.said;
        bool isFirst = it.first < name;
        if (it.second.heardAt == Time()) {
            readersBefore += isFirst && now - it.second.knownSince <= m_settings.greetTime ? 1 : 0;
            continue;
        }
        if (now - it.second.heardAt > silent)
            continue;
        ++view.live;
        bool isFailing = said.storeFailingFor.count() > 0 && failingBefore < m_settings.standIns;
        failingBefore += isFirst && isFailing ? 1 : 0;
        readersBefore += isFirst && !said.isLeaving && !isFailing ? 1 : 0;
        view.hearsReader = view.hearsReader || said.isReading;
        view.isPlanner = view.isPlanner && !(isFirst && !said.isLeaving && !said.cannotPlan);
        view.newest.configVersion = std::max(view.newest.configVersion, said.configVersion);
        view.newest.targetsChanged = std::max(view.newest.targetsChanged, said.targetsChanged);
    }
    view.isReader = readersBefore < m_settings.readers;
    return view;
}

std::vector<std::string> DaemonBook::elders(Platform::ListedDaemon const& self, bool isSelfFit, Time now) const
{
    std::vector<std::pair<std::uint64_t, std::string_view>> byStart;
    if (isSelfFit)
        byStart.emplace_back(self.incarnation, self.name);
    for (std::pair<std::string const, BookedDaemon> const& it : m_daemons) {
        if (isLive(it.second, now) && !it.second.said.isLeaving && !it.second.said.cannotHoldDuties)
            byStart.emplace_back(it.second.listed.incarnation, it.first);
    }
    std::size_t count = std::min(byStart.size(), m_settings.elders);
    std::partial_sort(byStart.begin(), byStart.begin() + static_cast<std::ptrdiff_t>(count), byStart.end());
    std::vector<std::string> names;
    for (std::size_t n = 0; n < count; ++n)
        names.emplace_back(byStart[n].second);
    return names;
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
