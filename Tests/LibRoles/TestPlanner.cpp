#include <LibRoles/Planner.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using Roles::EngineState;
using Roles::EngineView;
using Roles::FleetView;
using Roles::Planner;
using Roles::Policy;
using Roles::RoleChange;
using Roles::RoleSet;
using Roles::TargetRole;

FleetView makeFleet(std::uint32_t prefill, std::uint32_t engines)
{
    FleetView view;
    for (std::uint32_t i = 0; i < engines; ++i)
        view.engines.push_back({ i, i < prefill ? TargetRole::Prefill : TargetRole::Mixed, RoleSet::all(), EngineState::Serving, 0, 0, 0 });
    return view;
}

// Of nine engines, long prompts need about six for prefill, short prompts about one.
Roles::MixCounts longPrompts()
{
    return { Roles::ClassCounts { 1, 200, 1, 400 }, Roles::ClassCounts { 4.5, 36000, 4.5, 630 } };
}

Roles::MixCounts shortPrompts()
{
    return { Roles::ClassCounts { 13, 2600, 13, 5200 }, Roles::ClassCounts { 0.3, 2400, 0.3, 42 } };
}

Planner makePlanner(Policy policy)
{
    Roles::Settings settings;
    settings.policy = policy;
    return Planner::create(settings).value();
}

// Simulates windows of one second; a change takes its engine out of service for `outOfService` windows.
int countChanges(Planner& planner, FleetView& view, int windows, std::function<Roles::MixCounts(int)> const& counts)
{
    constexpr int outOfService = 9;
    std::vector<int> backAt(view.engines.size(), 0);
    int changes = 0;
    for (int now = 0; now < windows; ++now) {
        view.counts = counts(now);
        for (EngineView& it : view.engines) {
            if (it.state == EngineState::Changing && backAt[it.engine] <= now)
                it.state = EngineState::Serving;
        }
        for (RoleChange const& it : planner.plan(view)) {
            view.engines[it.engine].role = it.role;
            view.engines[it.engine].state = EngineState::Changing;
            backAt[it.engine] = now + outOfService;
            ++changes;
        }
    }
    return changes;
}

RoleSet randomRoles()
{
    RoleSet roles;
    for (auto const& [role, name] : Routing::targetRoleNames)
        roles = *rc::gen::inRange(0, 2) ? roles.with(role) : roles;
    return roles;
}

}

RC_GTEST_PROP(Planner, RespectsRolesStatesAndBounds, ())
{
    Roles::Settings settings;
    settings.policy = Roles::policyNames[*rc::gen::inRange<std::size_t>(0, Roles::policyNames.size())].first;
    settings.maxChanging = *rc::gen::inRange<std::size_t>(1, 5);
    settings.minPrefill = *rc::gen::inRange<std::size_t>(0, 3);
    settings.minOutput = *rc::gen::inRange<std::size_t>(1, 3);
    settings.warmUpSeconds = 0;
    settings.sustainSeconds = 1;
    Planner planner = Planner::create(settings).value();
    FleetView view;
    std::uint32_t n = *rc::gen::inRange(1U, 14U);
    for (std::uint32_t i = 0; i < n; ++i) {
        EngineState state = *rc::gen::element(EngineState::Serving, EngineState::Serving, EngineState::Changing, EngineState::Down);
        view.engines.push_back({ i, Routing::targetRoleNames[*rc::gen::inRange<std::size_t>(0, 3)].first, randomRoles(), state, *rc::gen::element(0.0, 60.0), *rc::gen::inRange(0U, 24U), 0 });
    }
    for (int window = 0; window < 30; ++window) {
        view.counts = *rc::gen::inRange(0, 2) || window < 15 ? longPrompts() : shortPrompts();
        std::vector<RoleChange> changes = planner.plan(view);
        RC_ASSERT(settings.policy != Policy::Fixed || changes.empty());
        for (RoleChange const& it : changes) {
            EngineView& engine = view.engines[it.engine];
            RC_ASSERT(engine.state == EngineState::Serving);
            RC_ASSERT(engine.allowed.has(it.role));
            RC_ASSERT(engine.role != it.role);
            engine.state = EngineState::Changing;
            engine.role = it.role;
        }
        auto count = [&view](auto const& predicate) { return static_cast<std::size_t>(std::count_if(view.engines.begin(), view.engines.end(), predicate)); };
        std::size_t changing = count([](EngineView const& it) { return it.state == EngineState::Changing; });
        std::size_t prefill = count([](EngineView const& it) { return it.state == EngineState::Serving && it.role == TargetRole::Prefill; });
        std::size_t output = count([](EngineView const& it) { return it.state == EngineState::Serving && it.role != TargetRole::Prefill; });
        if (!changes.empty()) {
            RC_ASSERT(changing <= settings.maxChanging);
            bool toPrefill = changes.front().role == TargetRole::Prefill;
            RC_ASSERT((toPrefill ? output >= settings.minOutput : prefill >= settings.minPrefill));
        }
    }
}

