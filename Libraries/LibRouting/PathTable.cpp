#include <LibRouting/PathTable.h>
#include <algorithm>
#include <tuple>
#include <utility>

namespace Routing {

void PathTable::setTargets(std::map<std::uint64_t, std::string> const& services)
{
    std::map<std::string, Service> former = std::exchange(m_services, {});
    m_serviceOf.clear();
    for (std::pair<std::uint64_t const, std::string> const& it : services) {
        m_serviceOf.emplace(it.first, it.second);
        Service& service = m_services[it.second];
        service.targets.push_back(it.first);
        Paths& before = former[it.second].paths;
        Paths::const_iterator path = before.find(it.first);
        if (path != before.end())
            service.paths.insert(*path);
    }
}

void PathTable::note(std::uint64_t target, PathEvidence evidence, Time now)
{
    std::unordered_map<std::uint64_t, std::string>::const_iterator name = m_serviceOf.find(target);
    if (name == m_serviceOf.end())
        return;
    Paths& paths = m_services.at(name->second).paths;
    std::erase_if(paths, [&](Paths::value_type const& it) { return it.second.notedAt != Time() && !isCurrent(it.second, now); });
    Path& path = paths[target];
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

PathCounts PathTable::counts(std::string const& name, Service const& service, Time now) const
{
    PathCounts counts { name, 0, 0 };
    for (Paths::value_type const& it : service.paths) {
        if (isCurrent(it.second, now))
            ++(it.second.isFailed ? counts.failed : counts.reached);
    }
    return counts;
}

PathCounts PathTable::counts(std::string const& service, Time now) const
{
    std::map<std::string, Service>::const_iterator it = m_services.find(service);
    return it == m_services.end() ? PathCounts { service, 0, 0 } : counts(service, it->second, now);
}

std::vector<PathCounts> PathTable::allCounts(Time now) const
{
    std::vector<PathCounts> all;
    for (std::pair<std::string const, Service> const& it : m_services) {
        PathCounts counts = this->counts(it.first, it.second, now);
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
    std::map<std::string, Service>::const_iterator service = m_services.find(counts.service);
    std::size_t listed = service == m_services.end() ? m_settings.minFailed : service->second.targets.size();
    std::size_t needed = std::max<std::size_t>(1, std::min<std::size_t>(m_settings.minFailed, listed));
    return counts.failed >= needed && shareOf(counts) < m_settings.minShare;
}

bool PathTable::isFailed(std::uint64_t target, Time now) const
{
    std::optional<Path> path = find(target);
    return path && path->isFailed && isCurrent(*path, now);
}

bool PathTable::isReached(std::uint64_t target, Time now) const
{
    std::optional<Path> path = find(target);
    return path && !path->isFailed && isCurrent(*path, now);
}

std::optional<PathTable::Path> PathTable::find(std::uint64_t target) const
{
    std::unordered_map<std::uint64_t, std::string>::const_iterator name = m_serviceOf.find(target);
    if (name == m_serviceOf.end())
        return std::nullopt;
    Paths const& paths = m_services.at(name->second).paths;
    Paths::const_iterator path = paths.find(target);
    return path == paths.end() ? std::nullopt : std::optional(path->second);
}

bool PathTable::hasFailures() const
{
    return std::any_of(m_services.begin(), m_services.end(), [](std::pair<std::string const, Service> const& it) {
        return std::any_of(it.second.paths.begin(), it.second.paths.end(), [](Paths::value_type const& path) { return path.second.isFailed; });
    });
}

std::vector<std::uint64_t> PathTable::takeProbes(Time now)
{
    std::vector<std::uint64_t> probes;
    for (std::pair<std::string const, Service>& it : m_services) {
        PathCounts counts = this->counts(it.first, it.second, now);
        if (counts.failed == 0 || shareOf(counts) >= m_settings.minShare)
            continue;
        Paths& paths = it.second.paths;
        std::vector<std::tuple<bool, Time, std::uint64_t>> due; // Failed ones first, and of these the one probed longest ago.
        for (std::uint64_t target : it.second.targets) {
            Paths::const_iterator found = paths.find(target);
            Path path = found == paths.end() ? Path() : found->second;
            bool isReached = isCurrent(path, now) && !path.isFailed;
            if (!isReached && now - path.probedAt >= m_settings.probeInterval)
                due.emplace_back(!(isCurrent(path, now) && path.isFailed), path.probedAt, target);
        }
        std::size_t n = std::min(due.size(), m_settings.probesAtOnce);
        std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(n), due.end());
        for (std::size_t i = 0; i < n; ++i) {
            paths[std::get<std::uint64_t>(due[i])].probedAt = now;
            probes.push_back(std::get<std::uint64_t>(due[i]));
        }
    }
    return probes;
}

}
