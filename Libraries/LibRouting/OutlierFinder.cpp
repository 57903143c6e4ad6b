#include <LibRouting/OutlierFinder.h>
#include <algorithm>
#include <cmath>
#include <set>

namespace Routing {

namespace {

constexpr std::uint32_t maxDoublings = 8;

// Returns how far the failure rate bad / all exceeds that of the others, in standard deviations of the difference.
double deviations(double bad, double all, double otherBad, double otherAll)
{
    if (all <= 0 || otherAll <= 0)
        return 0;
    double pooled = (bad + otherBad) / (all + otherAll);
    double deviation = std::sqrt(pooled * (1 - pooled) * (1 / all + 1 / otherAll));
    return deviation > 0 ? (bad / all - otherBad / otherAll) / deviation : 0;
}

}

void OutlierFinder::note(std::uint64_t target, bool isGood, Time now)
{
    OutcomeCounts counts { target, isGood ? 1U : 0U, isGood ? 0U : 1U };
    add(counts, now);
    OutcomeCounts& unreported = m_unreported[target];
    unreported.target = target;
    unreported.good += counts.good;
    unreported.bad += counts.bad;
}

std::vector<OutcomeCounts> OutlierFinder::takeUnreported()
{
    std::vector<OutcomeCounts> unreported;
    for (std::pair<std::uint64_t const, OutcomeCounts> const& it : m_unreported)
        unreported.push_back(it.second);
    m_unreported.clear();
    return unreported;
}

void OutlierFinder::merge(std::vector<OutcomeCounts> const& counts, Time now)
{
    for (OutcomeCounts const& it : counts)
        add(it, now);
}

void OutlierFinder::setGroups(std::vector<std::vector<std::uint64_t>> groups)
{
    m_groups = std::move(groups);
    std::set<std::uint64_t> listed;
    for (std::vector<std::uint64_t> const& group : m_groups)
        listed.insert(group.begin(), group.end());
    std::erase_if(m_targets, [&listed](std::pair<std::uint64_t const, TargetState> const& it) { return !listed.contains(it.first); });
}

void OutlierFinder::add(OutcomeCounts const& counts, Time now)
{
    std::int64_t number = slotNumber(now);
    Slot& slot = m_targets[counts.target].window[static_cast<std::size_t>(number) % slots];
    if (slot.number != number)
        slot = { number, 0, 0 };
    slot.good += counts.good;
    slot.bad += counts.bad;
}

OutcomeCounts OutlierFinder::sum(std::uint64_t target, Time now) const
{
    OutcomeCounts counts { target, 0, 0 };
    std::unordered_map<std::uint64_t, TargetState>::const_iterator state = m_targets.find(target);
    if (state == m_targets.end())
        return counts;
    std::int64_t oldest = slotNumber(now) - static_cast<std::int64_t>(slots);
    for (Slot const& slot : state->second.window) {
        counts.good += slot.number > oldest ? slot.good : 0;
        counts.bad += slot.number > oldest ? slot.bad : 0;
    }
    return counts;
}

std::vector<OutcomeCounts> OutlierFinder::update(Time now)
{
    std::vector<OutcomeCounts> found;
    for (std::vector<std::uint64_t> const& group : m_groups) {
        std::vector<OutcomeCounts> counts;
        double bad = 0;
        double all = 0;
        std::size_t ejected = 0;
        for (std::uint64_t target : group) {
            counts.push_back(sum(target, now));
            bad += counts.back().bad;
            all += counts.back().bad + counts.back().good;
            ejected += isOutlier(target, now) ? 1 : 0;
        }
        auto most = static_cast<std::size_t>(static_cast<double>(group.size()) * m_settings.maxEjectedShare);
        // Worst first, since the number of ejected targets is limited.
        std::sort(counts.begin(), counts.end(), [](OutcomeCounts const& a, OutcomeCounts const& b) { return a.bad > b.bad; });
        for (OutcomeCounts const& it : counts) {
            double own = it.bad + static_cast<double>(it.good);
            bool isBad = it.bad >= m_settings.minFailures && it.bad >= own * m_settings.minFailureShare && deviations(it.bad, own, bad - it.bad, all - own) >= m_settings.deviations;
            if (!isBad || ejected >= most || isOutlier(it.target, now))
                continue;
            eject(m_targets[it.target], now);
            ++ejected;
            found.push_back(it);
        }
    }
    return found;
}

void OutlierFinder::eject(TargetState& state, Time now) const
{
    if (now - state.ejectedUntil > m_settings.resetAfter)
        state.ejections = 0;
    std::chrono::milliseconds duration = m_settings.initialEjection * (1U << std::min(state.ejections, maxDoublings));
    state.ejectedUntil = now + std::min(duration, m_settings.maxEjection);
    ++state.ejections;
    // Earlier outcomes led to this ejection and must not cause another.
    state.window = {};
}

bool OutlierFinder::isOutlier(std::uint64_t target, Time now) const
{
    std::unordered_map<std::uint64_t, TargetState>::const_iterator state = m_targets.find(target);
    return state != m_targets.end() && now < state->second.ejectedUntil;
}

}
