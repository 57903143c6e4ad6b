#include <LibAdmission/RateEstimate.h>
#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

constexpr double timeConstantSeconds = 10;
constexpr double minimumSeconds = 0.1;
constexpr double longestWaitMs = 3'600'000;

}

void RateEstimate::note(std::uint64_t tokens, bool wasWaiting, TimePoint now)
{
    double elapsed = m_notedAt ? std::max(0.0, std::chrono::duration<double>(now - *m_notedAt).count()) : 0;
    bool hasSpan = m_notedAt.has_value() && wasWaiting;
    m_notedAt = now;
    if (!hasSpan)
        return;
    double kept = std::exp(-elapsed / timeConstantSeconds);
    m_tokens = m_tokens * kept + static_cast<double>(tokens);
    m_seconds = m_seconds * kept + elapsed;
}

std::optional<double> RateEstimate::tokensPerSecond() const
{
    if (m_seconds < minimumSeconds)
        return std::nullopt;
    return m_tokens / m_seconds;
}

std::chrono::milliseconds RateEstimate::timeFor(double tokens) const
{
    std::optional<double> rate = tokensPerSecond();
    if (!rate)
        return std::chrono::milliseconds(0);
    double ms = *rate > 0 ? tokens / *rate * 1000 : longestWaitMs;
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(ms, longestWaitMs)));
}

}
