#include <LibFleet/ChangingTargets.h>
#include <algorithm>

namespace Fleet {

bool ChangingTargets::hear(std::string const& peer, std::vector<std::uint64_t> const& targets, std::map<std::uint64_t, Routing::TargetRole> const& roles, Time now, std::chrono::milliseconds lifetime)
{
    std::size_t ended = std::erase_if(m_targets, [&](std::pair<std::uint64_t const, Change> const& it) {
        return it.second.peer == peer && std::find(targets.begin(), targets.end(), it.first) == targets.end();
    });
    bool isChanged = ended > 0;
    for (std::uint64_t target : targets) {
        std::map<std::uint64_t, Routing::TargetRole>::const_iterator role = roles.find(target);
        Change change { peer, now + lifetime, role == roles.end() ? std::nullopt : std::optional(role->second) };
        isChanged = m_targets.insert_or_assign(target, change).second || isChanged;
    }
    return isChanged;
}

std::optional<Routing::TargetRole> ChangingTargets::roleOf(std::uint64_t target) const
{
    std::map<std::uint64_t, Change>::const_iterator it = m_targets.find(target);
    return it == m_targets.end() ? std::nullopt : it->second.role;
}

bool ChangingTargets::expire(Time now)
{
    return std::erase_if(m_targets, [now](std::pair<std::uint64_t const, Change> const& it) { return now >= it.second.until; }) > 0;
}

}
