// Too little room: who is refused at once by the fleet's queue, and when they come back.

#include <LibAdmission/FleetQueue.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace {

using namespace Admission;
using namespace std::chrono_literals;

/// One of six daemons with the same demand on 18 places that work off 400 requests a second.
class Daemon {
public:
    explicit Daemon(std::map<std::string, double> demands, double part = 1 / 6.0) { setDemands(std::move(demands), part); }

    void setDemands(std::map<std::string, double> demands, double part = 1 / 6.0)
    {
        FleetQueueState state { { std::move(demands), 0, 18, 6 }, 0, 400 };
        for (std::pair<std::string const, double> const& it : state.demand.byOrganisation)
            state.demand.sum += it.second;
        state.ownDemand = part * state.demand.sum;
        m_queue.update("app", state, now);
    }

    std::optional<FleetRefusal> enter(std::string const& organisation, std::uint64_t key, std::chrono::milliseconds patience = 1s)
    {
        return m_queue.enter({ "app", organisation, key, now + patience }, static_cast<double>(key * 2654435761U % 1000) / 1000, now);
    }

    TimePoint now { 100s };

private:
    FleetQueue m_queue { FleetQueue::create({}).value() };
};

}

TEST(FleetQueue, ABurstOfOneClassInThreeZonesIsRefusedAtOnceWhereItCannotStartInTime)
{
    Daemon daemon({ { "org", 300 } });
    EXPECT_FALSE(daemon.enter("org", 1)) << "the fleet works 400 off in a second";
    EXPECT_TRUE(daemon.enter("org", 2, 500ms));
    daemon.setDemands({ { "org", 600 } });
    std::optional<FleetRefusal> refusal = daemon.enter("org", 3);
    ASSERT_TRUE(refusal);
    EXPECT_NEAR(refusal->ahead, 582, 1);
    EXPECT_FALSE(daemon.enter("org", 4, 2s)) << "it has the time";
    // What one daemon lets in between two reports counts, too.
    Daemon other({ { "org", 400 } });
    int entered = 0;
    for (std::uint64_t key = 10; key < 60; ++key)
        entered += other.enter("org", key) ? 0 : 1;
    EXPECT_EQ(entered, 18);
}

TEST(FleetQueue, AFloodIsRefusedBeforeThoseThatAskForLittle)
{
    Daemon daemon({ { "flood", 600 }, { "small", 20 }, { "middle", 150 } });
    EXPECT_TRUE(daemon.enter("flood", 1));
    EXPECT_FALSE(daemon.enter("small", 2));
    EXPECT_FALSE(daemon.enter("middle", 3));
    EXPECT_FALSE(daemon.enter("new", 4));
}

TEST(FleetQueue, AllThatWereRefusedInTheSameSecondComeBackOneAfterTheOther)
{
    Daemon daemon({ { "org", 420 } });
    std::vector<std::chrono::milliseconds> returns;
    for (std::uint64_t key = 1; key <= 20; ++key) {
        std::optional<FleetRefusal> refusal = daemon.enter("org", key);
        ASSERT_TRUE(refusal);
        returns.push_back(refusal->retryAfter);
    }
    // This daemon's part is a sixth of 400 a second, one in 15 ms, so that 20 take 300 ms.
    std::vector<std::chrono::milliseconds> sorted = returns;
    std::sort(sorted.begin(), sorted.end());
    EXPECT_GE(sorted.back() - sorted.front(), 270ms);
    for (std::size_t n = 5; n < sorted.size(); ++n)
        EXPECT_GE(sorted[n] - sorted[n - 5], 50ms) << "five take 75 ms";
    EXPECT_LE(sorted.back(), 334ms) << "callers wait for a third of their time";
    // They do not come back together if the time is too short for all of them either.
    std::set<std::int64_t> late;
    for (std::uint64_t key = 100; key < 200; ++key)
        late.insert(daemon.enter("org", key)->retryAfter.count());
    EXPECT_GT(late.size(), 60U);
}

TEST(FleetQueue, WhoRepeatsAtOnceGainsNothingAndTakesNothing)
{
    Daemon daemon({ { "org", 420 } });
    std::chrono::milliseconds first = daemon.enter("org", 1)->retryAfter;
    std::chrono::milliseconds second = daemon.enter("org", 2)->retryAfter;
    for (int n = 0; n < 50; ++n) {
        daemon.now += 1ms;
        std::optional<FleetRefusal> again = daemon.enter("org", 1, 1s);
        if (daemon.now - TimePoint(100s) < first) {
            ASSERT_TRUE(again);
            EXPECT_EQ(again->retryAfter, first - (daemon.now - TimePoint(100s))) << "the same time is told again";
        }
    }
    // The other's turn has not moved, nor is its place taken by someone new when it comes back in its turn.
    daemon.now = TimePoint(100s) + std::max<std::chrono::milliseconds>(second, 50ms);
    daemon.setDemands({ { "org", 417 } });
    EXPECT_TRUE(daemon.enter("org", 3));
    EXPECT_FALSE(daemon.enter("org", 2));
}

TEST(FleetQueue, ThoseThatComeBackInTheirTurnGoBeforeNewOnes)
{
    Daemon daemon({ { "org", 420 } });
    std::chrono::milliseconds due = daemon.enter("org", 1)->retryAfter;
    ASSERT_TRUE(daemon.enter("org", 2));
    daemon.now += due;
    daemon.setDemands({ { "org", 416 } });
    EXPECT_TRUE(daemon.enter("org", 3)) << "the room is for those that were refused";
    EXPECT_FALSE(daemon.enter("org", 1));
    daemon.setDemands({ { "org", 10 } });
    EXPECT_FALSE(daemon.enter("org", 4)) << "free places are for all";
}
