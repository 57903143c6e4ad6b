#include <LibRouting/RouterInternals.h>
#include <algorithm>
#include <array>

namespace Routing {

bool takes(TargetRole role, Phase phase)
{
    switch (phase) {
    case Phase::Whole:
        return role == TargetRole::Mixed;
    case Phase::Prefill:
        return role == TargetRole::Prefill;
    case Phase::Decode:
        return role != TargetRole::Prefill;
    case Phase::WholeOrPrefill:
        return role != TargetRole::Decode;
    }
    return false;
}

double pendingOutputs(std::span<Candidate const> candidates)
{
    double requests = 0;
    double targets = 0;
    for (Candidate const& it : candidates) {
        if (it.role == TargetRole::Prefill)
            requests += std::max(0.0, static_cast<double>(it.load.running) + it.load.waiting + it.load.requestsSince);
        else
            targets += it.closed ? 0 : 1;
    }
    return targets > 0 ? requests / targets : 0;
}

Core::Result<Router> Router::create(Settings settings)
{
    if (settings.sampleSize < 2 || settings.sampleSize > maxSampleSize)
        return Core::fail(Core::ErrorCode::BadInput, "The sample size must be between 2 and 64.");
    if (settings.wideSampleSize < 2 || settings.wideSampleSize > maxSampleSize)
        return Core::fail(Core::ErrorCode::BadInput, "The wide sample size must be between 2 and 64.");
    std::array<double, 12> seconds { settings.interferenceTokensPerPrompt / 3600, settings.interferenceOverloadSeconds, settings.interferenceSecondsPerPromptToken, settings.transferSecondsPerPromptToken, settings.zonePenaltySeconds[0], settings.zonePenaltySeconds[1], settings.zonePenaltySeconds[2],
        settings.secondsPerPromptToken, settings.secondsPerRequest, settings.kvFullPenaltySeconds, settings.secondsPerSlot, settings.imbalanceSeconds };
    for (double n : seconds) {
        if (!(n >= 0) || n > 3600)
            return Core::fail(Core::ErrorCode::BadInput, "Penalties and rates of a router must be between 0 and 3600 seconds.");
    }
    if (!(settings.interferenceTokensPerSecond > 0) || !(settings.interferenceWindowSeconds > 0))
        return Core::fail(Core::ErrorCode::BadInput, "The rate and window of prompts that interfere with running requests must be above 0.");
    return Router(settings);
}

double Router::zonePenalty(Candidate const& candidate) const
{
    return m_settings.zonePenaltySeconds[static_cast<std::size_t>(candidate.distance)];
}

double Router::prefillSeconds(Candidate const& candidate, RequestShape const& shape) const
{
    if (shape.phase == Phase::Decode)
        return 0;
    std::uint32_t cached = std::min(candidate.prefixMatchTokens, shape.promptTokens);
    return (shape.promptTokens - cached) * m_settings.secondsPerPromptToken;
}

double Router::interferenceSeconds(Candidate const& candidate, RequestShape const& shape, bool isCorrected) const
{
    std::uint32_t tokens = shape.promptTokens - std::min(candidate.prefixMatchTokens, shape.promptTokens);
    double seconds = tokens * m_settings.interferenceSecondsPerPromptToken;
    if (!isCorrected)
        return seconds;
    Load const& load = candidate.load;
    double rate = load.promptTokensPerSecond + load.promptsPerSecond * m_settings.interferenceTokensPerPrompt
        + (tokens + m_settings.interferenceTokensPerPrompt) / m_settings.interferenceWindowSeconds;
    return seconds + std::max(0.0, rate / m_settings.interferenceTokensPerSecond - 1) * m_settings.interferenceOverloadSeconds;
}

double Router::waitSeconds(Candidate const& candidate, RequestShape const& shape, bool isCorrected) const
{
    Load const& load = candidate.load;
    double requests = load.running + static_cast<double>(load.waiting);
    double tokens = load.waitingPromptTokens;
    double kv = load.kvUsedTokens;
    if (isCorrected) {
        requests = std::max(0.0, requests + load.requestsSince);
        tokens = std::max(0.0, tokens + load.promptTokensSince);
        kv += std::max(0, load.promptTokensSince);
    }
    double wait = requests * m_settings.secondsPerRequest;
    if (shape.phase != Phase::Decode)
        wait += tokens * m_settings.secondsPerPromptToken;
    if (shape.phase != Phase::Decode && candidate.role == TargetRole::Mixed && requests > 0)
        wait += interferenceSeconds(candidate, shape, isCorrected);
    if (candidate.role == TargetRole::Prefill)
        wait += shape.promptTokens * m_settings.transferSecondsPerPromptToken;
    double slots = requests + shape.pendingOutputs;
    if (m_settings.maxRunning != 0 && candidate.role != TargetRole::Prefill && slots >= m_settings.maxRunning)
        wait += (slots - m_settings.maxRunning + 1) * m_settings.secondsPerSlot;
    if (load.kvCapacityTokens != 0 && kv + shape.promptTokens + shape.expectedOutputTokens > load.kvCapacityTokens)
        wait += m_settings.kvFullPenaltySeconds;
    return wait;
}

Decision Router::finish(std::span<Candidate const> candidates, RequestShape const& shape, Best const& best, Reason reason) const
{
    Decision decision;
    decision.considered = best.considered;
    if (best.first == noPosition) {
        auto fits = [&shape](Candidate const& it) { return takes(it.role, shape.phase); };
        bool hasFitting = std::any_of(candidates.begin(), candidates.end(), fits);
        decision.reason = candidates.empty() ? Reason::NoCandidate : hasFitting ? Reason::AllClosed
                                                                                : Reason::NoFittingRole;
        return decision;
    }
    Candidate const& chosen = candidates[best.first];
    decision.chosen = best.first;
    decision.target = chosen.target;
    decision.role = chosen.role;
    decision.reason = best.considered == 1 ? Reason::OnlyCandidate : reason;
    decision.score = best.firstScore;
    decision.waitSeconds = waitSeconds(chosen, shape, true) + prefillSeconds(chosen, shape);
    if (best.second != noPosition) {
        decision.runnerUp = best.second;
        decision.runnerUpScore = best.secondScore;
    }
    return decision;
}

Decision Router::decide(std::span<Candidate const> candidates, RequestShape const& shape, std::mt19937_64& rng) const
{
    bool isWide = candidates.size() > m_settings.scanLimit;
    switch (m_settings.policy) {
    case Policy::Random:
        return decideRandom(candidates, shape, rng);
    case Policy::LeastReported:
        return decideScan(candidates, shape, rng, false);
    case Policy::PeekTwo:
    case Policy::PeekTwoRecheck:
        return decidePair(candidates, shape, rng);
    case Policy::LeastCorrected:
        return isWide ? decideSample(candidates, shape, rng, m_settings.wideSampleSize) : decideScan(candidates, shape, rng, true);
    case Policy::PrefixAffinity:
        return decideAffinity(candidates, shape, rng);
    case Policy::PromptHome:
        return decideHome(candidates, shape, rng);
    }
    return {};
}

Decision Router::decideRandom(std::span<Candidate const> candidates, RequestShape const& shape, std::mt19937_64& rng) const
{
    // With a zone penalty, the nearer of two random candidates is chosen, or the first one if both are equally near.
    bool isNear = m_settings.zonePenaltySeconds[2] > 0;
    Sample sample = Sample::draw(candidates, shape.phase, isNear ? 2 : 1, rng);
    Best best;
    for (std::size_t i = 0; i < sample.size; ++i) {
        double score = zonePenalty(candidates[sample.positions[i]]);
        if (i == 0 || score < best.firstScore)
            best.first = sample.positions[i];
        best.firstScore = i == 0 ? score : std::min(score, best.firstScore);
        ++best.considered;
    }
    return finish(candidates, shape, best, Reason::RandomDraw);
}

Decision Router::decideScan(std::span<Candidate const> candidates, RequestShape const& shape, std::mt19937_64& rng, bool isCorrected) const
{
    Best best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (isOpen(candidates[i], shape.phase))
            best.offer(i, waitSeconds(candidates[i], shape, isCorrected) + zonePenalty(candidates[i]), rng);
    }
    return finish(candidates, shape, best, Reason::LeastLoad);
}

