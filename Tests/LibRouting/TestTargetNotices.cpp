#include <LibRouting/TargetNotices.h>
#include <gtest/gtest.h>

namespace {

using namespace Routing;
using namespace std::chrono_literals;

constexpr TargetNotices::Time origin { 1'000s };
constexpr std::uint64_t target = 7;

}

TEST(TargetNotices, ALeavingTargetStaysClosed)
{
    TargetNotices notices;
    EXPECT_FALSE(notices.note(target, {}, origin));
    EXPECT_FALSE(notices.isClosed(target, origin));
    EXPECT_TRUE(notices.note(target, { true, {} }, origin));
    EXPECT_FALSE(notices.note(target, { true, {} }, origin + 1s)) << "already recorded";
    EXPECT_TRUE(notices.isClosed(target, origin + 1h));
    EXPECT_FALSE(notices.opensAt(target, origin));
    EXPECT_FALSE(notices.isClosed(8, origin));
}

// Guards against losing a notice when the store's list is briefly unavailable.
TEST(TargetNotices, ANoticeOutlivesALapseOfTheTargetsEntry)
{
    TargetNotices notices;
    notices.note(target, { true, {} }, origin);
    notices.keepListed({}, origin + 1s);
    notices.keepListed({ target }, origin + 30s);
    notices.keepListed({}, origin + 70s);
    EXPECT_TRUE(notices.isClosed(target, origin + 100s));
    notices.keepListed({}, origin + 131s);
    EXPECT_FALSE(notices.isClosed(target, origin + 131s)) << "unlisted for too long";
}

TEST(TargetNotices, OverlappingPausesEndWithTheLongerOne)
{
    TargetNotices notices;
    notices.note(target, { false, 2s }, origin);
    notices.note(target, { false, 500ms }, origin + 100ms);
    EXPECT_TRUE(notices.isClosed(target, origin + 1'999ms));
    EXPECT_EQ(notices.opensAt(target, origin + 1s), origin + 2s);
    EXPECT_FALSE(notices.isClosed(target, origin + 2s));
    EXPECT_FALSE(notices.opensAt(target, origin + 2s));
}

TEST(TargetNotices, LimitsThePause)
{
    TargetNotices notices;
    notices.note(target, { false, std::chrono::milliseconds::max() / 2 }, origin);
    EXPECT_TRUE(notices.isClosed(target, origin + 30min));
    EXPECT_FALSE(notices.isClosed(target, origin + 1h));
}
