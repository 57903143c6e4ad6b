#include <LibAuthority/TokenBucket.h>
#include <algorithm>
#include <cassert>

namespace Authority {

namespace {

constexpr double secondsPerMinute = 60;
/// Prevents a rounding error from withholding a token that is due.
constexpr double roundingSlack = 1e-9;

}

TokenBucket::TokenBucket(double perMinute, double burst, Time now)
    : m_perMinute(perMinute)
    , m_burst(burst)
    , m_tokens(burst)
    , m_refilledAt(now)
{
    assert(perMinute >= 0 && burst >= 1);
}

bool TokenBucket::tryConsume(Time now)
{
    refill(now);
    if (m_tokens < 1 - roundingSlack)
        return false;
    m_tokens = std::max(0.0, m_tokens - 1);
    return true;
}

void TokenBucket::refund(Time now)
{
    refill(now);
    m_tokens = std::min(m_burst, m_tokens + 1);
}

void TokenBucket::setRate(double perMinute, Time now)
{
    refill(now);
    m_perMinute = perMinute;
}

Duration TokenBucket::untilNext(Time now) const
{
    double missing = 1 - tokensAt(now);
    if (missing <= roundingSlack)
        return Duration::zero();
    if (m_perMinute <= 0)
        return Duration::max();
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing * secondsPerMinute / m_perMinute));
}

double TokenBucket::tokensAt(Time now) const
{
    std::chrono::duration<double> passed = std::max(now - m_refilledAt, Duration::zero());
    return std::min(m_burst, m_tokens + passed.count() * m_perMinute / secondsPerMinute);
}

void TokenBucket::refill(Time now)
{
    m_tokens = tokensAt(now);
    m_refilledAt = std::max(m_refilledAt, now);
}

double loadBudgetShare(double perMinute, std::size_t poolEngines, std::size_t allEngines)
{
    return allEngines == 0 ? 0 : perMinute * static_cast<double>(poolEngines) / static_cast<double>(allEngines);
}

}
