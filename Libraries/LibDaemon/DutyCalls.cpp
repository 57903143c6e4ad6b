#include <LibDaemon/DutyCalls.h>
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

constexpr char const* leaseName = "duties";
// The holder before may have called in the same second, and a call may come late.
constexpr double partOfRate = 2;

}

DutyCalls::DutyCalls(boost::asio::io_context& context, Platform::DutyService& service, StoreLeases& leases, double callsPerSecond)
    : m_context(context)
    , m_service(service)
    , m_leases(leases)
    , m_callInterval(std::chrono::round<std::chrono::microseconds>(std::chrono::duration<double>(partOfRate / callsPerSecond)))
{
}

boost::asio::awaitable<bool> DutyCalls::gain()
{
    return m_leases.gain(leaseName, StoreLeases::IfHeld::Wait);
}

std::optional<std::uint64_t> DutyCalls::fencing() const
{
    Authority::StoreLease const& lease = m_leases.of(leaseName);
    return lease.mayOrder(Clock::now()) ? lease.fencing() : std::nullopt;
}

void DutyCalls::loseAuthority()
{
    m_leases.of(leaseName).loseAuthority(Clock::now());
}

boost::asio::awaitable<DutyCalls::Reply> DutyCalls::reportUsage(Platform::UsageOfWindow usage)
{
    return call([this, usage = std::move(usage)](Platform::DutyHolder holder, std::function<bool()> mayWrite) { return m_service.reportUsage(std::move(holder), usage, std::move(mayWrite)); });
}

boost::asio::awaitable<DutyCalls::Reply> DutyCalls::orderEngines(Platform::EngineCount order)
{
    return call([this, order = std::move(order)](Platform::DutyHolder holder, std::function<bool()> mayWrite) { return m_service.orderEngines(std::move(holder), order, std::move(mayWrite)); });
}

boost::asio::awaitable<DutyCalls::Reply> DutyCalls::call(Send send)
{
    co_await waitForTurn();
    Authority::StoreLease& lease = m_leases.of(leaseName);
    std::optional<std::uint64_t> number = fencing();
    if (!number)
        co_return Reply(Core::makeError(Core::ErrorCode::LostAuthority, "the lease's time is over"));
    lease.recordOrder(Clock::now());
    Platform::DutyHolder holder { m_leases.self().daemon, *number };
    Reply reply = co_await send(std::move(holder), [this, number] { return fencing() == number; });
    lease.recordOrder(Clock::now());
    co_return reply;
}

boost::asio::awaitable<void> DutyCalls::waitForTurn()
{
    Clock::time_point turn = std::max(Clock::now(), m_nextCallAt);
    m_nextCallAt = turn + m_callInterval;
    boost::asio::steady_timer timer(m_context, std::chrono::ceil<std::chrono::milliseconds>(turn - Clock::now()));
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

}
