// The part of Dispatcher that handles the notices that targets send in their responses.

#include <LibCore/EventLog.h>
#include <LibDaemon/DispatcherWaiter.h>
#include <algorithm>
#include <tuple>
#include <utility>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

// If all targets are paused, up to the wait divided by this is added to Retry-After at random.
constexpr int pauseSpreadDivisor = 4;
// A request waits for its share of a rate limit for at most its time to start divided by this.
constexpr int rateWaitDivisor = 3;

}

bool Dispatcher::noteNotice(std::uint64_t targetKey, Routing::TargetNotice const& notice, Core::BootClock::time_point sentAt)
{
    std::lock_guard lock(m_mutex);
    Core::BootClock::time_point now = Core::BootClock::now();
    if (!notice.hasUnreadableLimit && m_rates.note(targetKey, notice.requestsPerSecond, sentAt, now))
        logRateLimit(targetKey, "target");
    return m_notices.note(targetKey, notice, now);
}

bool Dispatcher::mayWrite(FleetTarget const& target, std::uint64_t id)
{
    std::lock_guard lock(m_mutex);
    Core::BootClock::time_point now = Core::BootClock::now();
    std::unordered_map<std::uint32_t, std::uint32_t>::const_iterator limit = m_limits.find(target.id);
    if (limit == m_limits.end() || limit->second == 0 || m_notices.isClosed(target.key, now))
        return false;
    // The request was placed by what its own list says of the target's release.
    std::unordered_map<std::uint64_t, StreamTerms>::const_iterator terms = m_streamTerms.find(target.key);
    if (terms != m_streamTerms.end() && terms->second.release != target.streamRelease)
        return false;
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::const_iterator it = m_waiters.find(id);
    if (it != m_waiters.end() && std::exchange(it->second->holdsRate, false))
        return true;
    // The target may have stated its limit after the request was placed.
    return m_rates.take(target.key, now) != Routing::RateLimits::Admission::Exhausted;
}

// Returns when the first target of the request that is paused or at its rate limit accepts it; nullopt if one is open already or
// none is closed for such a reason. Called with the mutex held. Books the share of a rate limit that the request will wait for.
std::optional<Dispatcher::Reopening> Dispatcher::nextReopening(Waiter& waiter)
{
    PlacementRequest const& request = waiter.request;
    Core::BootClock::time_point now = Core::BootClock::now();
    std::optional<Reopening> first;
    std::uint64_t firstKey = 0;
    for (std::uint32_t position : request.allowed) {
        FleetTarget const& target = request.fleet->targets[position];
        std::unordered_map<std::uint32_t, std::uint32_t>::const_iterator limit = m_limits.find(target.id);
        std::unordered_map<std::uint32_t, Routing::TargetRole>::const_iterator role = m_roles.find(target.id);
        bool isFit = role != m_roles.end() && Routing::takes(role->second, request.shape.phase) && mayWriteEvents(request, target.key, role->second);
        if (!isFit || limit == m_limits.end() || limit->second == 0)
            continue;
        std::optional<Core::BootClock::time_point> pausedUntil = m_notices.opensAt(target.key, now);
        if (!pausedUntil && m_notices.isClosed(target.key, now))
            continue;
        bool isBooked = waiter.bookedTarget == target.key;
        Core::BootClock::time_point shareAt = isBooked ? m_rates.nextBooking(target.key).value_or(now) : m_rates.opensAt(target.key, now);
        Core::BootClock::time_point opensAt = std::max(shareAt, pausedUntil.value_or(now));
        if (opensAt <= now)
            return std::nullopt;
        if (!first || opensAt < first->at) {
            first = Reopening { opensAt };
            firstKey = target.key;
        }
    }
    bool isByRate = first && m_rates.opensAt(firstKey, now) > now;
    if (!isByRate || waiter.bookedTarget)
        return first;
    // Most of a request's time is for its answer.
    first->isWorthWaiting = first->at - now < (request.latestStart - Clock::now()) / rateWaitDivisor;
    if (first->isWorthWaiting) {
        m_rates.book(firstKey, now);
        waiter.bookedTarget = firstKey;
    }
    return first;
}

// Called with the mutex held.
bool Dispatcher::isRateExhausted(Waiter const& waiter, std::uint64_t targetKey, Core::BootClock::time_point now) const
{
    if (waiter.bookedTarget == targetKey) {
        std::optional<Core::BootClock::time_point> booking = m_rates.nextBooking(targetKey);
        if (booking && *booking <= now)
            return false;
    }
    return m_rates.opensAt(targetKey, now) > now;
}

