#include <LibRouting/TargetHealth.h>
#include <algorithm>

namespace Routing {

namespace {

constexpr std::uint32_t mostDoublings = 8;

}

void TargetHealth::note(std::uint64_t target, TargetOutcome outcome, Time now)
{
    bool isReachable = outcome == TargetOutcome::Answered || outcome == TargetOutcome::Failed || outcome == TargetOutcome::Refused;
    if (isReachable) {
        std::unordered_map<std::uint64_t, Failing>::iterator it = m_failing.find(target);
        if (it != m_failing.end() && !it->second.isReplaced)
            m_failing.erase(it);
        return;
    }
    Failing& failing = m_failing[target];
    if (outcome == TargetOutcome::Replaced)
        failing.isReplaced = true;
    if (outcome == TargetOutcome::Broken && ++failing.brokenInARow < m_settings.brokenInARow)
        return;
    // Concurrent requests fail together; count them once.
    if (now < failing.closedUntil)
        return;
    std::chrono::milliseconds closing = m_settings.firstClosing * (1U << std::min(failing.failures, mostDoublings));
    failing.closedUntil = now + std::min(closing, m_settings.longestClosing);
    ++failing.failures;
}

bool TargetHealth::isClosed(std::uint64_t target, Time now) const
{
    std::unordered_map<std::uint64_t, Failing>::const_iterator it = m_failing.find(target);
    return it != m_failing.end() && (it->second.isReplaced || now < it->second.closedUntil);
}

std::vector<std::uint64_t> TargetHealth::suspects(Time now) const
{
    std::vector<std::uint64_t> targets;
    for (std::pair<std::uint64_t const, Failing> const& it : m_failing) {
        // A target stays suspected for a short time after it reopens, unless a send to it succeeds.
        bool isRecent = it.second.failures > 0 && now < it.second.closedUntil + m_settings.firstClosing;
        if (isRecent || it.second.isReplaced)
            targets.push_back(it.first);
    }
    return targets;
}

}
