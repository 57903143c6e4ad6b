#include <LibFleet/ChangingTargets.h>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using Fleet::ChangingTargets;
using Fleet::Time;

constexpr Time start { 100s };
// Three hundred daemons speak every second and a half, and one word may be lost.
constexpr std::chrono::milliseconds interval { 1'475 };
constexpr std::chrono::milliseconds lifetime { 3 * interval };

}

TEST(ChangingTargets, StayClosedBetweenTheWordsOfAPeerThatSpeaksSeldom)
{
    ChangingTargets changing;
    EXPECT_TRUE(changing.hear("planner", { 7, 8 }, start, lifetime));
    EXPECT_FALSE(changing.expire(start + 2 * interval));
    EXPECT_TRUE(changing.contains(7));
    EXPECT_FALSE(changing.hear("planner", { 7, 8 }, start + 2 * interval, lifetime));
    EXPECT_FALSE(changing.expire(start + 4 * interval));
}

TEST(ChangingTargets, OpenAsSoonAsThePeerSaysThatTheyAreDone)
{
    ChangingTargets changing;
    changing.hear("planner", { 7, 8 }, start, lifetime);
    EXPECT_FALSE(changing.hear("other", {}, start + 1s, lifetime)) << "another peer's silence says nothing";
    EXPECT_TRUE(changing.hear("planner", { 8 }, start + 1s, lifetime));
    EXPECT_FALSE(changing.contains(7));
    EXPECT_TRUE(changing.contains(8));
    EXPECT_TRUE(changing.settle(8));
    EXPECT_FALSE(changing.settle(8));
}

TEST(ChangingTargets, OpenWhenThePeerIsNotHeardAnyMore)
{
    ChangingTargets changing;
    changing.hear("planner", { 7 }, start, lifetime);
    EXPECT_FALSE(changing.expire(start + lifetime - 1ms));
    EXPECT_TRUE(changing.expire(start + lifetime));
    EXPECT_FALSE(changing.contains(7));
}
