#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/UsageKeeper.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <numeric>
#include <utility>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

// By then most other daemons are heard, and the fleet's time is more than this VM's own.
constexpr std::chrono::milliseconds meetingTime { 1'500 };
// Between the moment at which a traffic thread takes the time and that at which its count is seen here.
constexpr std::chrono::milliseconds closeMargin { 20 };
// A daemon that was heard within this time may be cut off and still serve; then it is taken to be gone.
constexpr std::chrono::seconds missedTime { 20 };
// Of any other daemon, one of them may be lost.
constexpr int beaconsToCollect = 4;
// A store or a service that refuses or does not answer is asked again after this.
constexpr std::chrono::milliseconds retryDelay { 300 };
// Reports are kept in the store under so many keys in turn: far more windows than may be unsettled at one time.
constexpr Duties::WindowNumber reportKeys = 16;

std::string keyOf(Duties::WindowNumber window)
{
    return "usage-" + std::to_string(window % reportKeys);
}

Duties::WallTime wallNow()
{
    return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

std::uint64_t sumOf(Duties::OrganisationCounts const& counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t { 0 }, [](std::uint64_t sum, std::pair<std::string const, std::uint64_t> const& it) { return sum + it.second; });
}

}

UsageKeeper::UsageKeeper(boost::asio::io_context& context, Platform::KeyedStore& store, DutyCalls& calls, Fleet::DaemonBook const& daemons, Duties::UsageCounter& counter, Platform::ListedDaemon self, Duties::UsageDutySettings const& settings, Hooks hooks)
    : m_context(context)
    , m_store(store)
    , m_calls(calls)
    , m_daemons(daemons)
    , m_counter(counter)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_duty(settings)
    , m_startedAt(Clock::now())
{
    m_clock.observeOwn(wallNow(), m_startedAt);
    m_counter.setOffset(m_clock.offset());
}

Duties::UsageStatement UsageKeeper::ownStatement(Time now)
{
    Duties::UsageStatement statement;
    statement.closedBefore = Duties::windowAt(m_clock.at(now - closeMargin), m_settings.window);
    m_counter.closeBefore(statement.closedBefore);
    statement.windows = m_counter.takeFrom(m_duty.settledBefore());
    statement.settledBefore = m_duty.settledBefore();
    return statement;
}

void UsageKeeper::describe(BeaconMessage& beacon, Time now)
{
    beacon.wallClock = wallNow().time_since_epoch();
    beacon.usage = ownStatement(now);
    beacon.usageFor = m_elders;
}

void UsageKeeper::hear(BeaconMessage const& beacon, std::chrono::milliseconds heldUp, Time now)
{
    if (beacon.wallClock.count() > 0)
        m_clock.observePeer(beacon.sender.name, Duties::WallTime(beacon.wallClock + heldUp), now);
    noteOutcomes(beacon.outcomes, now);
    settleBefore(beacon.usage.settledBefore);
    m_book.merge({ beacon.sender.name, beacon.sender.incarnation }, beacon.usage);
    m_book.forgetBefore(m_duty.settledBefore());
}

void UsageKeeper::noteOutcomes(std::vector<Routing::OutcomeCounts> const& outcomes, Time now)
{
    for (Routing::OutcomeCounts const& it : outcomes)
        m_counter.noteOutcomes(it.target, it.good, it.bad, now);
}

void UsageKeeper::settleBefore(Duties::WindowNumber window)
{
    m_duty.noteSettledBefore(window);
}

// The others learn of a new elder from a beacon, and send it their counts with their next ones.
void UsageKeeper::noteElders(std::vector<std::string> const& elders, Time now)
{
    m_elders = elders;
    if (std::find(elders.begin(), elders.end(), m_self.name) == elders.end())
        m_collectsSince.reset();
    else if (!m_collectsSince)
        m_collectsSince = now;
    m_duty.setCollectedAt(m_clock.at(m_collectsSince.value_or(now) + beaconsToCollect * m_daemons.beaconInterval()));
}

void UsageKeeper::tick(std::vector<std::string> const& elders, Time now)
{
    noteElders(elders, now);
    m_clock.observeOwn(wallNow(), now);
    m_counter.setOffset(m_clock.offset());
    if (now - m_startedAt < meetingTime)
        return;
    m_duty.begin(m_clock.at(now));
    if (!isHolder()) {
        m_hasReadReports = false;
        return;
    }
    m_book.merge({ m_self.name, m_self.incarnation }, ownStatement(now));
    m_book.forgetBefore(m_duty.settledBefore());
    if (std::optional<Duties::WindowNumber> first = m_book.first())
        m_duty.noteUnsettled(*first);
    if (m_isWorking || !nextStep())
        return;
    m_isWorking = true;
    boost::asio::co_spawn(
        m_context, [this] { return work(); }, Core::logUncaughtException);
}

std::optional<Duties::UsageStep> UsageKeeper::nextStep() const
{
    Time now = Clock::now();
    return m_duty.next(m_clock.at(now), [this, now](Duties::WindowNumber window) { return isClosed(window, now); });
}

// Whoever is cut off may still count; whoever has started again has said all that it will for its former process.
bool UsageKeeper::isClosed(Duties::WindowNumber window, Time now) const
{
    return std::all_of(m_daemons.daemons().begin(), m_daemons.daemons().end(), [&](std::pair<std::string const, Fleet::BookedDaemon> const& it) {
        bool isGone = it.second.heardAt == Time() || now - it.second.heardAt > missedTime || (it.second.said.isLeaving && !m_daemons.isLive(it.second, now));
        return isGone || m_book.hasClosed({ it.first, it.second.listed.incarnation }, window);
    });
}

