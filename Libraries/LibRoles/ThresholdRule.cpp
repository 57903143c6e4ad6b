#include <LibRoles/ThresholdRule.h>
#include <algorithm>

namespace Roles {

ThresholdRule::ThresholdRule(double ratio, double sustainSeconds, EngineRates const& rates)
    : m_ratio(ratio)
    , m_sustainSeconds(sustainSeconds)
    , m_rates(rates)
{
}

int ThresholdRule::decide(Demand const& demand, Split const& split, double seconds)
{
    double prefillWork = (demand[0].promptTokens + demand[1].promptTokens) / m_rates.prefillTokensPerSecond;
    double outputWork = (demand[0].outputTokens + demand[1].outputTokens) / m_rates.decodeTokensPerSecond;
    // Counts an empty side as half an engine to keep the ratio finite.
    double prefill = prefillWork / std::max(0.5, split.prefill);
    double output = outputWork / std::max(0.5, split.decode + split.mixed);
    int side = prefill > m_ratio * output ? 1 : (output > m_ratio * prefill ? -1 : 0);
    m_sideSeconds = side == m_side ? m_sideSeconds + seconds : 0;
    m_side = side;
    if (side == 0 || m_sideSeconds < m_sustainSeconds)
        return 0;
    m_sideSeconds = 0;
    return side;
}

}
