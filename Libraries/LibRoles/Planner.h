#pragma once

#include <LibCore/Result.h>
#include <LibRoles/Settings.h>
#include <LibRoles/ThresholdRule.h>

namespace Roles {

/// Decides which engines change role. The holder of a lease calls it once per window with what it knows,
/// and makes the changes that it returns. It keeps estimates of the mix between calls, and nothing else.
/// Whatever the policy: a change never leaves the roles that selectors allow, never touches an engine
/// that is not serving, and never takes more engines out of service than the bound, or the last that serve.
/// Not thread-safe: it belongs to the control thread. See docs/design/roles.md.
class Planner {
public:
    /// Creates a planner. Fails with `BadInput` when a setting is out of its range.
    static Core::Result<Planner> create(Settings);

    /// Takes in a window and returns the changes to make now, most useful first; mostly none.
    /// Precondition: view.windowSeconds > 0.
    std::vector<RoleChange> plan(FleetView const&);

    /// The estimates that the last plan was made from, for logs and metrics.
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

/// Chooses the engines for a number of moves to prefill (above 0) or away from it (below 0): the cheapest
/// first, as many as the bounds of the settings allow. Thread-safe.
std::vector<RoleChange> chooseEngines(FleetView const&, int moves, Settings const&, double gain);

/// Counts the engines that serve, or will serve after their change, in each role. Thread-safe.
Split splitOf(std::vector<EngineView> const&);

}
