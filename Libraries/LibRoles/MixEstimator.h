#pragma once

#include <LibRoles/Capacity.h>

namespace Roles {

/// Estimates the demand from the entries' counts: the current mix with a time constant of seconds, its
/// long-term average, and how long the mix usually stays above or below that average.
/// Not thread-safe: each planner has its own.
class MixEstimator {
public:
    struct Settings {
        double fastSeconds { 8 }; ///< Time constant of the current estimate.
        double slowSeconds { 240 }; ///< Time constant of the long-term average.
        double band { 0.08 }; ///< Deviation of the prefill share from its average that starts a new phase.
        double firstPhaseSeconds { 240 }; ///< Assumed phase length until phases have been observed.
    };

    MixEstimator(Settings const&, EngineRates const&);

    /// Adds the counts of a window. Precondition: seconds > 0.
    void add(MixCounts const&, double seconds);

    /// Returns the current demand.
    Demand now() const;

    /// Returns the long-term average demand.
    Demand average() const;

    /// The share of prefill in all work, currently and on average.
    double shareNow() const { return share(m_fast); }
    double shareAverage() const { return share(m_slow); }

    /// Returns the expected seconds until the mix crosses its average.
    double remainingSeconds() const;

    /// Returns the total length of all windows added.
    double observedSeconds() const { return m_observedSeconds; }

private:
    struct Rates {
        std::array<double, 2> requests {};
        std::array<double, 2> promptTokens {};
        double weight { 0 }; ///< Sum of the sample weights; corrects the initial bias of the exponential average.
    };

    static void updateAverages(Rates&, MixCounts const&, double seconds, double timeConstant);
    Demand demand(Rates const&) const;
    double share(Rates const&) const;
    void trackPhase(double seconds);

    Settings m_settings;
    EngineRates m_rates;
    Rates m_fast;
    Rates m_slow;
    std::array<double, 2> m_outputPerRequest { 300, 150 };
    double m_observedSeconds { 0 };
    double m_phaseSeconds { 0 };
    double m_meanPhaseSeconds;
    int m_side { 0 };
};

}
