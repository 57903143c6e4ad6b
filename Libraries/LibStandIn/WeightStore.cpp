#include <LibStandIn/WeightStore.h>

namespace StandIn {

using std::chrono::milliseconds;

WeightStore::WeightStore(std::uint64_t loadsPerMinute)
    : m_loadsPerMinute(loadsPerMinute)
{
}

std::optional<milliseconds> WeightStore::request(Time now)
{
    constexpr std::chrono::minutes window { 1 };
    while (!m_recent.empty() && m_recent.front() + window <= now)
        m_recent.pop_front();
    if (m_recent.size() < m_loadsPerMinute) {
        m_recent.push_back(now);
        ++m_granted;
        return std::nullopt;
    }
    ++m_refused;
    return std::chrono::ceil<milliseconds>(m_recent.front() + window - now);
}

}
