#include <LibRoles/SplitRule.h>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using namespace Roles;
using Time = SplitRule::Time;

constexpr Time start { 100s };

// Engines 0 .. prefill-1 are prefill, those behind decode.
std::vector<EngineView> fleet(std::uint32_t prefill, std::uint32_t decode)
{
    std::vector<EngineView> engines;
    for (std::uint32_t n = 0; n < prefill + decode; ++n) {
        EngineView engine;
        engine.engine = n;
        engine.role = n < prefill ? TargetRole::Prefill : TargetRole::Decode;
        engine.allowed = RoleSet().with(TargetRole::Prefill).with(TargetRole::Decode);
        engines.push_back(engine);
    }
    return engines;
}

SplitRule settled(std::vector<EngineView> const& engines)
{
    SplitRule rule;
    rule.plan(engines, start);
    rule.plan(engines, start + 1s);
    return rule;
}

}

TEST(SplitRule, AShareOfTheEnginesDecodes)
{
    SplitRule rule;
    EXPECT_EQ(rule.wantedDecode(1), 1U);
    EXPECT_EQ(rule.wantedDecode(2), 1U);
    EXPECT_EQ(rule.wantedDecode(3), 2U);
    EXPECT_EQ(rule.wantedDecode(9), 2U);
    EXPECT_EQ(rule.wantedDecode(60), 13U);
}

TEST(SplitRule, TheFirstPlanWaitsUntilAllEnginesAreListed)
{
    SplitRule rule;
    EXPECT_TRUE(rule.plan(fleet(2, 3), start).empty());
    EXPECT_TRUE(rule.plan(fleet(3, 6), start + 500ms).empty());
    EXPECT_TRUE(rule.plan(fleet(3, 6), start + 1'000ms).empty());
    std::vector<RoleChange> changes = rule.plan(fleet(3, 6), start + 1'100ms);
    ASSERT_EQ(changes.size(), 4U);
    EXPECT_EQ(changes.front().role, TargetRole::Prefill);
}

TEST(SplitRule, ABlinkChangesNothing)
{
    SplitRule rule = settled(fleet(7, 2));
    std::vector<EngineView> oneDown = fleet(7, 2);
    oneDown.back().state = EngineState::Down;
    EXPECT_TRUE(rule.plan(oneDown, start + 2s).empty());
    EXPECT_TRUE(rule.plan(oneDown, start + 4s).empty());
    EXPECT_TRUE(rule.plan(fleet(7, 2), start + 4400ms).empty());
    EXPECT_TRUE(rule.plan(oneDown, start + 5s).empty());
}

TEST(SplitRule, ASideThatStaysShortIsFilled)
{
    SplitRule rule = settled(fleet(7, 2));
    std::vector<EngineView> oneDown = fleet(7, 2);
    oneDown.back().state = EngineState::Down;
    EXPECT_TRUE(rule.plan(oneDown, start + 2s).empty());
    std::vector<RoleChange> changes = rule.plan(oneDown, start + 4600ms);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().role, TargetRole::Decode);
}

TEST(SplitRule, AnEmptySideIsFilledAtOnce)
{
    SplitRule rule = settled(fleet(7, 2));
    std::vector<EngineView> allDown = fleet(7, 2);
    allDown[7].state = EngineState::Down;
    allDown[8].state = EngineState::Down;
    EXPECT_TRUE(rule.plan(allDown, start + 2s).empty());
    EXPECT_EQ(rule.plan(allDown, start + 2500ms).size(), 2U);
}

TEST(SplitRule, OnlyServingEnginesThatMayTakeTheRoleAreChanged)
{
    std::vector<EngineView> engines = fleet(3, 6);
    engines[3].allowed = RoleSet().with(TargetRole::Decode);
    engines[4].state = EngineState::Changing;
    SplitRule rule;
    rule.plan(engines, start);
    std::vector<RoleChange> changes = rule.plan(engines, start + 1s);
    ASSERT_EQ(changes.size(), 4U);
    EXPECT_EQ(changes.front().engine, 5U);
}