boost::asio::awaitable<void> UsageKeeper::work()
{
    for (std::optional<Duties::UsageStep> step = nextStep(); step && isHolder(); step = nextStep()) {
        if (Duties::GiveUpReport const* late = std::get_if<Duties::GiveUpReport>(&*step)) {
            giveUp(late->window);
            continue;
        }
        bool mayCall = co_await m_calls.gain();
        if (!mayCall)
            break;
        bool isDone = m_hasReadReports;
        if (!isDone)
            isDone = co_await readDecided();
        else if (Duties::SendReport* decided = std::get_if<Duties::SendReport>(&*step))
            isDone = co_await send(std::move(decided->report));
        else
            isDone = co_await decide(std::get<Duties::DecideReport>(*step).window);
        if (!isDone)
            co_await wait(retryDelay);
    }
    m_isWorking = false;
}

void UsageKeeper::giveUp(Duties::WindowNumber window)
{
    ++m_missed;
    Core::logEvent(Core::Severity::Error, Core::Event::UsageMissed, { { "window", std::to_string(window) }, { "requests", std::to_string(sumOf(m_book.total(window))) }, { "decided", m_duty.decided(window) ? "yes" : "no" } });
    m_duty.noteSettled(window);
}

boost::asio::awaitable<bool> UsageKeeper::readDecided()
{
    m_hooks.countStoreCall(Fleet::StoreCallReason::Report);
    Core::Result<Platform::KeyedPage> page = co_await m_store.newest(Platform::StoreTopic::Reports, "");
    if (page.has_error()) {
        Core::logEvent(Core::Severity::Warning, Core::Event::DutyCallFailed, { { "call", "read reports" }, { "error", page.error().message } });
        co_return false;
    }
    for (Platform::KeyedRecord const& record : page.value().records) {
        Core::Result<Duties::UsageReport> report = decodeUsageReport(record.value.value_or(""));
        if (report.has_value())
            m_duty.noteDecided(report.value());
    }
    m_reportsEnd = page.value().next;
    m_hasReadReports = true;
    co_return true;
}

boost::asio::awaitable<bool> UsageKeeper::decide(Duties::WindowNumber window)
{
    Duties::UsageReport report { window, m_book.total(window) };
    m_hooks.countStoreCall(Fleet::StoreCallReason::Report);
    // Until the answer is here another may stand in the topic, or this one.
    m_hasReadReports = false;
    Core::Result<Platform::ConditionalAppend> appended = co_await m_store.append(Platform::StoreTopic::Reports, keyOf(window), encode(report), m_reportsEnd);
    bool isAppended = appended.has_value() && appended.value().isAppended;
    if (!isAppended) {
        Core::logEvent(Core::Severity::Warning, Core::Event::DutyCallFailed, { { "call", "decide report" }, { "error", appended.has_error() ? appended.error().message : "another daemon has decided one" } });
        // Nothing was done, so what was read still holds.
        m_hasReadReports = appended.has_error() && appended.error().verdict == Core::Verdict::NotRun;
        co_return false;
    }
    m_reportsEnd = appended.value().offset + 1;
    m_hasReadReports = true;
    ++m_decided;
    bool isWhole = isClosed(window, Clock::now());
    Core::logEvent(Core::Severity::Info, Core::Event::UsageDecided, { { "window", std::to_string(window) }, { "organisations", std::to_string(report.counts.size()) }, { "requests", std::to_string(sumOf(report.counts)) }, { "whole", isWhole ? "yes" : "no" }, { "after_ms", std::to_string((m_clock.at(Clock::now()) - Duties::endOf(window, m_settings.window)).count()) } });
    m_duty.noteDecided(report);
    co_return true;
}

boost::asio::awaitable<bool> UsageKeeper::send(Duties::UsageReport report)
{
    std::uint64_t fencing = m_calls.fencing().value_or(0);
    // Named: g++ 12 destroys a braced temporary inside a co_await expression twice.
    Platform::UsageOfWindow usage { report.window, report.counts };
    DutyCalls::Reply reply = co_await m_calls.reportUsage(std::move(usage));
    bool isAccepted = reply.has_value() && reply.value() == Platform::DutyReply::Accepted;
    if (!isAccepted) {
        Core::logEvent(Core::Severity::Warning, Core::Event::DutyCallFailed, { { "call", "report usage" }, { "window", std::to_string(report.window) }, { "fencing", std::to_string(fencing) }, { "error", reply.has_error() ? reply.error().message : "refused: another holder has a higher number" } });
        if (reply.has_value()) {
            m_hasReadReports = false;
            m_calls.loseAuthority();
        }
        co_return false;
    }
    ++m_reported;
    Core::logEvent(Core::Severity::Info, Core::Event::UsageReported, { { "window", std::to_string(report.window) }, { "requests", std::to_string(sumOf(report.counts)) }, { "fencing", std::to_string(fencing) }, { "after_ms", std::to_string((m_clock.at(Clock::now()) - Duties::endOf(report.window, m_settings.window)).count()) } });
    m_duty.noteSettled(report.window);
    m_hooks.onSettled();
    co_return true;
}

boost::asio::awaitable<void> UsageKeeper::wait(std::chrono::milliseconds duration)
{
    boost::asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

UsageKeeper::Status UsageKeeper::status() const
{
    return { m_duty.settledBefore(), m_decided, m_reported, m_missed, m_clock.clocks(), m_clock.offset() };
}

}
