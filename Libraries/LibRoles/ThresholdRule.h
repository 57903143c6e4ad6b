#pragma once

#include <LibRoles/Settings.h>

namespace Roles {

/// Says which side needs an engine more: a plain rule with a factor and a time as its hysteresis.
/// Not thread-safe: it belongs to one planner.
class ThresholdRule {
public:
    ThresholdRule(double ratio, double sustainSeconds, EngineRates const&);

    /// Returns +1 when an engine should move to prefill, -1 when one should leave it, else 0.
    int decide(Demand const&, Split const&, double seconds);

private:
    double m_ratio;
    double m_sustainSeconds;
    EngineRates m_rates;
    int m_side { 0 };
    double m_sideSeconds { 0 };
};

}
