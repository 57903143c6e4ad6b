// Targets of different speeds: from when on homes are divided by them, and among which.

#include <LibRouting/HomePlan.h>
#include <gtest/gtest.h>

namespace {

using namespace Routing;
using namespace std::chrono_literals;
using Time = HomePlan::Time;

// Every third target is fast.
std::vector<HomePlan::Target> targetsOf(std::size_t count, double timesAsFast)
{
    std::vector<HomePlan::Target> targets;
    for (std::size_t n = 0; n < count; ++n)
        targets.push_back({ 1 + n, n % 3 == 2 ? 1 / timesAsFast : 1 });
    return targets;
}

std::size_t homes(HomePlan const& plan, std::size_t count)
{
    std::size_t homes = 0;
    for (std::uint64_t key = 1; key <= count; ++key)
        homes += plan.weight(key) > 0 ? 1 : 0;
    return homes;
}

}

TEST(HomePlan, AtLittleLoadTheFastThirdIsHomeToAllPartsAndInABurstTheOthersAreToo)
{
    HomePlan plan;
    Time now { 100s };
    plan.update(targetsOf(30, 2.4), 4, now);
    EXPECT_TRUE(plan.isUneven());
    EXPECT_EQ(homes(plan, 30), 10U);
    EXPECT_GT(plan.weight(3), 0);
    EXPECT_NEAR(*plan.utilisation(), 4 / 28.3, 0.03);
    plan.update(targetsOf(30, 2.4), 35, now + 1s);
    EXPECT_EQ(homes(plan, 30), 30U);
    EXPECT_GT(plan.weight(3), 2.4 * plan.weight(1)) << "not more than by its speed";
}

TEST(HomePlan, WhileTheLoadIsNotKnownNobodyTakesTheFleetForIdle)
{
    HomePlan plan;
    plan.update(targetsOf(30, 2.4), std::nullopt, Time { 100s });
    EXPECT_EQ(homes(plan, 30), 30U);
    EXPECT_FALSE(plan.utilisation());
}

TEST(HomePlan, DaemonsThatHaveSeenDifferentSpeedsAgreeAgain)
{
    // One saw an even fleet so far, the other an uneven one.
    HomePlan one;
    HomePlan other;
    Time now { 100s };
    one.update(targetsOf(30, 1), 4, now);
    other.update(targetsOf(30, 4), 4, now);
    for (double timesAsFast : { 2.4, 1.3 }) {
        now += 1s;
        one.update(targetsOf(30, timesAsFast), 4, now);
        other.update(targetsOf(30, timesAsFast), 4, now);
        EXPECT_EQ(one.isUneven(), timesAsFast > 2) << timesAsFast;
        EXPECT_EQ(other.isUneven(), timesAsFast > 2) << timesAsFast;
        EXPECT_EQ(homes(one, 30), homes(other, 30));
    }
}

TEST(HomePlan, OneSlowOrFastTargetMovesNoHomeInSmallFleetsEither)
{
    for (std::size_t count : { 1U, 2U, 3U, 5U, 9U, 40U }) {
        for (double factor : { 0.25, 4.0 }) {
            std::vector<HomePlan::Target> targets = targetsOf(count, 1.3);
            targets.front().factor = factor;
            HomePlan plan;
            plan.update(targets, 1, Time { 100s });
            EXPECT_FALSE(plan.isUneven()) << count << " " << factor;
        }
    }
    HomePlan plan;
    plan.update({}, 1, Time { 100s });
    EXPECT_FALSE(plan.isUneven());
    EXPECT_EQ(plan.weight(1), 0);
}

TEST(HomePlan, IsDueTwiceASecond)
{
    HomePlan plan;
    Time now { 100s };
    EXPECT_TRUE(plan.isDue(now));
    plan.update(targetsOf(6, 1), 1, now);
    EXPECT_FALSE(plan.isDue(now + 499ms));
    EXPECT_TRUE(plan.isDue(now + 500ms));
}
