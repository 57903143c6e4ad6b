#include "Comparison.h"
#include <LibModel/Oracle.h>
#include <LibRoles/Planner.h>
#include <algorithm>
#include <atomic>
#include <cmath>
#include <memory>
#include <thread>

namespace Measure {

namespace {

using Model::Figures;
using Model::Scenario;
using Routing::TargetRole;

// One run of the comparison. Rows share runs: best-of choices have several, of which the best counts.
struct Run {
    std::size_t scenario;
    Routing::Policy routing;
    std::uint64_t seed;
    std::string choice;
    Model::Oracle::Settings oracle;
    Figures figures;

    bool isSameAs(Run const& other) const
    {
        return scenario == other.scenario && routing == other.routing && seed == other.seed && choice == other.choice
            && oracle.leadSeconds == other.oracle.leadSeconds && oracle.outputRateShare == other.oracle.outputRateShare;
    }
};

// The runs of a row, by their places.
struct RowRuns {
    std::size_t scenario;
    std::vector<std::size_t> places;
};

constexpr int mostFixed = 8;

std::string fixedName(int prefill)
{
    return "fixed-" + std::to_string(prefill);
}

std::vector<TargetRole> rolesWith(std::uint32_t engines, int prefill)
{
    std::vector<TargetRole> roles(engines, TargetRole::Mixed);
    std::fill_n(roles.begin(), prefill, TargetRole::Prefill);
    return roles;
}

Model::RunSettings settingsOf(Run const& run, Scenario const& scenario, Routing::Policy routing, Trial const& trial)
{
    Model::RunSettings settings;
    settings.routing = trial.routing;
    settings.routing.policy = routing;
    settings.tellAtOnceTokens = trial.tellAtOnceTokens;
    settings.isFair = trial.isFair;
    settings.gate = trial.gate;
    settings.seed = run.seed;
    if (trial.admitShare > 0) {
        settings.admit = [engine = scenario.engine, share = trial.admitShare](Model::Job const& job, double wait, Model::Time) {
            return wait <= share * Model::firstTokenLimitSeconds(job, engine);
        };
    }
    std::uint32_t engines = scenario.workload.engines;
    if (run.choice.starts_with("fixed-")) {
        settings.roles = rolesWith(engines, std::stoi(run.choice.substr(6)));
        return settings;
    }
    // Every adaptive choice starts with the oracle's first split.
    std::shared_ptr<Model::Oracle> oracle = std::make_shared<Model::Oracle>(scenario, trial.roles, run.oracle);
    settings.roles = rolesWith(engines, oracle->first());
    if (run.choice == "oracle") {
        settings.plan = [oracle](Roles::FleetView const& view, double seconds) { return oracle->plan(view, seconds); };
        return settings;
    }
    Roles::Settings roles = trial.roles;
    roles.policy = run.choice == "threshold" ? Roles::Policy::Threshold : Roles::Policy::Planner;
    std::shared_ptr<Roles::Planner> planner = std::make_shared<Roles::Planner>(Roles::Planner::create(roles).value());
    settings.plan = [planner](Roles::FleetView const& view, double) { return planner->plan(view); };
    return settings;
}

// Good requests a second, less the engine-seconds charged to changes at what an engine-second was worth.
double valueOf(Figures const& figures, Scenario const& scenario)
{
    double worth = figures.goodput() / scenario.workload.engines;
    return figures.goodput() - worth * figures.roleChanges * scenario.changeCostSeconds / figures.seconds;
}

void addRun(std::vector<Run>& runs, RowRuns& row, Run const& run)
{
    auto it = std::find_if(runs.begin(), runs.end(), [&run](Run const& known) { return known.isSameAs(run); });
    row.places.push_back(static_cast<std::size_t>(it - runs.begin()));
    if (it == runs.end())
        runs.push_back(run);
}

void addRuns(std::vector<Run>& runs, RowRuns& row, Routing::Policy routing, std::uint64_t seed, std::string const& choice)
{
    bool isBestOf = choice == "best-fixed" || choice == "oracle";
    for (int n = 0; isBestOf && n <= mostFixed; ++n)
        addRun(runs, row, { row.scenario, routing, seed, fixedName(n), {}, {} });
    if (!isBestOf)
        addRun(runs, row, { row.scenario, routing, seed, choice, {}, {} });
    if (choice != "oracle")
        return;
    for (double lead : { 0.0, 5.0, 10.0 }) {
        for (double share : { 1.0, 0.9, 0.8 })
            addRun(runs, row, { row.scenario, routing, seed, choice, { 5, lead, 1, share }, {} });
    }
}

void execute(std::vector<Run>& runs, ComparisonSettings const& settings)
{
    std::atomic<std::size_t> next { 0 };
    auto work = [&] {
        for (std::size_t i = next++; i < runs.size(); i = next++) {
            Run& run = runs[i];
            Scenario scenario = settings.scenarios[run.scenario];
            scenario.engine = settings.trial.engine;
            run.figures = Model::Simulation(scenario, settingsOf(run, scenario, run.routing, settings.trial)).run();
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::max(1U, settings.threads); ++i)
        threads.emplace_back(work);
    for (std::thread& it : threads)
        it.join();
}

std::string nameOf(Run const& run)
{
    if (run.choice != "oracle")
        return run.choice;
    return "lead " + std::to_string(static_cast<int>(run.oracle.leadSeconds)) + " s, output " + std::to_string(static_cast<int>(std::lround(100 * run.oracle.outputRateShare))) + "%";
}

void addTo(Row& row, Run const& run, Scenario const& scenario, double weight)
{
    Figures const& it = run.figures;
    double offered = std::max<double>(1, static_cast<double>(it.all.offered));
    auto share = [offered, weight](std::uint64_t n) { return weight * static_cast<double>(n) / offered; };
    row.goodput += weight * it.goodput();
    row.goodShare += share(it.all.good);
    row.lateShare += share(it.all.lateFirst);
    row.slowShare += share(it.all.slow);
    row.shedShare += share(it.all.shed);
    row.lostShare += share(it.all.lost);
    row.retryShare += share(it.retries);
    row.roleChanges += weight * it.roleChanges;
    row.value += weight * valueOf(it, scenario);
    row.urgentShare += weight * it.byPriority[1].goodShare();
    row.deferrableShare += weight * it.byPriority[8].goodShare();
    row.otherShare += weight * static_cast<double>(it.all.good - it.flooding.good) / std::max<double>(1, static_cast<double>(it.all.offered - it.flooding.offered));
    row.cachedShare += weight * static_cast<double>(it.cachedTokens) / std::max<double>(1, static_cast<double>(it.promptTokens));
    row.notesPerSecond += weight * static_cast<double>(it.notes) / it.seconds;
}

// Takes the best run of each seed into the row.
void summarise(Row& row, RowRuns const& rowRuns, std::vector<Run> const& runs, Scenario const& scenario, ComparisonSettings const& settings)
{
    std::vector<double> goodputs;
    for (std::uint64_t seed = settings.firstSeed; seed < settings.firstSeed + settings.seeds; ++seed) {
        Run const* best = nullptr;
        for (std::size_t place : rowRuns.places) {
            Run const& it = runs[place];
            if (it.seed == seed && (!best || valueOf(it.figures, scenario) > valueOf(best->figures, scenario)))
                best = &it;
        }
        addTo(row, *best, scenario, 1.0 / static_cast<double>(settings.seeds));
        goodputs.push_back(best->figures.goodput());
        if (seed == settings.firstSeed) {
            row.figures = best->figures;
            row.detail = row.roles == "best-fixed" || row.roles == "oracle" ? nameOf(*best) : "";
        }
    }
    double sum = 0;
    for (double n : goodputs)
        sum += (n - row.goodput) * (n - row.goodput);
    row.goodputDeviation = goodputs.size() > 1 ? std::sqrt(sum / static_cast<double>(goodputs.size() - 1)) : 0;
}

}

std::vector<std::string> roleChoices()
{
    std::vector<std::string> names;
    for (int n = 0; n <= mostFixed; ++n)
        names.push_back(fixedName(n));
    names.insert(names.end(), { "best-fixed", "threshold", "planner", "oracle" });
    return names;
}

std::vector<Row> compare(ComparisonSettings const& settings)
{
    std::vector<Row> rows;
    std::vector<RowRuns> runsOfRow;
    std::vector<Run> runs;
    auto addRow = [&](std::size_t scenario, Routing::Policy routing, std::string const& roles) {
        Row row;
        row.scenario = settings.scenarios[scenario].name;
        row.routing = Core::nameOf(Routing::policyNames, routing);
        row.roles = roles;
        RowRuns places { scenario, {} };
        for (std::uint64_t i = 0; i < settings.seeds; ++i)
            addRuns(runs, places, routing, settings.firstSeed + i, roles);
        rows.push_back(row);
        runsOfRow.push_back(places);
    };
    for (std::size_t i = 0; i < settings.scenarios.size(); ++i) {
        for (std::string const& it : settings.roles)
            addRow(i, settings.trial.routing.policy, it);
        for (Routing::Policy it : settings.routing)
            addRow(i, it, "planner");
    }
    execute(runs, settings);
    for (std::size_t i = 0; i < rows.size(); ++i)
        summarise(rows[i], runsOfRow[i], runs, settings.scenarios[runsOfRow[i].scenario], settings);
    for (Row& row : rows) {
        auto isOracle = [&row](Row const& it) { return it.roles == "oracle" && it.scenario == row.scenario; };
        auto oracle = std::find_if(rows.begin(), rows.end(), isOracle);
        if (oracle != rows.end() && oracle->goodput > 0)
            row.oracleShare = row.goodput / oracle->goodput;
    }
    return rows;
}

}
