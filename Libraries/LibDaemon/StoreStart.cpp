// The part of StoreControl that brings a daemon from its start to its first request: docs/design/daemon.md, "What a daemon needs in its
// first second".

#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/StoreControl.h>
#include <boost/asio/co_spawn.hpp>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

constexpr std::chrono::milliseconds meetingCheckInterval { 20 };
// The daemon that plans the roles of engines has been heard by then; until then a daemon would take itself for the one to do it.
constexpr std::chrono::milliseconds firstPlanTime { 1'000 };

}

// Of two daemons that start at one moment the later one to write its entry reads the other's, and then sends it beacons: so
// one write and one read make all known to each other. The store takes entries one after the other, so whoever returns looks first
// where the others were before.
boost::asio::awaitable<void> StoreControl::meetOthers()
{
    boost::asio::co_spawn(
        m_context, [this] { return findOthers(); }, Core::logUncaughtException);
    co_await listSelf();
    if (!m_isStopped)
        co_await follow(m_daemonList);
}

boost::asio::awaitable<void> StoreControl::findOthers()
{
    std::string after;
    bool hasSelf = false;
    bool hasMore = true;
    while (hasMore) {
        m_hooks.countStoreCall(Fleet::StoreCallReason::Start);
        Core::Result<Platform::KeyedPage> page = co_await m_store->newest(Platform::StoreTopic::Daemons, after);
        if (m_isStopped || page.has_error())
            co_return;
        for (Platform::KeyedRecord const& record : page.value().records) {
            takeDaemon(record);
            hasSelf = hasSelf || (record.key == m_settings.daemon.name && record.value);
        }
        hasMore = page.value().hasMore && !page.value().records.empty();
        if (hasMore)
            after = page.value().records.back().key;
    }
    noteStartStep(StartStep::Found);
    m_meeting->noteList(hasSelf, Clock::now());
    m_beacons->announce();
    wakeTopics();
}

boost::asio::awaitable<void> StoreControl::listSelf()
{
    while (!m_isStopped && !m_isLeaving) {
        m_hooks.countStoreCall(Fleet::StoreCallReason::Listing);
        Core::Result<Platform::ConditionalAppend> appended = co_await m_store->append(Platform::StoreTopic::Daemons, m_settings.daemon.name, encode(m_beacons->self()), std::nullopt);
        if (appended.has_value())
            co_return;
        co_await wait(retryDelay);
    }
}

// Waits until a peer is heard that knows the topic, if there may be one.
boost::asio::awaitable<void> StoreControl::waitToMeet(Followed const& topic, boost::asio::steady_timer& timer)
{
    while (!m_isStopped && !m_meeting->isOver(m_beacons->book(), topic.follower->hasNews(m_view), Clock::now()))
        co_await waitFor(timer, meetingCheckInterval);
}

// While the store is away, a daemon that has just started hears its peers one after the other, and only the one that has ordered an engine
// to change its role tells of that.
bool StoreControl::hasHeardPeers(Clock::time_point now) const
{
    bool isStoreAway = !m_startSteps.contains(StartStep::Found) && !m_startSteps.contains(StartStep::Met);
    if (!isStoreAway)
        return true;
    // Beacons of a round may be late by some milliseconds, and one may be lost.
    constexpr int rounds = 2;
    return m_firstHeardAt ? now - *m_firstHeardAt >= rounds * m_beacons->book().beaconInterval() : hasMetPlanner();
}

bool StoreControl::hasMetPlanner() const
{
    return Clock::now() - m_startedAt >= firstPlanTime;
}

// What a daemon has just learnt others may wait for.
void StoreControl::noteStartStep(StartStep step)
{
    if (!m_startSteps.insert(step).second)
        return;
    if (step == StartStep::Met)
        m_meeting->noteList(true, Clock::now());
    Core::logEvent(Core::Severity::Info, Core::Event::StartStep, { { "step", std::string(Core::nameOf(startStepNames, step)) }, { "after_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count()) }, { "daemons", std::to_string(m_beacons->book().knownCount()) } });
    bool isLast = m_startSteps.contains(StartStep::Configuration) && m_startSteps.contains(StartStep::Targets) && m_startSteps.contains(StartStep::Suspects);
    if (isLast && !std::exchange(m_hasToldStart, true) && m_beacons->book().view(m_settings.daemon.name, Clock::now()).isReader)
        m_beacons->announce();
}

void StoreControl::becomeReady()
{
    if (m_quarantine->isCaughtUp())
        noteStartStep(StartStep::Suspects);
    if (!m_fleet->isReady && knowsEnough(Clock::now()))
        rebuild();
}

}
