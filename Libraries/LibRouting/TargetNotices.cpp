#include <LibRouting/TargetNotices.h>
#include <algorithm>

namespace Routing {

namespace {

// An erroneous notice must not close a target forever.
constexpr std::chrono::milliseconds longestPause = std::chrono::hours(1);
// Longer than a typical store outage, after which a target that dropped off the list is listed again.
constexpr std::chrono::seconds keepUnlisted { 60 };

}

bool TargetNotices::note(std::uint64_t target, TargetNotice const& notice, Time now)
{
    if (!notice.isLeaving && !notice.pause)
        return false;
    Said& said = m_said[target];
    bool isNew = notice.isLeaving && !said.isLeaving;
    said.isLeaving = said.isLeaving || notice.isLeaving;
    if (notice.pause)
        said.pausedUntil = std::max(said.pausedUntil, now + std::min(*notice.pause, longestPause));
    return isNew;
}

bool TargetNotices::isClosed(std::uint64_t target, Time now) const
{
    std::map<std::uint64_t, Said>::const_iterator it = m_said.find(target);
    return it != m_said.end() && (it->second.isLeaving || now < it->second.pausedUntil);
}

std::optional<TargetNotices::Time> TargetNotices::opensAt(std::uint64_t target, Time now) const
{
    std::map<std::uint64_t, Said>::const_iterator it = m_said.find(target);
    if (it == m_said.end() || it->second.isLeaving || now >= it->second.pausedUntil)
        return std::nullopt;
    return it->second.pausedUntil;
}

void TargetNotices::keepListed(std::set<std::uint64_t> const& listed, Time now)
{
    for (std::pair<std::uint64_t const, Said>& it : m_said) {
        if (listed.contains(it.first))
            it.second.unlistedSince.reset();
        else
            it.second.unlistedSince = it.second.unlistedSince.value_or(now);
    }
    std::erase_if(m_said, [&](std::pair<std::uint64_t const, Said> const& it) { return it.second.unlistedSince && now - *it.second.unlistedSince > keepUnlisted; });
}

}
