#include <LibFleet/DaemonBook.h>
#include <algorithm>

namespace Fleet {

void DaemonBook::list(Platform::ListedDaemon const& listed, Time now)
{
    std::map<std::string, BookedDaemon>::const_iterator known = m_daemons.find(listed.name);
    bool isOther = known == m_daemons.end() || listed.incarnation != known->second.listed.incarnation;
    if (isOther && (known == m_daemons.end() || listed.incarnation > known->second.listed.incarnation || !isLive(known->second, now)))
        take(listed, now);
}

void DaemonBook::take(Platform::ListedDaemon const& listed, Time now)
{
    BookedDaemon& daemon = m_daemons[listed.name];
    std::optional<Time::duration> minClockOffset = daemon.minClockOffset;
    daemon = BookedDaemon();
    daemon.minClockOffset = minClockOffset;
    daemon.listed = listed;
    daemon.knownSince = now;
}

bool DaemonBook::hear(Platform::ListedDaemon const& listed, std::uint64_t sequence, DaemonState const& said, Time now)
{
    Time startedAt = now - said.runningFor;
    std::map<std::string, BookedDaemon>::const_iterator known = m_daemons.find(listed.name);
    bool isHeard = known != m_daemons.end() && known->second.heardAt != Time();
    bool isSame = known != m_daemons.end() && known->second.listed.incarnation == listed.incarnation;
    if (!isSame && isHeard && startedAt <= known->second.startedAt)
        return false;
    if (!isSame)
        take(listed, now);
    BookedDaemon& daemon = m_daemons[listed.name];
    if (sequence <= daemon.sequence)
        return false;
    daemon.startedAt = isSame && isHeard ? std::min(daemon.startedAt, startedAt) : startedAt;
    bool isFirst = daemon.sequence == 0;
    daemon.sequence = sequence;
    daemon.said = said;
    daemon.heardAt = now;
    Time::duration lag = now - said.saidAt;
    // After a daemon restart the VM may have rebooted as well, which resets its boot clock.
    bool isOtherClock = isFirst && daemon.minClockOffset && lag - *daemon.minClockOffset > m_settings.maxBeaconDelay;
    if (!daemon.minClockOffset || isOtherClock || lag < *daemon.minClockOffset)
        daemon.minClockOffset = lag;
    daemon.heldUp = std::chrono::ceil<std::chrono::milliseconds>(lag - *daemon.minClockOffset);
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
    return daemon.heardAt != Time() && now - daemon.heardAt <= livenessTimeout();
}

std::chrono::milliseconds DaemonBook::livenessTimeout() const
{
    return std::max(m_settings.silentAfter, m_settings.maxMissedBeacons * beaconInterval());
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
    std::chrono::milliseconds silent = livenessTimeout();
    for (std::pair<std::string const, BookedDaemon> const& it : m_daemons) {
        DaemonState const& said = it.second.said;
        bool isFirst = it.first < name;
        if (it.second.heardAt == Time()) {
            readersBefore += isFirst && now - it.second.knownSince <= m_settings.firstBeaconTimeout ? 1 : 0;
            continue;
        }
        if (now - it.second.heardAt > silent)
            continue;
        ++view.live;
        bool isFailing = said.storeFailingFor.count() > 0 && failingBefore < m_settings.substituteReaders;
        failingBefore += isFirst && isFailing ? 1 : 0;
        readersBefore += isFirst && !said.isLeaving && !isFailing ? 1 : 0;
        view.hasLiveReader = view.hasLiveReader || said.isReading;
        bool canPlan = !said.isLeaving && !said.cannotPlan;
        view.isPlanner = view.isPlanner && !(isFirst && canPlan);
        view.leaseClaimed = std::max(view.leaseClaimed, canPlan ? said.leaseClaimed : 0);
        view.newest.configVersion = std::max(view.newest.configVersion, said.configVersion);
        view.newest.targetsChanged = std::max(view.newest.targetsChanged, said.targetsChanged);
    }
    view.isReader = readersBefore < m_settings.readers;
    return view;
}

std::vector<std::string> DaemonBook::elders(std::string const& self, std::optional<std::chrono::milliseconds> ownStart, std::uint64_t ownClaim, Time now) const
{
    std::vector<std::pair<std::chrono::milliseconds, std::string_view>> byStart;
    if (ownStart)
        byStart.emplace_back(*ownStart, self);
    std::uint64_t newestClaim = ownStart ? ownClaim : 0;
    std::string_view holder = self;
    for (std::pair<std::string const, BookedDaemon> const& it : m_daemons) {
        DaemonState const& said = it.second.said;
        bool isFit = isLive(it.second, now) && said.startedAt.count() > 0 && !said.isLeaving && !said.cannotHoldDuties;
        if (!isFit)
            continue;
        byStart.emplace_back(said.startedAt, it.first);
        if (said.leaseClaimed > newestClaim) {
            newestClaim = said.leaseClaimed;
            holder = it.first;
        }
    }
    if (newestClaim > 0)
        std::find_if(byStart.begin(), byStart.end(), [holder](std::pair<std::chrono::milliseconds, std::string_view> const& it) { return it.second == holder; })->first = std::chrono::milliseconds::min();
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
