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

void MixEstimator::updateAverages(Rates& rates, MixCounts const& counts, double seconds, double timeConstant)
{
    double decay = std::exp(-seconds / timeConstant);
    for (std::size_t i = 0; i < counts.size(); ++i) {
        rates.requests[i] = decay * rates.requests[i] + (1 - decay) * counts[i].requests / seconds;
        rates.promptTokens[i] = decay * rates.promptTokens[i] + (1 - decay) * counts[i].promptTokens / seconds;
    }
    rates.weight = decay * rates.weight + (1 - decay);
}

void MixEstimator::add(MixCounts const& counts, double seconds)
{
    constexpr double outputAverageRequests = 100;
    updateAverages(m_fast, counts, seconds, m_settings.fastSeconds);
    updateAverages(m_slow, counts, seconds, m_settings.slowSeconds);
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i].endedRequests <= 0)
            continue;
        double decay = std::exp(-counts[i].endedRequests / outputAverageRequests);
        m_outputPerRequest[i] = decay * m_outputPerRequest[i] + (1 - decay) * counts[i].outputTokens / counts[i].endedRequests;
    }
    m_observedSeconds += seconds;
    trackPhase(seconds);
}

void MixEstimator::trackPhase(double seconds)
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
    // A phase that has outlasted the mean suggests that phases are longer than estimated.
    constexpr double minRemainingShare = 0.25;
    return std::max(m_meanPhaseSeconds - m_phaseSeconds, minRemainingShare * std::max(m_meanPhaseSeconds, m_phaseSeconds));
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
    Demand estimate = demand(rates);
    double prefill = (estimate[0].promptTokens + estimate[1].promptTokens) / m_rates.prefillTokensPerSecond;
    double decode = (estimate[0].outputTokens + estimate[1].outputTokens) / m_rates.decodeTokensPerSecond;
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