Decision Router::decideSample(std::span<Candidate const> candidates, RequestShape const& shape, std::mt19937_64& rng, std::size_t size) const
{
    Sample sample = Sample::draw(candidates, shape.phase, size, rng);
    Best best;
    for (std::size_t i = 0; i < sample.size; ++i) {
        Candidate const& it = candidates[sample.positions[i]];
        best.offer(sample.positions[i], waitSeconds(it, shape, true) + zonePenalty(it), rng);
    }
    return finish(candidates, shape, best, Reason::LessLoadedOfSample);
}

Decision Router::decidePair(std::span<Candidate const> candidates, RequestShape const& shape, std::mt19937_64& rng) const
{
    Sample sample = Sample::draw(candidates, shape.phase, m_settings.sampleSize, rng);
    Best best;
    for (std::size_t i = 0; i < sample.size; ++i) {
        Candidate const& it = candidates[sample.positions[i]];
        best.offer(sample.positions[i], waitSeconds(it, shape, false) + zonePenalty(it), rng);
    }
    if (m_settings.policy == Policy::PeekTwo || best.second == noPosition)
        return finish(candidates, shape, best, Reason::LessLoadedOfSample);
    // Lin's paper, section 4.3, steps (a) to (c): the winner is kept unless its corrected score is worse than the
    // reported score of the second.
    Candidate const& winner = candidates[best.first];
    double now = waitSeconds(winner, shape, true) + zonePenalty(winner);
    if (now <= best.secondScore)
        return finish(candidates, shape, best, Reason::RecheckKept);
    std::swap(best.first, best.second);
    best.firstScore = best.secondScore;
    best.secondScore = now;
    return finish(candidates, shape, best, Reason::RecheckMoved);
}

