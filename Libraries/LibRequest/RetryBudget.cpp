#include <LibRequest/RetryBudget.h>
#include <algorithm>

namespace Request {

RetryBudget::RetryBudget(Settings settings, TimePoint refillStart)
    : m_settings(settings)
    , m_tokens(settings.startsEmpty ? 0 : settings.burst)
    , m_refilledAt(refillStart)
{
}

void RetryBudget::change(Settings settings)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_settings = settings;
    m_tokens = std::min(m_tokens, settings.burst);
}

void RetryBudget::earn()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_tokens = std::min(m_settings.burst, m_tokens + m_settings.ratio);
}

bool RetryBudget::take(TimePoint now, std::uint32_t n)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_refilledAt == TimePoint())
        m_refilledAt = now;
    if (now > m_refilledAt) {
        double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
        m_tokens = std::min(m_settings.burst, m_tokens + seconds * m_settings.floorPerSecond);
        m_refilledAt = now;
    }
    // Floating-point sums of tenths fall slightly short of whole numbers.
    constexpr double tolerance = 1e-6;
    if (m_tokens + tolerance < n)
        return false;
    m_tokens -= n;
    return true;
}

}