// Called with the mutex held. If another request has taken the last of the share meanwhile, the write is refused.
void Dispatcher::takeRate(Waiter& waiter, std::uint64_t targetKey)
{
    Core::BootClock::time_point now = Core::BootClock::now();
    std::optional<Core::BootClock::time_point> booking = m_rates.nextBooking(targetKey);
    if (waiter.bookedTarget == targetKey && booking && *booking <= now) {
        m_rates.useBooking(targetKey);
        waiter.bookedTarget.reset();
        waiter.holdsRate = true;
        return;
    }
    returnRate(waiter);
    waiter.holdsRate = m_rates.take(targetKey, now) == Routing::RateLimits::Admission::Taken;
}

// Called with the mutex held. Returns what the request has not used of a target's rate limit.
void Dispatcher::returnRate(Waiter& waiter)
{
    if (waiter.bookedTarget)
        m_rates.cancelBooking(*std::exchange(waiter.bookedTarget, std::nullopt));
    if (std::exchange(waiter.holdsRate, false))
        m_rates.giveBack(waiter.request.fleet->targets[*waiter.outcome.position].key);
}

void Dispatcher::setDaemons(std::string const& self, std::vector<std::string> const& others)
{
    std::lock_guard lock(m_mutex);
    m_rates.setDaemons(self, others, Core::BootClock::now());
}

std::vector<Routing::RateLimitReport> Dispatcher::rateLimitReports() const
{
    std::lock_guard lock(m_mutex);
    return m_rates.own(Core::BootClock::now());
}

void Dispatcher::takePeerRateLimits(std::string const& peer, std::vector<Routing::RateLimitReport> const& reports)
{
    std::lock_guard lock(m_mutex);
    for (Routing::RateLimitReport const& it : reports) {
        if (m_rates.hear(it, Core::BootClock::now()))
            logRateLimit(it.target, peer);
    }
}

std::map<std::string, Routing::RateLimitStatus> Dispatcher::rateLimits() const
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, Routing::RateLimitStatus> limits;
    for (std::pair<std::uint64_t const, Routing::RateLimitStatus> const& it : m_rates.limits()) {
        std::unordered_map<std::uint64_t, std::string>::const_iterator name = m_targetNames.find(it.first);
        if (name != m_targetNames.end())
            limits.emplace(name->second, it.second);
    }
    return limits;
}

// Called with the mutex held.
void Dispatcher::logRateLimit(std::uint64_t targetKey, std::string const& toldBy) const
{
    std::unordered_map<std::uint64_t, std::string>::const_iterator name = m_targetNames.find(targetKey);
    std::optional<double> limit = m_rates.limitOf(targetKey);
    Core::logEvent(Core::Severity::Info, Core::Event::TargetLimited, { { "target", name == m_targetNames.end() ? std::string("-") : name->second }, { "per_second", limit ? std::to_string(*limit) : "-" }, { "told_by", toldBy } });
}

// Called with the mutex held.
void Dispatcher::retryReopenedTargets(PlacementRequest const& request)
{
    for (std::uint32_t position : request.allowed) {
        std::uint32_t id = request.fleet->targets[position].id;
        std::unordered_map<std::uint32_t, std::uint32_t>::const_iterator limit = m_limits.find(id);
        if (limit != m_limits.end())
            resolve(m_admission->setTarget(id, admittedAt(id), m_groupsOfTarget[id]));
    }
    applyAdmissionResults();
}

// Called with the mutex held. The first target accepts the request again at `opensAt`, which is too late for it.
void Dispatcher::rejectWhilePaused(Waiter& waiter, Core::BootClock::time_point opensAt)
{
    std::ignore = m_admission->release(waiter.outcome.id, Clock::now());
    returnRate(waiter);
    applyAdmissionResults();
    std::uint64_t id = waiter.outcome.id;
    waiter.outcome.position.reset();
    waiter.outcome.error = Core::makeError(Core::ErrorCode::Unavailable, "all targets have paused new requests or are at the rate limits that they stated");
    waiter.isResolved = true;
    m_waiters.erase(id);
    // Another daemon may have a share and serve the request at once.
    if (opensAt == Routing::RateLimits::never)
        return;
    // Randomized, so that callers refused at the same time do not retry at the same time.
    std::chrono::milliseconds wait = std::chrono::ceil<std::chrono::milliseconds>(opensAt - Core::BootClock::now());
    std::uniform_int_distribution<std::chrono::milliseconds::rep> spread(0, std::max<std::chrono::milliseconds::rep>(0, wait.count() / pauseSpreadDivisor));
    waiter.outcome.retryAfter = wait + std::chrono::milliseconds(spread(m_random));
}

}
