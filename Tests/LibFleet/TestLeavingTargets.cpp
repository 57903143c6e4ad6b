#include <LibFleet/LeavingTargets.h>
#include <gtest/gtest.h>

namespace {

using namespace Fleet;
using namespace std::chrono_literals;

constexpr Time origin { 1'000s };

}

TEST(LeavingTargets, RelaysOnlyItsOwnObservationsToPeers)
{
    LeavingTargets targets;
    EXPECT_TRUE(targets.noteOwn(1));
    EXPECT_FALSE(targets.noteOwn(1));
    EXPECT_TRUE(targets.hear({ 1, 2 }));
    EXPECT_FALSE(targets.hear({ 1, 2 }));
    EXPECT_TRUE(targets.contains(1) && targets.contains(2));
    EXPECT_FALSE(targets.contains(3));
    EXPECT_EQ(targets.own(), std::vector<std::uint64_t> { 1 });
    EXPECT_TRUE(targets.noteOwn(2)) << "this daemon now relays it, too";
}

// Guards against reusing a leaving target because its entry lapsed and reappeared while the store still lists it as ready.
TEST(LeavingTargets, KeepsOneWhoseEntryLapsesForAWhile)
{
    LeavingTargets targets;
    targets.noteOwn(1);
    targets.keepListed({}, origin);
    EXPECT_TRUE(targets.own().empty()) << "unlisted targets receive no requests";
    targets.keepListed({ 1 }, origin + 30s);
    EXPECT_TRUE(targets.contains(1));
    EXPECT_EQ(targets.own().size(), 1U);
    targets.keepListed({}, origin + 40s);
    targets.keepListed({}, origin + 101s);
    EXPECT_FALSE(targets.contains(1));
}
