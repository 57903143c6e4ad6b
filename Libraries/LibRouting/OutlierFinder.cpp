#include <LibRouting/OutlierFinder.h>
#include <algorithm>
#include <cmath>
#include <set>

namespace Routing {

namespace {

constexpr std::uint32_t mostDoublings = 8;

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
    OutcomeCounts& untold = m_untold[target];
    untold.target = target;
    untold.good += counts.good;
    untold.bad += counts.bad;
}

std::vector<OutcomeCounts> OutlierFinder::takeUntold()
{
    std::vector<OutcomeCounts> untold;
    for (std::pair<std::uint64_t const, OutcomeCounts> const& it : m_untold)
        untold.push_back(it.second);
    m_untold.clear();
    return untold;
}

void OutlierFinder::take(std::vector<OutcomeCounts> const& counts, Time now)
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
    std::erase_if(m_known, [&listed](std::pair<std::uint64_t const, Known> const& it) { return !listed.contains(it.first); });
}

void OutlierFinder::add(OutcomeCounts const& counts, Time now)
{
    std::int64_t number = slotNumber(now);
    Slot& slot = m_known[counts.target].window[static_cast<std::size_t>(number) % slots];
    if (slot.number != number)
        slot = { number, 0, 0 };
    slot.good += counts.good;
    slot.bad += counts.bad;
}

OutcomeCounts OutlierFinder::sum(std::uint64_t target, Time now) const
{
    OutcomeCounts counts { target, 0, 0 };
    std::unordered_map<std::uint64_t, Known>::const_iterator known = m_known.find(target);
    if (known == m_known.end())
        return counts;
    std::int64_t oldest = slotNumber(now) - static_cast<std::int64_t>(slots);
    for (Slot const& slot : known->second.window) {
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
        std::size_t out = 0;
        for (std::uint64_t target : group) {
            counts.push_back(sum(target, now));
            bad += counts.back().bad;
            all += counts.back().bad + counts.back().good;
            out += isOutlier(target, now) ? 1 : 0;
        }
        auto most = static_cast<std::size_t>(static_cast<double>(group.size()) * m_settings.mostOfGroup);
        // Worst first, since the number of ejected targets is limited.
        std::sort(counts.begin(), counts.end(), [](OutcomeCounts const& a, OutcomeCounts const& b) { return a.bad > b.bad; });
        for (OutcomeCounts const& it : counts) {
            double own = it.bad + static_cast<double>(it.good);
            bool isBad = it.bad >= m_settings.leastBad && it.bad >= own * m_settings.leastShare && deviations(it.bad, own, bad - it.bad, all - own) >= m_settings.deviations;
            if (!isBad || out >= most || isOutlier(it.target, now))
                continue;
            hold(m_known[it.target], now);
            ++out;
            found.push_back(it);
        }
    }
    return found;
}

void OutlierFinder::hold(Known& known, Time now) const
{
    if (now - known.outUntil > m_settings.forgiveAfter)
        known.timesOut = 0;
    std::chrono::milliseconds hold = m_settings.firstHold * (1U << std::min(known.timesOut, mostDoublings));
    known.outUntil = now + std::min(hold, m_settings.longestHold);
    ++known.timesOut;
    // Earlier outcomes led to this ejection and must not cause another.
    known.window = {};
}

bool OutlierFinder::isOutlier(std::uint64_t target, Time now) const
{
    std::unordered_map<std::uint64_t, Known>::const_iterator known = m_known.find(target);
    return known != m_known.end() && now < known->second.outUntil;
}

}
