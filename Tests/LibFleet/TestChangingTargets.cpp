#include <LibFleet/ChangingTargets.h>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using Fleet::ChangingTargets;
using Fleet::Time;

constexpr Time start { 100s };
// At 300 daemons a beacon is sent every 1.5 s, and one may be lost.
constexpr std::chrono::milliseconds interval { 1'475 };
constexpr std::chrono::milliseconds lifetime { 3 * interval };

}

TEST(ChangingTargets, StayClosedBetweenInfrequentReportsOfAPeer)
{
    ChangingTargets changing;
    EXPECT_TRUE(changing.hear("planner", { 7, 8 }, start, lifetime));
    EXPECT_FALSE(changing.expire(start + 2 * interval));
    EXPECT_TRUE(changing.contains(7));
    EXPECT_FALSE(changing.hear("planner", { 7, 8 }, start + 2 * interval, lifetime));
    EXPECT_FALSE(changing.expire(start + 4 * interval));
}

TEST(ChangingTargets, OpenAsSoonAsThePeerReportsCompletion)
{
    ChangingTargets changing;
    changing.hear("planner", { 7, 8 }, start, lifetime);
    EXPECT_FALSE(changing.hear("other", {}, start + 1s, lifetime)) << "an empty report from another peer changes nothing";
    EXPECT_TRUE(changing.hear("planner", { 8 }, start + 1s, lifetime));
    EXPECT_FALSE(changing.contains(7));
    EXPECT_TRUE(changing.contains(8));
    EXPECT_TRUE(changing.settle(8));
    EXPECT_FALSE(changing.settle(8));
}

TEST(ChangingTargets, OpenWhenThePeerStopsReporting)
{
    ChangingTargets changing;
    changing.hear("planner", { 7 }, start, lifetime);
    EXPECT_FALSE(changing.expire(start + lifetime - 1ms));
    EXPECT_TRUE(changing.expire(start + lifetime));
    EXPECT_FALSE(changing.contains(7));
}

// Guards against planners that count an engine in its former role while another daemon's order is being carried out.
TEST(ChangingTargets, TellTheNewRoleThatThePeerReports)
{
    ChangingTargets changing;
    changing.hear("planner", { 7, 8 }, { { 7, Routing::TargetRole::Decode } }, start, lifetime);
    EXPECT_EQ(changing.roleOf(7), Routing::TargetRole::Decode);
    EXPECT_FALSE(changing.roleOf(8)) << "the peer's version reports no roles";
    EXPECT_TRUE(changing.contains(8));
    changing.settle(7);
    EXPECT_FALSE(changing.roleOf(7));
}
