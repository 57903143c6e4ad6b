#include <LibRouting/OutlierFinder.h>
#include <gtest/gtest.h>
#include <random>

namespace {

using namespace Routing;
using namespace std::chrono_literals;
using Time = OutlierFinder::Time;

constexpr Time start { 100s };

// Records `n` requests at a target, the first `bad` of which fail.
void noteRequests(OutlierFinder& finder, std::uint64_t target, int n, int bad, Time now = start)
{
    for (int k = 0; k < n; ++k)
        finder.note(target, k >= bad, now);
}

}

TEST(OutlierFinder, ATargetThatFailsMoreThanOthersIsEjectedTemporarily)
{
    OutlierFinder finder;
    finder.setGroups({ { 1, 2, 3 } });
    noteRequests(finder, 1, 6, 5);
    noteRequests(finder, 2, 6, 0);
    noteRequests(finder, 3, 6, 1);
    std::vector<OutcomeCounts> found = finder.update(start);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].target, 1U);
    EXPECT_TRUE(finder.isOutlier(1, start + 999ms));
    EXPECT_FALSE(finder.isOutlier(1, start + 1s));
    EXPECT_FALSE(finder.isOutlier(2, start));
    EXPECT_TRUE(finder.update(start + 100ms).empty());
}

TEST(OutlierFinder, RepeatedFailuresLengthenTheEjectionUntilItResets)
{
    OutlierFinder finder;
    finder.setGroups({ { 1, 2 } });
    noteRequests(finder, 2, 30, 0);
    noteRequests(finder, 1, 6, 6);
    finder.update(start);
    noteRequests(finder, 1, 6, 6, start + 1s);
    EXPECT_EQ(finder.update(start + 1s).size(), 1U);
    EXPECT_TRUE(finder.isOutlier(1, start + 2'900ms));
    noteRequests(finder, 1, 6, 6, start + 20s);
    finder.update(start + 20s);
    EXPECT_FALSE(finder.isOutlier(1, start + 21s));
}

TEST(OutlierFinder, NoTargetIsEjectedWhereAllFail)
{
    OutlierFinder finder;
    finder.setGroups({ { 1, 2, 3, 4 } });
    for (std::uint64_t target : { 1, 2, 3, 4 })
        noteRequests(finder, target, 12, 8);
    EXPECT_TRUE(finder.update(start).empty());
}

TEST(OutlierFinder, AGroupKeepsHalfOfItsTargets)
{
    OutlierFinder finder;
    finder.setGroups({ { 1, 2, 3, 4, 5 }, { 6 } });
    noteRequests(finder, 5, 400, 0);
    for (std::uint64_t target : { 1, 2, 3, 4, 6 })
        noteRequests(finder, target, 10, 10);
    EXPECT_EQ(finder.update(start).size(), 2U);
    EXPECT_FALSE(finder.isOutlier(6, start));
}

// With 90 daemons, each sends a target one request in ten seconds; only the combined counts show that it fails.
TEST(OutlierFinder, CombinesTheCountsOfManyDaemons)
{
    OutlierFinder finder;
    finder.setGroups({ { 1, 2, 3 } });
    for (int daemon = 0; daemon < 8; ++daemon) {
        OutlierFinder peer;
        peer.note(1, false, start);
        peer.note(2, true, start);
        peer.note(3, true, start);
        finder.merge(peer.takeUnreported(), start);
        EXPECT_TRUE(peer.takeUnreported().empty());
    }
    EXPECT_EQ(finder.update(start).size(), 1U);
}

TEST(OutlierFinder, IgnoresOutcomesOutsideTheWindow)
{
    OutlierFinder finder;
    finder.setGroups({ { 1, 2 } });
    noteRequests(finder, 2, 30, 0);
    noteRequests(finder, 1, 3, 3);
    noteRequests(finder, 1, 3, 3, start + 6s);
    EXPECT_TRUE(finder.update(start + 6s).empty());
}

// A service with a base failure rate of 14 %, about 17 requests per target and window, for ten minutes.
TEST(OutlierFinder, RandomFailuresSeldomEjectATarget)
{
    std::mt19937_64 rng(1);
    std::bernoulli_distribution fails(0.14);
    OutlierFinder finder;
    finder.setGroups({ { 1, 2, 3 } });
    std::size_t found = 0;
    for (int n = 0; n < 6'000; ++n) {
        Time now = start + n * 100ms;
        finder.note(1 + static_cast<std::uint64_t>(n) % 3, !fails(rng), now);
        found += finder.update(now).size();
    }
    EXPECT_LE(found, 3U);
}
