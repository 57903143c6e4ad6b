#include <LibRoles/MixEstimator.h>
#include <algorithm>
#include <cmath>

namespace Roles {

MixEstimator::MixEstimator(Settings const& settings, EngineRates const& rates)
    : m_settings(settings)
    , m_rates(rates)
    , m_meanPhaseSeconds(settings.firstPhaseSeconds)
{
}

void MixEstimator::blend(Rates& rates, MixCounts const& counts, double seconds, double constant)
{
    double kept = std::exp(-seconds / constant);
    for (std::size_t i = 0; i < counts.size(); ++i) {
        rates.requests[i] = kept * rates.requests[i] + (1 - kept) * counts[i].requests / seconds;
        rates.promptTokens[i] = kept * rates.promptTokens[i] + (1 - kept) * counts[i].promptTokens / seconds;
    }
    rates.weight = kept * rates.weight + (1 - kept);
}

void MixEstimator::add(MixCounts const& counts, double seconds)
{
    constexpr double outputsRemembered = 100;
    blend(m_fast, counts, seconds, m_settings.fastSeconds);
    blend(m_slow, counts, seconds, m_settings.slowSeconds);
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i].endedRequests <= 0)
            continue;
        double kept = std::exp(-counts[i].endedRequests / outputsRemembered);
        m_outputPerRequest[i] = kept * m_outputPerRequest[i] + (1 - kept) * counts[i].outputTokens / counts[i].endedRequests;
    }
    m_seconds += seconds;
    followPhase(seconds);
}

void MixEstimator::followPhase(double seconds)
{
    constexpr double newPhaseWeight = 0.6;
    m_phaseSeconds += seconds;
    double offset = shareNow() - shareAverage();
    int side = offset > m_settings.band ? 1 : (offset < -m_settings.band ? -1 : m_side);
    if (side == m_side)
        return;
    if (m_side != 0)
        m_meanPhaseSeconds += newPhaseWeight * (m_phaseSeconds - m_meanPhaseSeconds);
    m_side = side;
    m_phaseSeconds = 0;
}

double MixEstimator::remainingSeconds() const
{
    // A phase that has outlasted the mean says that phases are longer than thought.
    constexpr double leastShare = 0.25;
    return std::max(m_meanPhaseSeconds - m_phaseSeconds, leastShare * std::max(m_meanPhaseSeconds, m_phaseSeconds));
}

Demand MixEstimator::demand(Rates const& rates) const
{
    Demand demand;
    double weight = std::max(rates.weight, 1e-9);
    for (std::size_t i = 0; i < demand.size(); ++i) {
        double requests = rates.requests[i] / weight;
        demand[i] = { requests, rates.promptTokens[i] / weight, requests * m_outputPerRequest[i] };
    }
    return demand;
}

double MixEstimator::share(Rates const& rates) const
{
    Demand it = demand(rates);
    double prefill = (it[0].promptTokens + it[1].promptTokens) / m_rates.prefillTokensPerSecond;
    double decode = (it[0].outputTokens + it[1].outputTokens) / m_rates.decodeTokensPerSecond;
    return prefill + decode > 0 ? prefill / (prefill + decode) : 0;
}

Demand MixEstimator::now() const
{
    return demand(m_fast);
}

Demand MixEstimator::average() const
{
    return demand(m_slow);
}

}
