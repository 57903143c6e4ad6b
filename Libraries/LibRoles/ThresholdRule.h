#pragma once

#include <LibRoles/Settings.h>

namespace Roles {

/// Decides which side needs another engine, with a ratio of utilisations and a minimum duration as hysteresis.
/// Not thread-safe: each planner has its own.
class ThresholdRule {
public:
    ThresholdRule(double ratio, double sustainSeconds, EngineRates const&);

    /// Returns +1 if an engine should move to prefill, -1 if one should move away from it, 0 otherwise.
    int decide(Demand const&, Split const&, double seconds);

private:
    double m_ratio;
    double m_sustainSeconds;
    EngineRates m_rates;
    int m_side { 0 };
    double m_sideSeconds { 0 };
};

}
