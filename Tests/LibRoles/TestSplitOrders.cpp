#include "SplitSite.h"

#include <LibRoles/SplitOrders.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace std::chrono_literals;
using namespace Roles;
constexpr SplitOrders::Time start { 100s };
constexpr SplitDemand unknown {};

std::vector<EngineView> makeFleet(std::vector<TargetRole> const& roles)
{
    std::vector<EngineView> engines;
    for (TargetRole role : roles) {
        EngineView engine;
        engine.engine = static_cast<std::uint32_t>(engines.size());
        engine.key = 100 + engines.size();
        engine.role = role;
        engine.allowed = RoleSet().with(TargetRole::Prefill).with(TargetRole::Decode);
        engines.push_back(engine);
    }
    return engines;
}

constexpr TargetRole prefill = TargetRole::Prefill;
constexpr TargetRole decode = TargetRole::Decode;

// Calls `plan` until the split is due and its first step is returned.
std::vector<SplitStep> planUntilDue(SplitOrders& orders, std::vector<EngineView> const& engines, bool mayOrder, SplitOrders::Time& now)
{
    for (int n = 0; n < 100; ++n) {
        std::vector<SplitStep> steps = orders.plan(engines, unknown, mayOrder, now);
        if (!steps.empty())
            return steps;
        now += 100ms;
    }
    return {};
}

}

TEST(SplitOrders, AnEngineCountsAsChangingOnlyOnceItIsOrdered)
{
    SplitOrders orders;
    SplitOrders::Time now = start;
    std::vector<EngineView> engines = makeFleet({ prefill, decode, decode, decode });
    std::vector<SplitStep> steps = planUntilDue(orders, engines, false, now);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps[0].action, SplitAction::GainLease);
    EXPECT_TRUE(orders.changing().empty());
    steps = orders.plan(engines, unknown, true, now);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps[0].action, SplitAction::ReadState);
    EXPECT_TRUE(orders.changing().empty());
    EXPECT_TRUE(orders.plan(engines, unknown, true, now + 50ms).empty()) << "its state is being read";
    orders.noteReadiness(engines[steps[0].change.engine].key, EngineReadiness::Ready, 5, now + 60ms);
    steps = orders.plan(engines, unknown, true, now + 100ms);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps[0].action, SplitAction::Order);
    EXPECT_EQ(steps[0].acceptedOrders, 5U);
    EXPECT_EQ(orders.changing().size(), 1U);
    EXPECT_TRUE(orders.plan(engines, unknown, true, now + 200ms).empty());
}

// Guards against a second change that is decided because of a first one that was never ordered.
TEST(SplitOrders, AChangeWhoseReasonHasGoneIsNotOrdered)
{
    SplitOrders orders;
    SplitOrders::Time now = start;
    std::vector<EngineView> engines = makeFleet({ prefill, prefill, decode, decode });
    std::ignore = orders.plan(engines, unknown, true, now);
    now += 1s;
    std::ignore = orders.plan(engines, unknown, true, now);
    engines[2].state = EngineState::Down;
    engines[2].isLeaving = true;
    now += 100ms;
    ASSERT_EQ(planUntilDue(orders, engines, false, now).size(), 1U);
    engines[0].state = EngineState::Down;
    engines[0].isLeaving = true;
    for (int n = 0; n < 100; ++n) {
        now += 100ms;
        EXPECT_TRUE(orders.plan(engines, unknown, true, now).empty()) << n;
    }
    EXPECT_TRUE(orders.changing().empty());
}

// Guards against plans that stand still because one of their engines has crashed unnoticed.
TEST(SplitOrders, AnEngineThatDoesNotAnswerIsReplacedByAnother)
{
    SplitOrders orders;
    SplitOrders::Time now = start;
    std::vector<EngineView> engines = makeFleet({ prefill, decode, decode, decode });
    std::vector<SplitStep> steps = planUntilDue(orders, engines, true, now);
    ASSERT_EQ(steps.size(), 1U);
    std::uint32_t first = steps[0].change.engine;
    orders.noteReadiness(engines[first].key, EngineReadiness::Unavailable, 0, now);
    steps = orders.plan(engines, unknown, true, now);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps[0].action, SplitAction::ReadState);
    EXPECT_NE(steps[0].change.engine, first);
}

