#include <LibFleet/ChangingTargets.h>
#include <algorithm>

namespace Fleet {

bool ChangingTargets::hear(std::string const& peer, std::vector<std::uint64_t> const& targets, Time now, std::chrono::milliseconds lifetime)
{
    std::size_t ended = std::erase_if(m_targets, [&](std::pair<std::uint64_t const, Change> const& it) {
        return it.second.peer == peer && std::find(targets.begin(), targets.end(), it.first) == targets.end();
    });
    bool isChanged = ended > 0;
    for (std::uint64_t target : targets)
        isChanged = m_targets.insert_or_assign(target, Change { peer, now + lifetime }).second || isChanged;
    return isChanged;
}

bool ChangingTargets::expire(Time now)
{
    return std::erase_if(m_targets, [now](std::pair<std::uint64_t const, Change> const& it) { return now >= it.second.until; }) > 0;
}

}
