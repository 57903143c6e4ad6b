// The part of Dispatcher that handles the notices that targets send in their responses.

#include <LibDaemon/DispatcherWaiter.h>
#include <algorithm>
#include <tuple>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

// If all targets are paused, up to the wait divided by this is added to Retry-After at random.
constexpr int pauseSpreadDivisor = 4;

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

// Returns when the first paused target of the request reopens; nullopt if one is open already or none is paused.
std::optional<Core::BootClock::time_point> Dispatcher::nextReopening(PlacementRequest const& request) const
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
void Dispatcher::retryReopenedTargets(PlacementRequest const& request)
{
    for (std::uint32_t position : request.allowed) {
        std::uint32_t id = request.fleet->targets[position].id;
        std::unordered_map<std::uint32_t, std::uint32_t>::const_iterator limit = m_limits.find(id);
        if (limit != m_limits.end())
            resolve(m_admission->setTarget(id, limit->second, m_groupsOfTarget[id]));
    }
    applyAdmissionResults();
}

// Called with the mutex held. All targets are paused beyond the latest start, so that the request is refused at once.
void Dispatcher::rejectWhilePaused(Waiter& waiter, Core::BootClock::duration left)
{
    std::ignore = m_admission->release(waiter.outcome.id, Clock::now());
    applyAdmissionResults();
    std::uint64_t id = waiter.outcome.id;
    waiter.outcome.position.reset();
    waiter.outcome.error = Core::makeError(Core::ErrorCode::Unavailable, "all targets have paused new requests");
    // Randomized, so that callers refused at the same time do not retry at the same time.
    std::chrono::milliseconds wait = std::chrono::ceil<std::chrono::milliseconds>(left);
    std::uniform_int_distribution<std::chrono::milliseconds::rep> spread(0, wait.count() / pauseSpreadDivisor);
    waiter.outcome.retryAfter = wait + std::chrono::milliseconds(spread(m_random));
    waiter.isResolved = true;
    m_waiters.erase(id);
}

}
