#include <LibRoles/SplitRule.h>
#include <algorithm>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using namespace Roles;
using Time = SplitRule::Time;

constexpr Time start { 100s };
constexpr SplitDemand unknown {};

// Engines 0 to prefill - 1 are prefill engines, the others decode.
std::vector<EngineView> makeFleet(std::uint32_t prefill, std::uint32_t decode)
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

SplitRule makeSettledRule(std::vector<EngineView> const& engines)
{
    SplitRule rule;
    rule.plan(engines, unknown, start);
    rule.plan(engines, unknown, start + 1s);
    return rule;
}

}

TEST(SplitRule, AShareOfTheEnginesDecodes)
{
    SplitRule rule;
    EXPECT_EQ(rule.wantedDecode(1, 0, unknown), 1U);
    EXPECT_EQ(rule.wantedDecode(2, 0, unknown), 1U);
    EXPECT_EQ(rule.wantedDecode(3, 0, unknown), 2U);
    EXPECT_EQ(rule.wantedDecode(9, 0, unknown), 2U);
    EXPECT_EQ(rule.wantedDecode(60, 0, unknown), 15U);
}

TEST(SplitRule, TheFirstPlanWaitsUntilAllEnginesAreListed)
{
    SplitRule rule;
    EXPECT_TRUE(rule.plan(makeFleet(2, 3), unknown, start).empty());
    EXPECT_TRUE(rule.plan(makeFleet(3, 6), unknown, start + 500ms).empty());
    EXPECT_TRUE(rule.plan(makeFleet(3, 6), unknown, start + 1'000ms).empty());
    std::vector<RoleChange> changes = rule.plan(makeFleet(3, 6), unknown, start + 1'100ms);
    ASSERT_EQ(changes.size(), 4U);
    EXPECT_EQ(changes.front().role, TargetRole::Prefill);
}

TEST(SplitRule, ABriefOutageChangesNothing)
{
    SplitRule rule = makeSettledRule(makeFleet(7, 2));
    std::vector<EngineView> oneDown = makeFleet(7, 2);
    oneDown.back().state = EngineState::Down;
    EXPECT_TRUE(rule.plan(oneDown, unknown, start + 2s).empty());
    EXPECT_TRUE(rule.plan(oneDown, unknown, start + 4s).empty());
    EXPECT_TRUE(rule.plan(makeFleet(7, 2), unknown, start + 4400ms).empty());
    EXPECT_TRUE(rule.plan(oneDown, unknown, start + 5s).empty());
}

TEST(SplitRule, ASustainedShortageIsFilled)
{
    SplitRule rule = makeSettledRule(makeFleet(7, 2));
    std::vector<EngineView> oneDown = makeFleet(7, 2);
    oneDown.back().state = EngineState::Down;
    EXPECT_TRUE(rule.plan(oneDown, unknown, start + 2s).empty());
    std::vector<RoleChange> changes = rule.plan(oneDown, unknown, start + 4600ms);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().role, TargetRole::Decode);
}

// Guards against outputs that wait for seconds because engines that are shutting down are expected to return.
TEST(SplitRule, AShortageFromLeavingEnginesIsFilledSooner)
{
    SplitRule rule = makeSettledRule(makeFleet(7, 2));
    std::vector<EngineView> oneLeaves = makeFleet(7, 2);
    oneLeaves.back().state = EngineState::Down;
    oneLeaves.back().isLeaving = true;
    EXPECT_TRUE(rule.plan(oneLeaves, unknown, start + 2s).empty());
    std::vector<RoleChange> changes = rule.plan(oneLeaves, unknown, start + 2400ms);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().role, TargetRole::Decode);
}

// Guards against the loss of two zones in succession where the second holds half of the remaining decode engines: one engine was
// left, and outputs were refused until others had changed their role.
TEST(SplitRule, EnoughEnginesDecodeAfterTheLossOfAnyGroup)
{
    SplitDemand fewOutputs { 8, 0.5, true };
    for (std::uint32_t groups = 2; groups <= 4; ++groups) {
        std::vector<EngineView> engines = makeFleet(30, 0);
        for (EngineView& engine : engines)
            engine.failureDomain = engine.engine % groups + 1;
        SplitRule rule;
        for (SplitRule::Time now = start; now < start + 60s; now += 100ms) {
            for (RoleChange const& change : rule.plan(engines, fewOutputs, now))
                engines[change.engine].role = change.role;
        }
        for (std::uint32_t lost = 1; lost <= groups; ++lost) {
            std::ptrdiff_t left = std::count_if(engines.begin(), engines.end(), [lost](EngineView const& it) { return it.failureDomain != lost && it.role == TargetRole::Decode; });
            EXPECT_GE(left, 2) << groups << " groups, " << lost << " lost";
        }
    }
}

TEST(SplitRule, ARoleWithoutEnginesIsFilledSooner)
{
    SplitRule rule = makeSettledRule(makeFleet(7, 2));
    std::vector<EngineView> allDown = makeFleet(7, 2);
    allDown[7].state = EngineState::Down;
    allDown[8].state = EngineState::Down;
    EXPECT_TRUE(rule.plan(allDown, unknown, start + 2s).empty());
    EXPECT_EQ(rule.plan(allDown, unknown, start + 2500ms).size(), 2U);
}

TEST(SplitRule, ChangesOnlyServingEnginesAllowedTheRole)
{
    std::vector<EngineView> engines = makeFleet(3, 6);
    engines[3].allowed = RoleSet().with(TargetRole::Decode);
    engines[4].state = EngineState::Changing;
    SplitRule rule;
    rule.plan(engines, unknown, start);
    std::vector<RoleChange> changes = rule.plan(engines, unknown, start + 1s);
    ASSERT_EQ(changes.size(), 4U);
    EXPECT_EQ(changes.front().engine, 5U);
}

// Long prompts with short outputs, demand in engines: two of nine decode, so that one remains after a loss.
TEST(SplitRule, LongPromptsLeaveFewEnginesToDecode)
{
    SplitRule rule;
    EXPECT_EQ(rule.wantedDecode(9, 2, { 2.7, 0.54, true }), 2U);
    EXPECT_EQ(rule.wantedDecode(60, 15, { 26.4, 4.2, true }), 8U);
}

// Outputs of thousands of tokens, with prompts that share most of their prefix.
TEST(SplitRule, LongOutputsNeedMoreDecodeEngines)
{
    SplitRule rule;
    EXPECT_EQ(rule.wantedDecode(12, 3, { 2.5, 1.2, true }), 4U);
    EXPECT_EQ(rule.wantedDecode(12, 3, { 2.8, 1.92, true }), 5U);
    EXPECT_EQ(rule.wantedDecode(57, 14, { 12.2, 7, true }), 18U);
}

TEST(SplitRule, FollowsTheFirstDemandSoonAndLaterOnesOnlyUnderSustainedPressure)
{
    SplitDemand const chats { 2.8, 1.92, true };
    SplitRule rule = makeSettledRule(makeFleet(9, 3));
    EXPECT_TRUE(rule.plan(makeFleet(9, 3), chats, start + 2s).empty());
    EXPECT_TRUE(rule.plan(makeFleet(9, 3), chats, start + 4s).empty());
    EXPECT_EQ(rule.plan(makeFleet(9, 3), chats, start + 5s).size(), 1U) << "one at a time, although two are wanted";
    EXPECT_TRUE(rule.plan(makeFleet(8, 4), chats, start + 8s).empty());
    SplitDemand const more { 2.0, 4.0, true };
    EXPECT_TRUE(rule.plan(makeFleet(8, 4), more, start + 9s).empty());
    EXPECT_TRUE(rule.plan(makeFleet(8, 4), chats, start + 10s).empty()) << "the mix has reverted";
    EXPECT_TRUE(rule.plan(makeFleet(8, 4), more, start + 11s).empty());
    EXPECT_EQ(rule.plan(makeFleet(8, 4), more, start + 13500ms).size(), 1U);
    SplitDemand const less { 4.0, 3.0, true };
    for (int n = 14; n < 30; ++n)
        EXPECT_TRUE(rule.plan(makeFleet(7, 5), less, start + std::chrono::seconds(n)).empty()) << "another split would be better, but neither side is under pressure";
}

TEST(SplitRule, IgnoresNoise)
{
    SplitRule rule;
    for (double factor : { 0.92, 1.0, 1.08 }) {
        EXPECT_EQ(rule.wantedDecode(12, 5, { 2.8 * factor, 1.92 / factor, true }), 5U);
        EXPECT_EQ(rule.wantedDecode(9, 2, { 2.7 * factor, 0.54 / factor, true }), 2U);
    }
}

TEST(SplitRule, EachRoleKeepsAnEngine)
{
    SplitRule rule;
    EXPECT_EQ(rule.wantedDecode(9, 2, { 50, 0.01, true }), 2U);
    EXPECT_EQ(rule.wantedDecode(9, 2, { 0.01, 50, true }), 8U);
    EXPECT_EQ(rule.wantedDecode(2, 0, { 1, 1, true }), 1U);
}

// A third of the engines is 30 % slower: only the others finish the longest outputs in time.
TEST(SplitRule, FastEnginesDecode)
{
    SplitRule rule = makeSettledRule(makeFleet(9, 3));
    std::vector<EngineView> engines = makeFleet(9, 3);
    for (std::uint32_t n = 0; n < 12; ++n)
        engines[n].slowness = n % 3 == 2 ? 1.3 : 1;
    engines[0].slowness = 1.3;
    SplitDemand const chats { 2.8, 1.92, true };
    rule.plan(engines, chats, start + 2s);
    std::vector<RoleChange> changes = rule.plan(engines, chats, start + 5s);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].engine, 1U);
}

