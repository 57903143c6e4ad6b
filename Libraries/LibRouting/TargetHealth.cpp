#include <LibRouting/TargetHealth.h>
#include <algorithm>

namespace Routing {

namespace {

constexpr std::uint32_t maxDoublings = 8;

}

void TargetHealth::note(std::uint64_t target, TargetOutcome outcome, Time now)
{
    bool isReachable = outcome == TargetOutcome::Answered || outcome == TargetOutcome::Failed || outcome == TargetOutcome::Refused;
    if (isReachable) {
        std::unordered_map<std::uint64_t, FailureState>::iterator it = m_failures.find(target);
        if (it != m_failures.end() && !it->second.isReplaced)
            m_failures.erase(it);
        return;
    }
    FailureState& state = m_failures[target];
    if (outcome == TargetOutcome::Replaced)
        state.isReplaced = true;
    if (outcome == TargetOutcome::Broken && ++state.consecutiveBroken < m_settings.consecutiveBroken)
        return;
    // Concurrent requests fail together; count them once.
    if (now < state.closedUntil)
        return;
    std::chrono::milliseconds backoff = m_settings.initialBackoff * (1U << std::min(state.failures, maxDoublings));
    state.closedUntil = now + std::min(backoff, m_settings.maxBackoff);
    ++state.failures;
}

bool TargetHealth::isClosed(std::uint64_t target, Time now) const
{
    std::unordered_map<std::uint64_t, FailureState>::const_iterator it = m_failures.find(target);
    return it != m_failures.end() && (it->second.isReplaced || now < it->second.closedUntil);
}

std::vector<std::uint64_t> TargetHealth::suspects(Time now) const
{
    std::vector<std::uint64_t> targets;
    for (std::pair<std::uint64_t const, FailureState> const& it : m_failures) {
        // A target stays suspected for a short time after it reopens, unless a send to it succeeds.
        bool isRecent = it.second.failures > 0 && now < it.second.closedUntil + m_settings.initialBackoff;
        if (isRecent || it.second.isReplaced)
            targets.push_back(it.first);
    }
    return targets;
}

}
