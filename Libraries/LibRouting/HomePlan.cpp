#include <LibRouting/HomePlan.h>
#include <LibRouting/LeastTime.h>
#include <algorithm>
#include <unordered_set>
#include <vector>

namespace Routing {

namespace {

constexpr std::chrono::milliseconds planInterval { 500 };
// In between, the former verdict stays: small differences of what is measured do not change it.
constexpr double unevenFrom = 1.7;
constexpr double evenBelow = 1.4;
// One target at either end, or a tenth of them, may be an outlier.
constexpr std::size_t outlierDivisor = 10;

// Returns how many times as fast as the slow targets the fast ones are.
double spreadOf(std::span<HomePlan::Target const> targets)
{
    std::size_t outliers = std::max<std::size_t>(1, targets.size() / outlierDivisor);
    if (targets.size() <= 2 * outliers)
        return 1;
    std::vector<double> factors;
    for (HomePlan::Target const& it : targets)
        factors.push_back(it.factor);
    std::sort(factors.begin(), factors.end());
    return factors[factors.size() - 1 - outliers] / factors[outliers];
}

}

bool HomePlan::isDue(Time now) const
{
    return !m_plannedAt || now - *m_plannedAt >= planInterval;
}

void HomePlan::update(std::span<Target const> targets, std::optional<double> load, Time now)
{
    m_plannedAt = now;
    m_isUneven = spreadOf(targets) >= (m_isUneven ? evenBelow : unevenFrom);
    m_weights.clear();
    m_utilisation.reset();
    if (!m_isUneven)
        return;
    std::unordered_set<std::uint64_t> keys;
    std::vector<double> speeds;
    for (Target const& it : targets) {
        keys.insert(it.key);
        speeds.push_back(m_speeds.speed(it.key, it.factor));
    }
    m_speeds.keepTargets(keys);
    bool isLoadKnown = load && *load > 0;
    std::vector<double> work = leastTimeWork(speeds, isLoadKnown ? m_load.update(*load) : 0);
    double capacity = 0;
    for (std::size_t n = 0; n < targets.size(); ++n) {
        if (work[n] <= 0)
            continue;
        m_weights.emplace(targets[n].key, work[n]);
        capacity += speeds[n];
    }
    if (isLoadKnown && capacity > 0)
        m_utilisation = *load / capacity;
}

double HomePlan::weight(std::uint64_t key) const
{
    std::unordered_map<std::uint64_t, double>::const_iterator it = m_weights.find(key);
    return it == m_weights.end() ? 0 : it->second;
}

}