TEST(Planner, FollowsASustainedStep)
{
    for (Policy policy : { Policy::Threshold, Policy::Planner }) {
        Planner planner = makePlanner(policy);
        FleetView view = makeFleet(1, 9);
        countChanges(planner, view, 60, [](int) { return shortPrompts(); });
        double before = Roles::splitOf(view.engines).prefill;
        countChanges(planner, view, 120, [](int) { return longPrompts(); });
        EXPECT_LE(before, 3);
        EXPECT_GE(Roles::splitOf(view.engines).prefill, 5);
    }
}

TEST(Planner, KeepsRolesOnASteadyMix)
{
    Planner planner = makePlanner(Policy::Planner);
    FleetView view = makeFleet(6, 9);
    EXPECT_LE(countChanges(planner, view, 60, [](int) { return longPrompts(); }), 1);
    EXPECT_EQ(countChanges(planner, view, 600, [](int) { return longPrompts(); }), 0);
}

TEST(Planner, LearnsNotToFollowASquareWave)
{
    Planner planner = makePlanner(Policy::Planner);
    FleetView view = makeFleet(3, 9);
    auto wave = [](int now) { return now / 20 % 2 ? longPrompts() : shortPrompts(); };
    countChanges(planner, view, 400, wave);
    EXPECT_LE(countChanges(planner, view, 800, wave), 3);
    // The threshold rule oscillates, which the planner is designed to avoid.
    Planner threshold = makePlanner(Policy::Threshold);
    EXPECT_GE(countChanges(threshold, view, 800, wave), 30);
}

TEST(Planner, ChangeCostPreventsChanges)
{
    auto wave = [](int now) { return now / 120 % 2 ? longPrompts() : shortPrompts(); };
    Planner cheap = makePlanner(Policy::Planner);
    FleetView view = makeFleet(3, 9);
    int changesWithoutCost = countChanges(cheap, view, 1200, wave);
    Planner expensive = makePlanner(Policy::Planner);
    FleetView fleetWithCost = makeFleet(3, 9);
    for (EngineView& it : fleetWithCost.engines)
        it.changeCostSeconds = 300;
    EXPECT_GE(changesWithoutCost, 10);
    EXPECT_LE(countChanges(expensive, fleetWithCost, 1200, wave), 2);
}

TEST(Planner, ChoosesTheCheapestEngines)
{
    FleetView view = makeFleet(0, 4);
    view.engines[0].changeCostSeconds = 60;
    view.engines[1].running = 20;
    view.engines[2].running = 5;
    view.engines[3].allowed = RoleSet().with(TargetRole::Mixed);
    std::vector<RoleChange> changes = Roles::chooseEngines(view, 2, Roles::Settings(), 0);
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0].engine, 2U);
    EXPECT_EQ(changes[1].engine, 1U);
}

TEST(Planner, RefusesSettingsOutOfRange)
{
    Roles::Settings settings;
    settings.minOutput = 0;
    EXPECT_TRUE(Planner::create(settings).has_error());
    settings = {};
    settings.rates.decodeTokensPerSecond = 0;
    EXPECT_TRUE(Planner::create(settings).has_error());
}

RC_GTEST_PROP(Capacity, IsMonotonicInEngines, ())
{
    Roles::Demand demand;
    for (Roles::ClassDemand& it : demand)
        it = { *rc::gen::inRange(0, 100) / 4.0, *rc::gen::inRange(0, 60000) * 1.0, *rc::gen::inRange(0, 9000) * 1.0 };
    Roles::Split split { *rc::gen::inRange(0, 9) * 1.0, *rc::gen::inRange(0, 9) * 1.0, *rc::gen::inRange(0, 9) * 1.0 };
    double before = Roles::estimateGoodput(demand, split, {});
    for (double Roles::Split::* role : { &Roles::Split::prefill, &Roles::Split::decode, &Roles::Split::mixed }) {
        Roles::Split more = split;
        more.*role += 1;
        RC_ASSERT(Roles::estimateGoodput(demand, more, {}) >= before - 1e-9);
    }
    RC_ASSERT(before <= demand[0].requests + demand[1].requests + 1e-9);
}