Decision Router::decideAffinity(std::span<Candidate const> candidates, RequestShape const& shape, std::mt19937_64& rng) const
{
    // Above the scan limit, only a sample and the candidates that hold a prefix are compared.
    if (candidates.size() <= m_settings.scanLimit)
        return decideAffinityAmong(candidates, shape, rng, candidates.size(), [](std::size_t i) { return i; });
    Sample sample = Sample::draw(candidates, shape.phase, m_settings.wideSampleSize, rng);
    std::array<std::size_t, 2 * maxSampleSize> positions {};
    std::size_t size = sample.size;
    std::copy_n(sample.positions.begin(), size, positions.begin());
    for (std::size_t i = 0; i < candidates.size() && size < positions.size(); ++i) {
        if (candidates[i].prefixMatchTokens > 0 && !sample.contains(i))
            positions[size++] = i;
    }
    return decideAffinityAmong(candidates, shape, rng, size, [&positions](std::size_t i) { return positions[i]; });
}

template <typename PositionOf>
Decision Router::decideAffinityAmong(std::span<Candidate const> candidates, RequestShape const& shape, std::mt19937_64& rng, std::size_t size, PositionOf const& positionOf) const
{
    Best least;
    for (std::size_t n = 0; n < size; ++n) {
        std::size_t i = positionOf(n);
        if (isOpen(candidates[i], shape.phase))
            least.offer(i, waitSeconds(candidates[i], shape, true) + zonePenalty(candidates[i]), rng);
    }
    if (least.first == noPosition)
        return finish(candidates, shape, least, Reason::LeastLoad);

    Best best;
    double bound = least.firstScore + m_settings.imbalanceSeconds;
    for (std::size_t n = 0; n < size; ++n) {
        std::size_t i = positionOf(n);
        if (!isOpen(candidates[i], shape.phase))
            continue;
        double load = waitSeconds(candidates[i], shape, true) + zonePenalty(candidates[i]);
        if (load <= bound)
            best.offer(i, load + prefillSeconds(candidates[i], shape), rng);
    }
    bool isLonger = candidates[best.first].prefixMatchTokens > candidates[least.first].prefixMatchTokens;
    best.considered = least.considered;
    return finish(candidates, shape, best, isLonger ? Reason::CachedPrefix : Reason::LeastLoad);
}

}
