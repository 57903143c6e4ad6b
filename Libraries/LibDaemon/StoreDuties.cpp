// The part of StoreControl that has the duties of one daemon at a time: who should have them, and what they are.

#include <LibDaemon/StoreControl.h>
#include <algorithm>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

// By then whoever is there has been heard.
constexpr std::chrono::milliseconds meetingTime { 2'000 };
// The daemon that has the duties hears this part of the daemons that it knows at least, the reciprocal: half of a site
// may be down at once.
constexpr std::size_t partOfDaemonsHeard = 3;

}

void StoreControl::createDuties(Duties::UsageCounter& usage)
{
    Authority::StoreLeaseSettings leases;
    leases.quietTime = m_settings.platform.leaseQuiet;
    leases.isFenced = m_settings.duties.isFenced;
    m_dutyService = m_adapters.createDutyService(*m_client, [this] { return m_dutyAddress; });
    m_dutyLeases = std::make_unique<StoreLeases>(m_context, *m_store, m_engineLeases->self(), leases, m_hooks.countStoreCall);
    m_dutyCalls = std::make_unique<DutyCalls>(m_context, *m_dutyService, *m_dutyLeases, m_settings.duties.callsPerSecond);
    m_engineNumbers = std::make_unique<EngineKeeper>(m_context, *m_dutyCalls, m_settings.sizer, EngineKeeper::Hooks { [this] { return hasDuties(); }, [this](std::string const& service) { return demandOf(service); } });
    if (m_settings.duties.usageWindow.count() == 0)
        return;
    Duties::UsageDutySettings duty;
    duty.window = m_settings.duties.usageWindow;
    duty.dueWithin = m_settings.duties.usageDue;
    m_usage = std::make_unique<UsageKeeper>(m_context, *m_store, *m_dutyCalls, m_beacons->book(), usage, m_beacons->self(), duty, UsageKeeper::Hooks { [this] { m_beacons->sendSoon(); }, m_hooks.countStoreCall });
}

void StoreControl::stopDuties()
{
    if (m_usage)
        m_usage->stop();
    if (m_engineNumbers)
        m_engineNumbers->stop();
    if (m_dutyLeases)
        m_dutyLeases->stop();
}

bool StoreControl::hasDuties() const
{
    return !m_isLeaving && !m_elders.empty() && m_elders.front() == m_settings.daemon.name && !m_dutyCalls->isBarred();
}

// Where one daemon orders engines it gives them their roles, too: two plans would fight.
bool StoreControl::plansRoles() const
{
    bool isChosen = m_dutyCalls ? hasDuties() : hasMetPlanner() && m_view.plansWith(m_engineLeases->claimed());
    return isChosen && !m_isLeaving && !m_isOutOfTouch && !m_engineLeases->isBarred();
}

// A daemon that has just started, or hears few of the daemons that it knows, may be cut off itself and leaves the duties to others.
// Daemons that start together agree on their order only once each has heard of the others' starts.
bool StoreControl::isFitForDuties(Clock::time_point now) const
{
    Fleet::DaemonBook const& book = m_beacons->book();
    bool isStartKnown = m_startReportedAt && now - *m_startReportedAt >= book.livenessTimeout();
    bool hasMet = now - m_startedAt >= meetingTime && (m_daemonList.follower->replica().isComplete() || now - m_startedAt > unlistedDaemonsTime);
    return hasMet && isStartKnown && !m_isLeaving && !m_isOutOfTouch && !m_dutyCalls->isBarred() && book.liveCount(now) * partOfDaemonsHeard >= book.knownCount();
}

// The daemon with the duties plans roles, too, since all leases share one topic.
std::uint64_t StoreControl::newestClaim() const
{
    return std::max(m_engineLeases->claimed(), m_dutyLeases ? m_dutyLeases->claimed() : 0);
}

std::chrono::milliseconds StoreControl::startInFleetTime() const
{
    if (m_usage)
        return m_usage->timeAt(m_startedAt).time_since_epoch();
    std::chrono::system_clock::duration ago = Clock::now() - m_startedAt;
    return std::chrono::floor<std::chrono::milliseconds>((std::chrono::system_clock::now() - ago).time_since_epoch());
}

void StoreControl::pollDuties(Clock::time_point now)
{
    if (!m_dutyCalls)
        return;
    if (!m_ownStart && now - m_startedAt >= meetingTime) {
        m_ownStart = startInFleetTime();
        m_startReportedAt = now;
        m_beacons->sendSoon();
    }
    m_elders = m_beacons->book().elders(m_settings.daemon.name, isFitForDuties(now) ? m_ownStart : std::nullopt, newestClaim(), now);
    if (m_usage)
        m_usage->tick(m_elders, now);
    m_engineNumbers->tick(*m_fleet, now);
}

}
