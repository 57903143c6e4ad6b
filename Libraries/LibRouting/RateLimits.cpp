#include <LibRouting/PromptHomes.h>
#include <LibRouting/RateLimits.h>
#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

// A daemon with a smaller share could rarely use it, since requests seldom arrive just when it allows one.
constexpr double minSharePerSecond = 1.0;
// A target that states less, such as 0, is still asked from time to time whether that holds.
constexpr double minLimitPerSecond = 0.1;
// Requests that a share allows at once: one, and what accrues in this time.
constexpr double burstSeconds = 0.25;
// Peers that were not reachable get what this daemon was told within this time.
constexpr std::chrono::seconds reportLifetime { 10 };
// Longer than a typical store outage, after which a target that dropped off the list is listed again.
constexpr std::chrono::seconds unlistedRetention { 60 };

// FNV-1a: the same at all daemons, unlike std::hash.
std::uint64_t hashOf(std::string const& name)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (char c : name)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return hash;
}

RateLimits::Time::duration secondsToDuration(double seconds)
{
    return std::chrono::ceil<RateLimits::Time::duration>(std::chrono::duration<double>(seconds));
}

double burstOf(double share)
{
    return 1 + share * burstSeconds;
}

}

void RateLimits::setDaemons(std::string const& self, std::vector<std::string> const& others, Time now)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(others.size());
    for (std::string const& it : others)
        hashes.push_back(hashOf(it));
    std::sort(hashes.begin(), hashes.end());
    bool isSame = m_knowsDaemons && hashes == m_others;
    m_knowsDaemons = true;
    m_self = hashOf(self);
    if (isSame)
        return;
    m_others = std::move(hashes);
    for (std::pair<std::uint64_t const, TargetState>& it : m_targets) {
        refill(it.second, tokensAt(it.second, now), now);
        it.second.share = it.second.perSecond ? shareOf(it.first, *it.second.perSecond) : 0;
    }
}

double RateLimits::shareOf(std::uint64_t target, double perSecond) const
{
    if (!m_knowsDaemons)
        return 0;
    std::size_t daemons = m_others.size() + 1;
    std::size_t senders = perSecond >= static_cast<double>(daemons) * minSharePerSecond ? daemons : std::max<std::size_t>(1, static_cast<std::size_t>(perSecond / minSharePerSecond));
    std::uint64_t own = homeWeight(m_self, target);
    std::size_t before = static_cast<std::size_t>(std::count_if(m_others.begin(), m_others.end(), [&](std::uint64_t it) { return homeWeight(it, target) > own; }));
    return before < senders ? perSecond / static_cast<double>(senders) : 0;
}

bool RateLimits::apply(std::uint64_t target, TargetState& state, std::optional<double> perSecond, Time now)
{
    if (perSecond)
        perSecond = std::max(*perSecond, minLimitPerSecond);
    if (perSecond == state.perSecond)
        return false;
    // A limit that is new, or raised, does not allow for the time before.
    refill(state, state.perSecond ? tokensAt(state, now) : std::min(0.0, state.tokens), now);
    state.perSecond = perSecond;
    state.share = perSecond ? shareOf(target, *perSecond) : 0;
    return true;
}

bool RateLimits::note(std::uint64_t target, std::optional<double> perSecond, Time sentAt, Time now)
{
    std::map<std::uint64_t, TargetState>::iterator it = m_targets.find(target);
    if (!perSecond) {
        // An answer to a request that was sent before the limit was stated may be older than that statement.
        if (it == m_targets.end() || !it->second.perSecond || sentAt <= it->second.statedAt)
            return false;
    } else if (it == m_targets.end()) {
        it = m_targets.emplace(target, TargetState()).first;
    }
    it->second.statedAt = now;
    it->second.statedHereAt = now;
    return apply(target, it->second, perSecond, now);
}

bool RateLimits::hear(RateLimitReport const& report, Time now)
{
    std::map<std::uint64_t, TargetState>::iterator it = m_targets.find(report.target);
    if (it == m_targets.end()) {
        if (!report.perSecond)
            return false;
        it = m_targets.emplace(report.target, TargetState()).first;
    }
    Time statedAt = now - report.age;
    if (statedAt <= it->second.statedAt)
        return false;
    it->second.statedAt = statedAt;
    return apply(report.target, it->second, report.perSecond, now);
}

