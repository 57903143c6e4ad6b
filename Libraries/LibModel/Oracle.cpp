#include <LibModel/Oracle.h>
#include <LibRoles/Planner.h>
#include <algorithm>
#include <cmath>

namespace Model {

Oracle::Oracle(Scenario const& scenario, Roles::Settings const& roles, Settings settings)
    : m_scenario(scenario)
    , m_roles(roles)
    , m_settings(settings)
{
    Workload workload(scenario.workload, scenario.engine, 0);
    m_roles.rates.decodeTokensPerSecond *= settings.outputRateShare;
    std::size_t steps = static_cast<std::size_t>(std::ceil(scenario.workload.seconds / settings.stepSeconds));
    for (std::size_t i = 0; i < steps; ++i)
        m_demands.push_back(workload.demand((static_cast<double>(i) + 0.5) * settings.stepSeconds));
    solve();
}

double Oracle::value(std::size_t step, int prefill) const
{
    double engines = m_scenario.workload.engines;
    double time = static_cast<double>(step) * m_settings.stepSeconds;
    if (m_scenario.engineLostAt && time >= *m_scenario.engineLostAt)
        engines -= 1;
    if (m_scenario.zoneLostAt && time >= *m_scenario.zoneLostAt)
        engines -= std::ceil(engines / m_scenario.zones);
    if (prefill >= engines)
        return 0;
    return Roles::estimateGoodput(m_demands[step], { static_cast<double>(prefill), 0, engines - prefill }, m_roles.rates);
}

double Oracle::cost(std::size_t step, int from, int to) const
{
    if (from == to)
        return 0;
    int engines = static_cast<int>(m_scenario.workload.engines);
    Roles::Split during { static_cast<double>(std::min(from, to)), 0, static_cast<double>(std::min(engines - from, engines - to)) };
    double lost = value(step, to) - Roles::estimateGoodput(m_demands[step], during, m_roles.rates);
    double seconds = m_roles.changeSeconds + m_roles.drainSeconds;
    double worth = value(step, to) / engines;
    return m_settings.costFactor * std::max(0.0, lost) * seconds + std::abs(from - to) * worth * m_scenario.changeCostSeconds;
}

void Oracle::solve()
{
    int engines = static_cast<int>(m_scenario.workload.engines);
    std::size_t steps = m_demands.size();
    std::size_t states = static_cast<std::size_t>(engines);
    std::vector<double> best(states, 0);
    std::vector<std::vector<int>> next(steps, std::vector<int>(states, 0));
    // Backwards: best[p] is the worth of all later steps when p engines do prefill in the step before.
    for (std::size_t step = steps; step-- > 0;) {
        std::vector<double> before(states, -1e300);
        for (int from = 0; from < engines; ++from) {
            for (int to = 0; to < engines; ++to) {
                double worth = best[static_cast<std::size_t>(to)] + value(step, to) * m_settings.stepSeconds - (step == 0 ? 0 : cost(step, from, to));
                if (worth > before[static_cast<std::size_t>(from)] + 1e-9 || (to == from && worth >= before[static_cast<std::size_t>(from)] - 1e-9)) {
                    before[static_cast<std::size_t>(from)] = worth;
                    next[step][static_cast<std::size_t>(from)] = to;
                }
            }
        }
        best = before;
    }
    int prefill = next[0][0];
    for (std::size_t step = 0; step < steps; ++step) {
        prefill = step == 0 ? prefill : next[step][static_cast<std::size_t>(prefill)];
        m_prefill.push_back(prefill);
    }
}

int Oracle::at(double seconds) const
{
    std::size_t step = static_cast<std::size_t>((seconds + m_settings.leadSeconds) / m_settings.stepSeconds);
    return m_prefill[std::min(step, m_prefill.size() - 1)];
}

std::vector<Roles::RoleChange> Oracle::plan(Roles::FleetView const& view, double seconds) const
{
    int present = static_cast<int>(Roles::splitOf(view.engines).prefill);
    Roles::Settings bounds = m_roles;
    bounds.maxChanging = view.engines.size();
    bounds.minPrefill = 0;
    return Roles::chooseEngines(view, at(seconds) - present, bounds, 0);
}

}
