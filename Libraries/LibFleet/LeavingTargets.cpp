#include <LibFleet/LeavingTargets.h>

namespace Fleet {

namespace {

// Longer than a store outage plus the time a delisted target takes to reappear in the list.
constexpr std::chrono::seconds keepUnlisted { 60 };

}

bool LeavingTargets::noteOwn(std::uint64_t target)
{
    Known& known = m_targets[target];
    bool isNews = !known.isOwn;
    known.isOwn = true;
    return isNews;
}

bool LeavingTargets::hear(std::vector<std::uint64_t> const& targets)
{
    bool isNews = false;
    for (std::uint64_t target : targets)
        isNews = m_targets.try_emplace(target).second || isNews;
    return isNews;
}

std::vector<std::uint64_t> LeavingTargets::own() const
{
    std::vector<std::uint64_t> targets;
    for (std::pair<std::uint64_t const, Known> const& it : m_targets) {
        if (it.second.isOwn && !it.second.unlistedSince)
            targets.push_back(it.first);
    }
    return targets;
}

void LeavingTargets::keepListed(std::set<std::uint64_t> const& listed, Time now)
{
    for (std::pair<std::uint64_t const, Known>& it : m_targets) {
        if (listed.contains(it.first))
            it.second.unlistedSince.reset();
        else
            it.second.unlistedSince = it.second.unlistedSince.value_or(now);
    }
    std::erase_if(m_targets, [&](std::pair<std::uint64_t const, Known> const& it) { return it.second.unlistedSince && now - *it.second.unlistedSince > keepUnlisted; });
}

}