// Guards against a daemon that takes over and orders another engine in place of the one that its predecessor has ordered.
TEST(SplitOrders, AnEngineThatCarriesOutAnEarlierHoldersOrderCounts)
{
    SplitOrders orders;
    SplitOrders::Time now = start;
    std::vector<EngineView> engines = makeFleet({ prefill, decode, decode, decode });
    std::vector<SplitStep> steps = planUntilDue(orders, engines, true, now);
    ASSERT_EQ(steps.size(), 1U);
    orders.noteReadiness(engines[steps[0].change.engine].key, EngineReadiness::Changing, 0, now);
    for (int n = 0; n < 50; ++n)
        EXPECT_TRUE(orders.plan(engines, unknown, true, now += 100ms).empty()) << n;
    EXPECT_EQ(orders.nextRole(engines[steps[0].change.engine].key), prefill);
    engines[steps[0].change.engine].role = prefill;
    EXPECT_TRUE(orders.settle(engines, now));
    EXPECT_TRUE(orders.changing().empty());
}

// Guards against two engines that leave one role because a predecessor's order to the first is not known.
TEST(SplitOrders, AfterATakeoverEachEngineIsAskedBeforeTheFirstOrder)
{
    SplitOrders orders;
    orders.noteTakeover();
    SplitOrders::Time now = start;
    std::vector<EngineView> engines = makeFleet({ prefill, decode, decode, decode });
    ASSERT_EQ(planUntilDue(orders, engines, true, now).size(), engines.size());
    for (EngineView const& engine : engines)
        orders.noteReadiness(engine.key, engine.engine == 3 ? EngineReadiness::Changing : EngineReadiness::Ready, 0, now);
    for (int n = 0; n < 50; ++n)
        EXPECT_TRUE(orders.plan(engines, unknown, true, now += 100ms).empty()) << n;
    EXPECT_EQ(orders.nextRole(engines[3].key), prefill);
}

// Guards against prompts that no engine computes because the last one that did was ordered to decode before another had taken its place.
TEST(SplitOrders, TheLastServingEngineOfARoleStaysUntilAnotherServes)
{
    SplitOrders orders;
    SplitOrders::Time now = start;
    std::vector<EngineView> engines = makeFleet({ prefill, prefill, decode, decode, decode, decode, decode, decode });
    engines[0].state = EngineState::Changing;
    engines[0].role = prefill;
    for (std::size_t n = 3; n < engines.size(); ++n)
        engines[n].state = EngineState::Down;
    for (int n = 0; n < 60; ++n)
        EXPECT_TRUE(orders.plan(engines, unknown, true, now += 100ms).empty()) << "one that serves, one on its way, one to decode";
    engines[0].state = EngineState::Serving;
    EXPECT_FALSE(orders.plan(engines, unknown, true, now += 100ms).empty());
}

// Daemons of which any may hold the lease and plan, before engines that leave, die and come, in any order.
RC_GTEST_PROP(SplitOrders, ChangesAreFewAndLeaveNoRoleEmpty, ())
{
    bool isFenced = *rc::gen::arbitrary<bool>();
    SplitSite site({ *rc::gen::inRange<std::size_t>(1, 4), *rc::gen::inRange<std::size_t>(2, 9), isFenced, *rc::gen::arbitrary<std::uint64_t>() });
    site.run(10s);
    int disturbances = *rc::gen::inRange(1, 6);
    for (int n = 0; n < disturbances; ++n) {
        site.disturb(static_cast<SplitSite::Disturbance>(*rc::gen::inRange(0, static_cast<int>(SplitSite::disturbanceNames.size()))), *rc::gen::inRange<std::size_t>(0, 100));
        site.run(std::chrono::milliseconds(*rc::gen::inRange(0, 4'000)));
    }
    site.run(40s);
    RC_ASSERT(site.problems() == std::vector<std::string>());
}
