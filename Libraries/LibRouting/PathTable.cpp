#include <LibRouting/PathTable.h>
#include <algorithm>
#include <tuple>
#include <utility>

namespace Routing {

void PathTable::setTargets(std::map<std::uint64_t, std::string> services)
{
    std::erase_if(m_paths, [&](std::pair<std::uint64_t const, Path> const& it) { return !services.contains(it.first); });
    m_targets.clear();
    for (std::pair<std::uint64_t const, std::string>& it : services) {
        m_targets[it.second].push_back(it.first);
        m_paths[it.first].service = std::move(it.second);
    }
}

void PathTable::note(std::uint64_t target, PathEvidence evidence, Time now)
{
    std::unordered_map<std::uint64_t, Path>::iterator it = m_paths.find(target);
    if (it == m_paths.end())
        return;
    Path& path = it->second;
    bool isOutweighed = evidence == PathEvidence::Answered && path.isFailed && isCurrent(path, now);
    if (isOutweighed)
        return;
    path.isFailed = evidence == PathEvidence::Unreachable;
    path.notedAt = now;
}

bool PathTable::isCurrent(Path const& path, Time now) const
{
    return path.notedAt != Time() && now - path.notedAt < (path.isFailed ? m_settings.failureLifetime : m_settings.successLifetime);
}

PathCounts PathTable::counts(std::string const& service, Time now) const
{
    PathCounts counts { service, 0, 0 };
    std::map<std::string, std::vector<std::uint64_t>>::const_iterator targets = m_targets.find(service);
    if (targets == m_targets.end())
        return counts;
    for (std::uint64_t target : targets->second) {
        Path const& path = m_paths.at(target);
        if (isCurrent(path, now))
            ++(path.isFailed ? counts.failed : counts.reached);
    }
    return counts;
}

std::vector<PathCounts> PathTable::allCounts(Time now) const
{
    std::vector<PathCounts> all;
    for (std::pair<std::string const, std::vector<std::uint64_t>> const& it : m_targets) {
        PathCounts counts = this->counts(it.first, now);
        if (counts.reached + counts.failed > 0)
            all.push_back(std::move(counts));
    }
    return all;
}

double PathTable::shareOf(PathCounts const& counts)
{
    std::uint32_t tried = counts.reached + counts.failed;
    return tried == 0 ? 1 : static_cast<double>(counts.reached) / tried;
}

bool PathTable::isCutOff(PathCounts const& counts) const
{
    std::map<std::string, std::vector<std::uint64_t>>::const_iterator targets = m_targets.find(counts.service);
    std::size_t listed = targets == m_targets.end() ? m_settings.minFailed : targets->second.size();
    std::size_t needed = std::max<std::size_t>(1, std::min<std::size_t>(m_settings.minFailed, listed));
    return counts.failed >= needed && shareOf(counts) < m_settings.minShare;
}

bool PathTable::isFailed(std::uint64_t target, Time now) const
{
    std::unordered_map<std::uint64_t, Path>::const_iterator it = m_paths.find(target);
    return it != m_paths.end() && it->second.isFailed && isCurrent(it->second, now);
}

std::vector<std::uint64_t> PathTable::takeProbes(Time now)
{
    std::vector<std::uint64_t> probes;
    for (std::pair<std::string const, std::vector<std::uint64_t>> const& it : m_targets) {
        PathCounts counts = this->counts(it.first, now);
        if (counts.failed == 0 || shareOf(counts) >= m_settings.minShare)
            continue;
        std::vector<std::uint64_t> due;
        for (std::uint64_t target : it.second) {
            Path const& path = m_paths.at(target);
            bool isReached = isCurrent(path, now) && !path.isFailed;
            if (!isReached && now - path.probedAt >= m_settings.probeInterval)
                due.push_back(target);
        }
        // Failed ones first, and of these the one that was probed longest ago.
        std::sort(due.begin(), due.end(), [&](std::uint64_t a, std::uint64_t b) {
            Path const& left = m_paths.at(a);
            Path const& right = m_paths.at(b);
            return std::tuple(!isFailed(a, now), left.probedAt, a) < std::tuple(!isFailed(b, now), right.probedAt, b);
        });
        due.resize(std::min(due.size(), m_settings.probesAtOnce));
        for (std::uint64_t target : due)
            m_paths.at(target).probedAt = now;
        probes.insert(probes.end(), due.begin(), due.end());
    }
    return probes;
}

}
