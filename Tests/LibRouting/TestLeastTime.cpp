// Targets of different speeds: which of them get work, and how much, at little and at much load.

#include <LibRouting/LeastTime.h>
#include <cmath>
#include <gtest/gtest.h>
#include <limits>
#include <numeric>
#include <rapidcheck/gtest.h>

namespace {

using namespace Routing;

double sumOf(std::vector<double> const& amounts)
{
    return std::accumulate(amounts.begin(), amounts.end(), 0.0);
}

// Requests in the system, which by Little's law are the rate times the mean time.
double requestsWith(std::vector<double> const& speeds, std::vector<double> const& work)
{
    double requests = 0;
    for (std::size_t n = 0; n < speeds.size(); ++n)
        requests += work[n] < speeds[n] ? work[n] / (speeds[n] - work[n]) : 1e9;
    return requests;
}

std::vector<double> anySpeeds()
{
    return *rc::gen::resize(30, rc::gen::nonEmpty(rc::gen::container<std::vector<double>>(rc::gen::map(rc::gen::inRange(20, 500), [](int n) { return n / 100.0; }))));
}

}

TEST(LeastTime, AFewPromptsGoToTheFastThirdOnly)
{
    std::vector<double> work = leastTimeWork(std::vector<double> { 0.7, 1.7, 0.7, 0.7, 1.7, 0.7 }, 0.6);
    EXPECT_NEAR(work[1], 0.3, 1e-9);
    EXPECT_NEAR(work[4], 0.3, 1e-9);
    EXPECT_EQ(work[0] + work[2] + work[3] + work[5], 0);
}

TEST(LeastTime, ABurstReachesTheSlowOnesToo)
{
    std::vector<double> work = leastTimeWork(std::vector<double> { 0.7, 1.7, 0.7, 0.7, 1.7, 0.7 }, 5);
    EXPECT_GT(work[0], 0.3);
    EXPECT_LT(work[0], 0.7);
    EXPECT_NEAR(sumOf(work), 5, 1e-9);
}

TEST(LeastTime, WithoutAKnownLoadOrWithNextToNoneOrTooMuchEachGetsThePartOfItsSpeed)
{
    std::vector<double> speeds { 0.5, 2, 1 };
    for (double load : { 0.0, -1.0, 1e-300, 1e-16, std::nan(""), 3.4, 1e9, std::numeric_limits<double>::infinity() })
        EXPECT_EQ(leastTimeWork(speeds, load), speeds) << load;
    EXPECT_TRUE(leastTimeWork({}, 1).empty());
}

TEST(LeastTime, OthersWaitTheLongerForOneMoreSecondOfWorkTheLessTimeIsIdle)
{
    EXPECT_EQ(delayOfOthers(0), 0);
    EXPECT_NEAR(delayOfOthers(0.5), 2, 1e-9);
    EXPECT_NEAR(delayOfOthers(0.8), 20, 1e-9);
    EXPECT_TRUE(std::isinf(delayOfOthers(1)) && std::isinf(delayOfOthers(3)));
}

RC_GTEST_PROP(LeastTime, NoLittleWorkMovedFromOneTargetToAnotherLowersTheTime, ())
{
    std::vector<double> speeds = anySpeeds();
    double load = sumOf(speeds) * *rc::gen::inRange(1, 94) / 100.0;
    std::vector<double> work = leastTimeWork(speeds, load);
    RC_ASSERT(std::abs(sumOf(work) - load) < 1e-6 * load);
    double least = requestsWith(speeds, work);
    std::size_t from = *rc::gen::inRange<std::size_t>(0, speeds.size());
    std::size_t to = *rc::gen::inRange<std::size_t>(0, speeds.size());
    double moved = work[from] / 10;
    work[from] -= moved;
    work[to] += moved;
    RC_ASSERT(requestsWith(speeds, work) >= least * (1 - 1e-9));
}

RC_GTEST_PROP(LeastTime, EqualTargetsGetEqualWorkAtAnyLoad, ())
{
    std::size_t count = *rc::gen::inRange<std::size_t>(1, 300);
    std::vector<double> work = leastTimeWork(std::vector<double>(count, 1.0), static_cast<double>(count) * *rc::gen::inRange(0, 120) / 100.0);
    for (double it : work)
        RC_ASSERT(it == work.front() && it > 0);
}
