#include <LibAdmission/RateEstimate.h>
#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

constexpr double timeConstantSeconds = 10;
constexpr double minObservedSeconds = 0.1;
constexpr double maxWaitMs = 3'600'000;

}

void RateEstimate::recordCompletion(std::uint64_t tokens, bool wasWaiting, TimePoint now)
{
    double elapsed = m_updatedAt ? std::max(0.0, std::chrono::duration<double>(now - *m_updatedAt).count()) : 0;
    bool hasInterval = m_updatedAt.has_value() && wasWaiting;
    m_updatedAt = now;
    if (!hasInterval)
        return;
    double decay = std::exp(-elapsed / timeConstantSeconds);
    m_tokens = m_tokens * decay + static_cast<double>(tokens);
    m_observedSeconds = m_observedSeconds * decay + elapsed;
}

std::optional<double> RateEstimate::tokensPerSecond() const
{
    if (m_observedSeconds < minObservedSeconds)
        return std::nullopt;
    return m_tokens / m_observedSeconds;
}

std::chrono::milliseconds RateEstimate::timeToProcess(double tokens) const
{
    std::optional<double> rate = tokensPerSecond();
    if (!rate)
        return std::chrono::milliseconds(0);
    double ms = *rate > 0 ? tokens / *rate * 1000 : maxWaitMs;
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(ms, maxWaitMs)));
}

}
