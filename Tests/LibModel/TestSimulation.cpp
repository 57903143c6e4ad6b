#include <LibModel/Oracle.h>
#include <LibModel/Simulation.h>
#include <LibRoles/Planner.h>
#include <gtest/gtest.h>
#include <memory>

namespace {

using Model::Figures;
using Model::Scenario;
using Model::Simulation;
using Routing::TargetRole;

Scenario scenarioNamed(std::string const& name, double seconds)
{
    for (Scenario& it : std::vector<Scenario>(Model::allScenarios())) {
        if (it.name != name)
            continue;
        Scenario found = it;
        found.workload.seconds = seconds;
        return found;
    }
    ADD_FAILURE() << "no scenario " << name;
    return {};
}

Model::RunSettings makeSettings(int prefill, std::uint64_t seed = 1)
{
    Model::RunSettings settings;
    settings.roles.assign(9, TargetRole::Mixed);
    std::fill_n(settings.roles.begin(), prefill, TargetRole::Prefill);
    settings.seed = seed;
    return settings;
}

void addPlanner(Model::RunSettings& settings)
{
    std::shared_ptr<Roles::Planner> planner = std::make_shared<Roles::Planner>(Roles::Planner::create({}).value());
    settings.plan = [planner](Roles::FleetView const& view, double) { return planner->plan(view); };
}

std::uint64_t ended(Model::Tally const& it)
{
    return it.good + it.lateFirst + it.slow + it.shed + it.lost;
}

}

TEST(Simulation, SameSeedSameFigures)
{
    Scenario scenario = scenarioNamed("pensions/swing", 300);
    Model::RunSettings settings = makeSettings(5);
    addPlanner(settings);
    Model::RunSettings again = makeSettings(5);
    addPlanner(again);
    Figures first = Simulation(scenario, settings).run();
    Figures second = Simulation(scenario, again).run();
    EXPECT_EQ(first.all.good, second.all.good);
    EXPECT_EQ(first.all.slow, second.all.slow);
    EXPECT_EQ(first.cachedTokens, second.cachedTokens);
    EXPECT_EQ(first.roleChanges, second.roleChanges);
    EXPECT_NE(Simulation(scenario, makeSettings(5, 2)).run().all.offered, first.all.offered);
}

TEST(Simulation, EveryRequestEndsOnceWhateverHappens)
{
    for (char const* name : { "pensions/engine-lost", "pensions/zone-lost", "trikotwerk/flood", "trikotwerk/load-1.5" }) {
        Scenario scenario = scenarioNamed(name, 400);
        for (Routing::Policy policy : { Routing::Policy::Random, Routing::Policy::PrefixAffinity }) {
            Model::RunSettings settings = makeSettings(4);
            settings.routing.policy = policy;
            addPlanner(settings);
            Figures figures = Simulation(scenario, settings).run();
            EXPECT_EQ(ended(figures.all), figures.all.offered) << name;
            EXPECT_EQ(figures.all.offered, figures.byClass[0].offered + figures.byClass[1].offered) << name;
        }
    }
}

TEST(Simulation, ALostEnginesRequestsAreRunElsewhere)
{
    Scenario scenario = scenarioNamed("pensions/engine-lost", 400);
    Figures figures = Simulation(scenario, makeSettings(4)).run();
    EXPECT_GT(figures.retries, 0U);
    EXPECT_EQ(figures.all.lost, 0U);
    Model::RunSettings none = makeSettings(4);
    none.retryShare = 0;
    EXPECT_GT(Simulation(scenario, none).run().all.lost, 0U);
}

TEST(Simulation, AdmissionShieldsOthersFromAFloodingOrganisation)
{
    Scenario scenario = scenarioNamed("pensions/flood", 600);
    Model::RunSettings settings = makeSettings(4);
    settings.admit = [engine = scenario.engine](Model::Job const& job, double wait, Model::Time) { return wait <= 0.9 * Model::firstTokenLimitSeconds(job, engine); };
    auto othersShare = [](Figures const& it) { return static_cast<double>(it.all.good - it.flooding.good) / static_cast<double>(it.all.offered - it.flooding.offered); };
    double open = othersShare(Simulation(scenario, settings).run());
    settings.isFair = true;
    Figures fair = Simulation(scenario, settings).run();
    EXPECT_GT(othersShare(fair), open + 0.03);
    EXPECT_EQ(ended(fair.all), fair.all.offered);
}

TEST(Simulation, SeparationPaysForLongPromptsOnly)
{
    Scenario scenario = scenarioNamed("pensions/swing", 200);
    scenario.workload.longShare = [](double) { return 0.85; };
    EXPECT_GT(Simulation(scenario, makeSettings(6)).run().byClass[1].good, 2 * Simulation(scenario, makeSettings(0)).run().byClass[1].good);
    scenario.workload.longShare = [](double) { return 0.0; };
    EXPECT_GT(Simulation(scenario, makeSettings(1)).run().all.good, 2 * Simulation(scenario, makeSettings(7)).run().all.good);
}

TEST(Simulation, AChangeTakesItsEngineOutOfServiceForSeconds)
{
    Scenario scenario = scenarioNamed("pensions/step", 60);
    Model::RunSettings settings = makeSettings(4);
    settings.plan = [](Roles::FleetView const&, double seconds) {
        return seconds == 20 ? std::vector<Roles::RoleChange> { { 8, TargetRole::Prefill, 0 } } : std::vector<Roles::RoleChange> {};
    };
    Figures figures = Simulation(scenario, settings).run();
    auto serving = [&figures](std::size_t i) { return figures.intervals[i].roles[0] + figures.intervals[i].roles[2]; };
    EXPECT_EQ(figures.roleChanges, 1U);
    EXPECT_EQ(serving(3), 9U);
    EXPECT_EQ(serving(4), 8U);
    EXPECT_EQ(figures.intervals[11].roles[0], 5U);
    EXPECT_EQ(serving(11), 9U);
}

TEST(Oracle, ChangesNothingOnASteadyMixAndFollowsAStep)
{
    Scenario scenario = scenarioNamed("pensions/step", 900);
    Model::Oracle step(scenario, {}, {});
    EXPECT_LT(step.at(100) + 2, step.at(800));
    EXPECT_EQ(step.at(10), step.at(300));
    // A charge of an hour of an engine for each change is never worth it.
    scenario.changeCostSeconds = 3600;
    Model::Oracle charged(scenario, {}, {});
    EXPECT_EQ(charged.at(10), charged.at(800));
}
