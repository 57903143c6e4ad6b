#include <LibRouting/TargetNotices.h>
#include <algorithm>

namespace Routing {

namespace {

// An erroneous notice must not close a target forever.
constexpr std::chrono::milliseconds maxPause = std::chrono::hours(1);
// Longer than a typical store outage, after which a target that dropped off the list is listed again.
constexpr std::chrono::seconds unlistedRetention { 60 };

}

bool TargetNotices::note(std::uint64_t target, TargetNotice const& notice, Time now)
{
    if (!notice.isLeaving && !notice.pause)
        return false;
    TargetState& state = m_targets[target];
    bool isNew = notice.isLeaving && !state.isLeaving;
    state.isLeaving = state.isLeaving || notice.isLeaving;
    if (notice.pause)
        state.pausedUntil = std::max(state.pausedUntil, now + std::min(*notice.pause, maxPause));
    return isNew;
}

bool TargetNotices::isClosed(std::uint64_t target, Time now) const
{
    std::map<std::uint64_t, TargetState>::const_iterator it = m_targets.find(target);
    return it != m_targets.end() && (it->second.isLeaving || now < it->second.pausedUntil);
}

std::optional<TargetNotices::Time> TargetNotices::opensAt(std::uint64_t target, Time now) const
{
    std::map<std::uint64_t, TargetState>::const_iterator it = m_targets.find(target);
    if (it == m_targets.end() || it->second.isLeaving || now >= it->second.pausedUntil)
        return std::nullopt;
    return it->second.pausedUntil;
}

void TargetNotices::keepListed(std::set<std::uint64_t> const& listed, Time now)
{
    for (std::pair<std::uint64_t const, TargetState>& it : m_targets) {
        if (listed.contains(it.first))
            it.second.unlistedSince.reset();
        else
            it.second.unlistedSince = it.second.unlistedSince.value_or(now);
    }
    std::erase_if(m_targets, [&](std::pair<std::uint64_t const, TargetState> const& it) { return it.second.unlistedSince && now - *it.second.unlistedSince > unlistedRetention; });
}

}
