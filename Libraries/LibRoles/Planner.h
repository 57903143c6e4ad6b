#pragma once

#include <LibCore/Result.h>
#include <LibRoles/Settings.h>
#include <LibRoles/ThresholdRule.h>

namespace Roles {

/// Decides which engines change their role. The lease holder calls it once per window with the state of
/// the fleet and executes the returned changes. Its only state between calls is the estimates of the mix.
/// Under every policy, only serving engines change, only to roles that selectors allow, and never more at
/// once than `maxChanging` permits or so many that a role loses its minimum of serving engines.
/// Not thread-safe: used on the control thread. See docs/design/roles.md.
class Planner {
public:
    /// Creates a planner. Fails with `BadInput` if a setting is out of range.
    static Core::Result<Planner> create(Settings);

    /// Adds a window and returns the changes to make now, the cheapest engine first; usually none.
    /// Precondition: view.windowSeconds > 0.
    std::vector<RoleChange> plan(FleetView const&);

    /// Returns the estimates used by the last plan, for logs and metrics.
    MixEstimator const& mix() const { return m_mix; }

private:
    explicit Planner(Settings const&);

    int bestMoves(FleetView const&, Split const&, double& gain) const;
    double requestsOverHorizon(Split const&) const;
    double bestPrefillOnAverage(double engines) const;

    Settings m_settings;
    MixEstimator m_mix;
    ThresholdRule m_threshold;
};

/// Selects engines to move to prefill (moves > 0) or away from it (moves < 0): the cheapest first, as many
/// as the limits in the settings allow. Thread-safe.
std::vector<RoleChange> chooseEngines(FleetView const&, int moves, Settings const&, double gain);

/// Counts the engines in each role that serve now or after their current change. Thread-safe.
Split splitOf(std::vector<EngineView> const&);

}
