#pragma once

#include <LibModel/Scenario.h>
#include <LibRoles/Settings.h>

namespace Model {

/// A schedule of the number of prefill engines, made with the future mix known: dynamic programming over
/// steps of time and splits, where a step is worth the requests that end in time by `Roles::Capacity` and a
/// change costs the engines that are out of service meanwhile, and its charge.
class Oracle {
public:
    struct Settings {
        double stepSeconds { 5 };
        double leadSeconds { 5 }; ///< Orders are given this much ahead of need.
        double costFactor { 1 }; ///< Multiplies the cost of a change.
        double outputRateShare { 1 }; ///< Multiplies what an engine is taken to decode: less keeps more engines for outputs.
    };

    Oracle(Scenario const&, Roles::Settings const&, Settings);

    /// Number of prefill engines that the schedule starts with.
    int first() const { return m_prefill.front(); }

    /// Number of prefill engines wanted at a time.
    int at(double seconds) const;

    /// The changes that bring the fleet to the schedule; bounds are those of the planner.
    std::vector<Roles::RoleChange> plan(Roles::FleetView const&, double seconds) const;

private:
    double value(std::size_t step, int prefill) const;
    double cost(std::size_t step, int from, int to) const;
    void solve();

    Scenario m_scenario;
    Roles::Settings m_roles;
    Settings m_settings;
    std::vector<Roles::Demand> m_demands;
    std::vector<int> m_prefill;
};

}
