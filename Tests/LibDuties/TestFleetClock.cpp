#include <LibDuties/FleetClock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace std::chrono_literals;
using Duties::FleetClock;
using Duties::WallTime;

FleetClock::BootTime const boot { 100s };
WallTime const noon { std::chrono::hours(24 * 365 * 50) };

}

TEST(FleetClock, UsesItsOwnWallClockWithoutPeers)
{
    FleetClock clock;
    clock.observeOwn(noon, boot);
    EXPECT_EQ(clock.at(boot + 3s), noon + 3s);
}

// Guards against usage windows that follow the jumps of one VM's wall clock.
TEST(FleetClock, IgnoresAMinorityOfWrongClocks)
{
    FleetClock clock;
    clock.observeOwn(noon + 2'400ms, boot);
    for (int n = 0; n < 6; ++n)
        clock.observePeer("peer-" + std::to_string(n), noon + (n == 0 ? 2'400ms : std::chrono::milliseconds(n)), boot);
    EXPECT_LE(clock.at(boot) - noon, 5ms);
    EXPECT_GE(clock.at(boot) - noon, 0ms);
    // The own clock returns to the correct time and another one jumps back.
    clock.observeOwn(noon + 1s, boot + 1s);
    clock.observePeer("peer-5", noon + 1s - 30s, boot + 1s);
    EXPECT_LE(clock.at(boot + 1s) - (noon + 1s), 5ms);
    EXPECT_GE(clock.at(boot + 1s) - (noon + 1s), 0ms);
}

TEST(FleetClock, PartitionedDaemonKeepsFleetTimeUntilPeersExpire)
{
    FleetClock clock;
    clock.observePeer("peer-1", noon, boot);
    clock.observePeer("peer-2", noon, boot);
    clock.observeOwn(noon + 60s + 5s, boot + 60s);
    EXPECT_EQ(clock.at(boot + 60s), noon + 60s);
    clock.observeOwn(noon + 300s + 5s, boot + 300s);
    EXPECT_EQ(clock.clocks(), 1U);
    EXPECT_EQ(clock.at(boot + 300s), noon + 300s + 5s);
}

RC_GTEST_PROP(FleetClock, StaysWithinTheRangeOfAMajorityOfGoodClocks, ())
{
    int good = *rc::gen::inRange(2, 60);
    int bad = *rc::gen::inRange(0, good);
    FleetClock clock;
    clock.observeOwn(noon, boot);
    for (int n = 0; n < good; ++n)
        clock.observePeer("good-" + std::to_string(n), noon + std::chrono::milliseconds(*rc::gen::inRange(-20, 21)), boot);
    for (int n = 0; n < bad; ++n)
        clock.observePeer("bad-" + std::to_string(n), noon + std::chrono::milliseconds(*rc::gen::inRange(-10'000, 10'001)), boot);
    std::chrono::milliseconds off = clock.at(boot) - noon;
    RC_ASSERT((off >= -20ms && off <= 20ms));
}
