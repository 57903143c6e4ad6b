#include <LibCore/EventLog.h>
#include <LibDaemon/BeaconMessage.h>
#include <LibDaemon/StoreLeases.h>
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

// A claim takes two calls to the store; a store that is slow beyond this is waited for by the next try.
constexpr std::chrono::milliseconds gainTimeout { 1'500 };
constexpr std::chrono::milliseconds gainInterval { 50 };
// A store that does not answer is not asked more often; it counts calls.
constexpr std::chrono::milliseconds retryDelay { 200 };
// A daemon that cannot reach the store leaves its duties to the next for this long: twice what that one needs.
constexpr std::chrono::seconds stepBackTime { 6 };

}

StoreLeases::StoreLeases(boost::asio::io_context& context, Platform::KeyedStore& store, Authority::StoreLeaseHolder self, Authority::StoreLeaseSettings const& settings, CountHook countCall)
    : m_context(context)
    , m_store(store)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_countCall(std::move(countCall))
    , m_startedAt(Clock::now())
{
}

StoreLeases::Entry& StoreLeases::entryOf(std::string const& name)
{
    return m_entries.try_emplace(name, Entry { Authority::StoreLease(m_settings, m_self, m_startedAt), false }).first->second;
}

Authority::StoreLease& StoreLeases::of(std::string const& name)
{
    return entryOf(name).lease;
}

bool StoreLeases::mayOrder() const
{
    Clock::time_point now = Clock::now();
    return std::any_of(m_entries.begin(), m_entries.end(), [now](std::pair<std::string const, Entry> const& it) { return it.second.lease.mayOrder(now); });
}

void StoreLeases::giveUp()
{
    Clock::time_point now = Clock::now();
    for (std::pair<std::string const, Entry>& it : m_entries) {
        if (!it.second.lease.mayOrder(now))
            continue;
        it.second.lease.loseAuthority(now);
        Core::logEvent(Core::Severity::Info, Core::Event::LeaseLost, { { "pool", it.first }, { "phase", "given up" }, { "error", "this daemon is cut off from the targets" } });
    }
}

bool StoreLeases::isHeld(std::string const& name) const
{
    std::map<std::string, Entry>::const_iterator it = m_entries.find(name);
    if (it == m_entries.end())
        return false;
    std::optional<Clock::time_point> opensAt = it->second.lease.opensAt();
    return opensAt && Clock::now() < *opensAt;
}

std::uint64_t StoreLeases::claimed() const
{
    std::uint64_t newest = 0;
    for (std::pair<std::string const, Entry> const& it : m_entries) {
        if (std::optional<std::uint64_t> offset = it.second.lease.fencing())
            newest = std::max(newest, *offset + 1);
    }
    return newest;
}

boost::asio::awaitable<bool> StoreLeases::gain(std::string name, IfHeld ifHeld)
{
    Clock::time_point giveUpAt = Clock::now() + gainTimeout;
    while (!m_isStopped && Clock::now() < giveUpAt) {
        Entry& entry = entryOf(name);
        if (entry.lease.mayOrder(Clock::now()))
            co_return true;
        if (ifHeld == IfHeld::Wait && isHeld(name)) {
            // Where orders are fenced only this process has to wait. Otherwise none could have the lease sooner.
            if (m_settings.isFenced)
                m_barredUntil = *of(name).opensAt();
            co_return false;
        }
        if (!std::exchange(entry.isClaiming, true)) {
            co_await claim(name);
            entryOf(name).isClaiming = false;
            continue;
        }
        co_await wait(gainInterval);
    }
    m_barredUntil = Clock::now() + stepBackTime;
    co_return false;
}

// Nothing follows the topic while nothing is ordered, so the newest claim is read first, unless it was this daemon's own: then the
// store refuses the append if there is another.
boost::asio::awaitable<void> StoreLeases::claim(std::string name)
{
    std::optional<Authority::StoreLeaseAppend> append = of(name).pollReclaim(Clock::now());
    if (!append) {
        Core::Result<void> read = co_await readClaim(name);
        if (read.has_error()) {
            co_await wait(retryDelay);
            co_return;
        }
        append = of(name).poll(true, Clock::now());
    }
    if (!append) {
        co_await wait(gainInterval);
        co_return;
    }
    m_countCall(Fleet::StoreCallReason::Lease);
    Core::Result<Platform::ConditionalAppend> appended = co_await m_store.append(Platform::StoreTopic::Leases, name, encode(m_self), append->expectedNext);
    Authority::StoreLease& lease = of(name);
    if (appended.has_value() && appended.value().isAppended) {
        lease.claimAppended(appended.value().offset);
        Core::logEvent(Core::Severity::Info, Core::Event::LeaseGained, { { "pool", name }, { "fencing", std::to_string(appended.value().offset) } });
    } else if (appended.has_value() || appended.error().verdict == Core::Verdict::NotRun) {
        lease.claimFailed();
        Core::logEvent(Core::Severity::Info, Core::Event::LeaseLost, { { "pool", name }, { "phase", "claim refused" }, { "error", appended.has_error() ? appended.error().message : "the topic has moved on" } });
    } else {
        lease.claimUnknown();
        Core::logEvent(Core::Severity::Warning, Core::Event::LeaseLost, { { "pool", name }, { "phase", "claim unknown" }, { "error", appended.error().message } });
    }
}

boost::asio::awaitable<Core::Result<void>> StoreLeases::readClaim(std::string name)
{
    std::optional<Authority::StoreLeaseClaim> newest;
    std::uint64_t next = 0;
    std::string after;
    bool hasMore = true;
    bool isFirst = true;
    while (hasMore) {
        m_countCall(Fleet::StoreCallReason::Lease);
        Core::Result<Platform::KeyedPage> page = co_await m_store.newest(Platform::StoreTopic::Leases, after);
        if (page.has_error())
            co_return Core::Result<void>(page.error());
        if (std::exchange(isFirst, false))
            next = page.value().next;
        for (Platform::KeyedRecord const& record : page.value().records) {
            after = record.key;
            Core::Result<Authority::StoreLeaseHolder> holder = decodeLeaseHolder(record.value.value_or(""));
            if (record.key == name && holder.has_value())
                newest = Authority::StoreLeaseClaim { record.offset, holder.value() };
        }
        hasMore = page.value().hasMore && !page.value().records.empty();
    }
    of(name).observe(newest, next, Clock::now(), newest ? m_claimTimes.madeBy(newest->offset) : std::nullopt);
    co_return Core::ok();
}

boost::asio::awaitable<void> StoreLeases::wait(std::chrono::milliseconds duration)
{
    boost::asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

}
