#pragma once

#include <LibRoles/Capacity.h>

namespace Roles {

/// Turns the entries' counts into a demand: one estimate that follows the mix within seconds, one that
/// follows its average, and how long the mix tends to stay on one side of that average.
/// Not thread-safe: it belongs to one planner.
class MixEstimator {
public:
    struct Settings {
        double fastSeconds { 8 }; ///< Time constant of the estimate that follows the mix.
        double slowSeconds { 240 }; ///< Time constant of the average.
        double band { 0.08 }; ///< How far the prefill share must be from its average to count as a new side.
        double firstPhaseSeconds { 240 }; ///< How long a phase is taken to last until some were seen.
    };

    MixEstimator(Settings const&, EngineRates const&);

    /// Takes in the counts of a window. Precondition: seconds > 0.
    void add(MixCounts const&, double seconds);

    /// The demand as it is now.
    Demand now() const;

    /// The average demand.
    Demand average() const;

    /// The prefill share of all work, now and on average.
    double shareNow() const { return share(m_fast); }
    double shareAverage() const { return share(m_slow); }

    /// Expected seconds until the mix crosses to the other side of its average.
    double remainingSeconds() const;

    /// Seconds of counts taken in so far.
    double observedSeconds() const { return m_observedSeconds; }

private:
    struct Rates {
        std::array<double, 2> requests {};
        std::array<double, 2> promptTokens {};
        double weight { 0 }; ///< Corrects the start of the exponential average.
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