TEST(SplitRule, WithLongPromptsAndShortOutputsFastEnginesPrefill)
{
    for (bool putsFastWhereLongest : { false, true }) {
        SplitSettings settings;
        settings.putsFastWhereLongest = putsFastWhereLongest;
        SplitRule rule(settings);
        std::vector<EngineView> engines = makeFleet(6, 14);
        for (std::uint32_t n = 0; n < engines.size(); ++n)
            engines[n].slowness = n % 3 == 2 ? 0.6 : 1.35;
        SplitDemand const longPrompts { 8, 0.5, true, 2 };
        std::vector<RoleChange> changes;
        for (int n = 0; n < 100 && changes.empty(); ++n)
            changes = rule.plan(engines, longPrompts, start + n * 100ms);
        ASSERT_FALSE(changes.empty());
        for (RoleChange const& it : changes) {
            EXPECT_EQ(it.role, TargetRole::Prefill);
            EXPECT_EQ(engines[it.engine].slowness < 1, putsFastWhereLongest);
        }
    }
}

// Guards against streams that can go on nowhere, since the only engine of their release that decodes was lost.
TEST(SplitRule, AReleaseHasTwoEnginesThatDecodeOrNone)
{
    std::vector<EngineView> engines = makeFleet(7, 2);
    for (EngineView& engine : engines)
        engine.release = engine.engine % 2;
    SplitRule rule = makeSettledRule(engines);
    // One of each release decodes: another one joins the first, and the other then computes prompts.
    EXPECT_TRUE(rule.plan(engines, unknown, start + 2s).empty());
    std::vector<RoleChange> changes = rule.plan(engines, unknown, start + 5s);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().role, TargetRole::Decode);
    engines[changes.front().engine].role = TargetRole::Decode;
    std::uint32_t release = engines[changes.front().engine].release;
    EXPECT_TRUE(rule.plan(engines, unknown, start + 6s).empty());
    changes = rule.plan(engines, unknown, start + 9s);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().role, TargetRole::Prefill);
    EXPECT_NE(engines[changes.front().engine].release, release);
}

