// The part of Dispatcher that heeds what targets say of themselves in their answers.

#include <LibDaemon/DispatcherWaiter.h>
#include <algorithm>
#include <tuple>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

// Of the wait that callers are told where all targets want nothing, the reciprocal.
constexpr int partOfPauseSpread = 4;

}

bool Dispatcher::noteNotice(std::uint64_t targetKey, Routing::TargetNotice const& notice)
{
    std::lock_guard lock(m_mutex);
    return m_notices.note(targetKey, notice, Core::BootClock::now());
}

bool Dispatcher::mayWrite(FleetTarget const& target) const
{
    std::lock_guard lock(m_mutex);
    std::unordered_map<std::uint32_t, std::uint32_t>::const_iterator limit = m_limits.find(target.id);
    return limit != m_limits.end() && limit->second > 0 && !m_notices.isClosed(target.key, Core::BootClock::now());
}

// When the first of the targets opens that the request may go to; nothing where any of them is not waited for, or none is.
std::optional<Core::BootClock::time_point> Dispatcher::nextOpening(PlacementRequest const& request) const
{
    Core::BootClock::time_point now = Core::BootClock::now();
    std::optional<Core::BootClock::time_point> first;
    for (std::uint32_t position : request.allowed) {
        FleetTarget const& target = request.fleet->targets[position];
        std::unordered_map<std::uint32_t, std::uint32_t>::const_iterator limit = m_limits.find(target.id);
        std::unordered_map<std::uint32_t, Routing::TargetRole>::const_iterator role = m_roles.find(target.id);
        bool isFit = role != m_roles.end() && Routing::takes(role->second, request.shape.phase);
        if (!isFit || limit == m_limits.end() || limit->second == 0)
            continue;
        std::optional<Core::BootClock::time_point> opensAt = m_notices.opensAt(target.key, now);
        if (!opensAt && !m_notices.isClosed(target.key, now))
            return std::nullopt;
        if (opensAt && (!first || *opensAt < *first))
            first = opensAt;
    }
    return first;
}

// Called with the mutex held.
void Dispatcher::serveOpened(PlacementRequest const& request)
{
    for (std::uint32_t position : request.allowed) {
        std::uint32_t id = request.fleet->targets[position].id;
        std::unordered_map<std::uint32_t, std::uint32_t>::const_iterator limit = m_limits.find(id);
        if (limit != m_limits.end())
            resolve(m_admission->setTarget(id, limit->second, m_groupsOfTarget[id]));
    }
    drainOutcomes();
}

// Called with the mutex held. All targets have said that they want nothing until it is too late: nobody is held up for that.
void Dispatcher::refusePaused(Waiter& waiter, Core::BootClock::duration left)
{
    std::ignore = m_admission->release(waiter.outcome.id, Clock::now());
    drainOutcomes();
    std::uint64_t id = waiter.outcome.id;
    waiter.outcome.position.reset();
    waiter.outcome.error = Core::makeError(Core::ErrorCode::Unavailable, "all targets want no requests for a while");
    // Spread, so that those who are refused together do not come back together.
    std::chrono::milliseconds wait = std::chrono::ceil<std::chrono::milliseconds>(left);
    std::uniform_int_distribution<std::chrono::milliseconds::rep> spread(0, wait.count() / partOfPauseSpread);
    waiter.outcome.retryAfter = wait + std::chrono::milliseconds(spread(m_random));
    waiter.isResolved = true;
    m_waiters.erase(id);
}

}
