#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace Membership {

/// A token bucket of bytes. Not thread-safe.
class ByteBudget {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    ByteBudget(std::size_t bytesPerSecond, std::size_t burstBytes, TimePoint now)
        : m_bytesPerSecond(static_cast<double>(bytesPerSecond))
        , m_burst(static_cast<double>(burstBytes))
        , m_available(m_burst)
        , m_updated(now)
    {
    }

    /// Refills the bucket and returns whether it holds tokens. The next message may overdraw it.
    bool canSend(TimePoint now)
    {
        double const seconds = std::chrono::duration<double>(now - m_updated).count();
        m_available = std::min(m_burst, m_available + seconds * m_bytesPerSecond);
        m_updated = now;
        return m_available > 0;
    }
    /// Deducts bytes that were sent.
    void spend(std::size_t n) { m_available -= static_cast<double>(n); }

private:
    double m_bytesPerSecond;
    double m_burst;
    double m_available;
    TimePoint m_updated;
};

}