std::vector<RateLimitReport> RateLimits::own(Time now) const
{
    std::vector<RateLimitReport> reports;
    for (std::pair<std::uint64_t const, TargetState> const& it : m_targets) {
        Time statedAt = it.second.statedHereAt;
        if (statedAt != Time() && statedAt == it.second.statedAt && now - statedAt < reportLifetime)
            reports.push_back({ it.first, it.second.perSecond, std::chrono::ceil<std::chrono::milliseconds>(now - statedAt) });
    }
    return reports;
}

std::optional<double> RateLimits::limitOf(std::uint64_t target) const
{
    std::map<std::uint64_t, TargetState>::const_iterator it = m_targets.find(target);
    return it == m_targets.end() ? std::nullopt : it->second.perSecond;
}

std::map<std::uint64_t, RateLimitStatus> RateLimits::limits() const
{
    std::map<std::uint64_t, RateLimitStatus> limits;
    for (std::pair<std::uint64_t const, TargetState> const& it : m_targets) {
        if (it.second.perSecond)
            limits.emplace(it.first, RateLimitStatus { *it.second.perSecond, it.second.share });
    }
    return limits;
}

double RateLimits::tokensAt(TargetState const& state, Time now) const
{
    double elapsed = std::max(0.0, std::chrono::duration<double>(now - state.refilledAt).count());
    return std::min(burstOf(state.share), state.tokens + elapsed * state.share);
}

void RateLimits::refill(TargetState& state, double tokens, Time now)
{
    state.tokens = tokens;
    state.refilledAt = now;
}

RateLimits::Time RateLimits::opensAt(std::uint64_t target, Time now) const
{
    std::map<std::uint64_t, TargetState>::const_iterator it = m_targets.find(target);
    if (it == m_targets.end() || !it->second.perSecond)
        return now;
    if (it->second.share <= 0)
        return never;
    double missing = 1 - tokensAt(it->second, now);
    return missing <= 0 ? now : now + secondsToDuration(missing / it->second.share);
}

RateLimits::Admission RateLimits::take(std::uint64_t target, Time now)
{
    std::map<std::uint64_t, TargetState>::iterator it = m_targets.find(target);
    if (it == m_targets.end() || !it->second.perSecond)
        return Admission::Unlimited;
    if (opensAt(target, now) > now)
        return Admission::Exhausted;
    refill(it->second, tokensAt(it->second, now) - 1, now);
    return Admission::Taken;
}

void RateLimits::giveBack(std::uint64_t target)
{
    std::map<std::uint64_t, TargetState>::iterator it = m_targets.find(target);
    if (it != m_targets.end())
        it->second.tokens += 1;
}

void RateLimits::book(std::uint64_t target, Time now)
{
    TargetState& state = m_targets.at(target);
    state.bookings.push_back(opensAt(target, now));
    refill(state, tokensAt(state, now) - 1, now);
}

std::optional<RateLimits::Time> RateLimits::nextBooking(std::uint64_t target) const
{
    std::map<std::uint64_t, TargetState>::const_iterator it = m_targets.find(target);
    if (it == m_targets.end() || it->second.bookings.empty())
        return std::nullopt;
    return it->second.bookings.front();
}

void RateLimits::useBooking(std::uint64_t target)
{
    m_targets.at(target).bookings.pop_front();
}

void RateLimits::cancelBooking(std::uint64_t target)
{
    std::map<std::uint64_t, TargetState>::iterator it = m_targets.find(target);
    if (it == m_targets.end() || it->second.bookings.empty())
        return;
    it->second.bookings.pop_back();
    it->second.tokens += 1;
}

void RateLimits::keepListed(std::set<std::uint64_t> const& listed, Time now)
{
    for (std::pair<std::uint64_t const, TargetState>& it : m_targets) {
        if (listed.contains(it.first))
            it.second.unlistedSince.reset();
        else
            it.second.unlistedSince = it.second.unlistedSince.value_or(now);
    }
    std::erase_if(m_targets, [&](std::pair<std::uint64_t const, TargetState> const& it) { return it.second.unlistedSince && now - *it.second.unlistedSince > unlistedRetention; });
}

}