TEST(SplitRule, AnEngineThatIsMissingIsReplacedByOneOfItsRelease)
{
    std::vector<EngineView> engines = makeFleet(7, 2);
    for (EngineView& engine : engines)
        engine.release = engine.engine < 5 ? 1 : 2;
    SplitRule rule = makeSettledRule(engines);
    engines.back().state = EngineState::Down;
    engines.back().isLeaving = true;
    rule.plan(engines, unknown, start + 2s);
    std::vector<RoleChange> changes = rule.plan(engines, unknown, start + 5s);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(engines[changes.front().engine].release, 2U);
}

// Guards against a new engine of another release that takes the place of a lost one, and leaves each release with one that decodes.
TEST(SplitRule, ANewEngineOfAnotherReleaseDoesNotSplitThoseThatDecode)
{
    std::vector<EngineView> engines = makeFleet(7, 2);
    for (EngineView& engine : engines)
        engine.release = 1;
    SplitDemand demand { 6, 0.5, true };
    SplitRule rule;
    for (SplitRule::Time now = start; now < start + 10s; now += 100ms)
        EXPECT_TRUE(rule.plan(engines, demand, now).empty());
    engines.back().state = EngineState::Down;
    engines.back().isLeaving = true;
    EngineView fresh = engines.front();
    fresh.engine = 9;
    fresh.release = 2;
    fresh.isFresh = true;
    engines.push_back(fresh);
    std::vector<RoleChange> changes;
    for (SplitRule::Time now = start + 10s; now < start + 13s && changes.empty(); now += 100ms)
        changes = rule.plan(engines, demand, now);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(engines[changes.front().engine].release, 1U);
}

// Guards against engines of two releases that change their roles at each brief outage of one that decodes, and serve nobody meanwhile.
TEST(SplitRule, AnEngineOfAnotherReleaseDoesNotReplaceOneThatMayReturn)
{
    std::vector<EngineView> engines = makeFleet(7, 2);
    for (EngineView& engine : engines)
        engine.release = engine.engine < 5 ? 1 : 2;
    SplitRule rule = makeSettledRule(engines);
    engines.back().state = EngineState::Down;
    EXPECT_TRUE(rule.plan(engines, unknown, start + 2s).empty());
    EXPECT_TRUE(rule.plan(engines, unknown, start + 4s).empty());
    EXPECT_EQ(rule.plan(engines, unknown, start + 4600ms).size(), 1U);
}
