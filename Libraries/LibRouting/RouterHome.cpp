// Implements Policy::PromptHome for Router.

#include <LibRouting/LeastTime.h>
#include <LibRouting/RouterInternals.h>
#include <algorithm>

namespace Routing {

// Returns the estimated seconds to the request's first token, plus the cost of this choice for later requests.
double Router::homeScore(Candidate const& candidate, RequestShape const& shape, double strayShare) const
{
    double outputs = candidate.open.requests * m_settings.decodeSeconds * candidate.eventFactor;
    std::uint64_t kv = candidate.open.kvTokens + shape.promptTokens + shape.expectedOutputTokens;
    bool hasNoFreeSlot = candidate.slots != 0 && candidate.open.requests >= candidate.slots;
    bool isKvFull = candidate.load.kvCapacityTokens != 0 && kv > candidate.load.kvCapacityTokens;
    double wait = outputs + candidate.open.prefillSeconds + (isKvFull ? m_settings.kvFullPenaltySeconds : 0);
    if (hasNoFreeSlot)
        wait += (candidate.open.requests - candidate.slots + 1) * m_settings.secondsPerSlot;
    if (shape.phase == Phase::Decode || shape.phase == Phase::Whole)
        return wait + shape.wholeSeconds * candidate.eventFactor + shape.outputSeconds * (candidate.eventFactor - 1) * m_settings.slowOutputWeight + (candidate.fetchesCrossZoneKv ? m_settings.crossZoneKvSeconds : 0);
    std::uint32_t shared = std::min(shape.sharedTokens, shape.promptTokens);
    std::uint32_t cached = std::min(candidate.prefixMatchTokens, shape.promptTokens);
    double seconds = shape.promptCost.seconds(shape.promptTokens - cached, shape.promptTokens) * candidate.promptFactor;
    if (candidate.role != TargetRole::Prefill)
        return wait + seconds * m_settings.interferenceFactor;
    // The extra cost of computing the shared part; the rest has to be computed at any target.
    double sharedCost = candidate.isHome || cached >= shared ? 0 : seconds - shape.promptCost.seconds(shape.promptTokens - shared, shape.promptTokens) * candidate.promptFactor;
    return wait + seconds + sharedCost * (candidate.isSecondHome ? m_settings.secondHomeWeight : m_settings.nonHomeWeight) * strayShare;
}

// Returns how much of the weights of shared parts away from home counts. While targets are idle, a part that is computed at one more
// delays hardly anyone, but the next request may not find it there and compute it once more. A part that no target holds is computed
// somewhere anyway, and peers hear where.
double Router::strayShare(std::span<Candidate const> candidates, RequestShape const& shape) const
{
    if (!shape.placesByLoad || m_settings.nonHomeWeight <= 0)
        return 1;
    std::uint32_t shared = std::min(shape.sharedTokens, shape.promptTokens);
    bool isHeld = std::any_of(candidates.begin(), candidates.end(), [shared](Candidate const& it) { return !it.closed && it.role == TargetRole::Prefill && it.prefixMatchTokens >= shared; });
    constexpr double once = 1;
    double weight = isHeld ? m_settings.nonHomeWeight : once;
    if (isHeld && shape.promptUtilisation)
        weight = std::max(once, delayOfOthers(*shape.promptUtilisation));
    return std::min(1.0, weight / m_settings.nonHomeWeight);
}

// All daemons choose by the same stale reports: if each compares d random targets of n, the one that looks best to all
// receives d / n of the requests that peers have sent since their last reports.
std::size_t Router::comparedTargets(std::size_t candidates, RequestShape const& shape) const
{
    if (shape.unseenRequests <= 0)
        return candidates;
    double drawn = std::max(static_cast<double>(m_settings.sampleSize), m_settings.maxUnseenAtBest / shape.unseenRequests);
    return drawn > static_cast<double>(maxSampleSize) ? candidates : std::min(candidates, static_cast<std::size_t>(drawn));
}

Decision Router::decideHome(std::span<Candidate const> candidates, RequestShape const& shape, std::mt19937_64& rng) const
{
    Best best;
    double stray = strayShare(candidates, shape);
    std::size_t compared = comparedTargets(candidates.size(), shape);
    bool isSampled = compared < candidates.size();
    Sample sample;
    if (isSampled)
        sample = Sample::drawPreferred(candidates, shape.phase, compared, m_settings.preferredTargets, rng);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        // The targets that hold a shared part, or are its home, differ between prompts, so comparing them causes no herding.
        bool isCompared = !isSampled || candidates[i].isHome || candidates[i].isSecondHome || candidates[i].prefixMatchTokens > 0 || sample.contains(i);
        if (isCompared && isOpen(candidates[i], shape.phase))
            best.offer(i, homeScore(candidates[i], shape, stray) + zonePenalty(candidates[i]), rng);
    }
    // Without an open prefill target, a decode target computes the prompt as well, concurrently with its outputs.
    for (std::size_t i = 0; best.first == noPosition && shape.phase == Phase::WholeOrPrefill && i < candidates.size(); ++i) {
        if (isOpen(candidates[i], Phase::Decode))
            best.offer(i, homeScore(candidates[i], shape, stray) + zonePenalty(candidates[i]), rng);
    }
    Decision decision = finish(candidates, shape, best, Reason::EarliestToken);
    if (decision.chosen)
        decision.waitSeconds = homeScore(candidates[*decision.chosen], shape, stray);
    return decision;
}

}
