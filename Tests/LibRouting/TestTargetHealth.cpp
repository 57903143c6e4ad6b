#include <LibRouting/TargetHealth.h>
#include <gtest/gtest.h>

namespace {

using namespace Routing;
using namespace std::chrono_literals;

constexpr TargetHealth::Time start { 100s };

}

TEST(TargetHealth, AFailedConnectionClosesForLongerEachTime)
{
    TargetHealth health;
    health.note(1, TargetOutcome::Unreachable, start);
    EXPECT_TRUE(health.isClosed(1, start + 499ms));
    EXPECT_FALSE(health.isClosed(1, start + 500ms));
    EXPECT_FALSE(health.isClosed(2, start));
    health.note(1, TargetOutcome::Unreachable, start + 500ms);
    EXPECT_TRUE(health.isClosed(1, start + 1'499ms));
    EXPECT_FALSE(health.isClosed(1, start + 1'500ms));
    for (int n = 0; n < 20; ++n)
        health.note(1, TargetOutcome::Unreachable, start + 10s + n * 5s);
    EXPECT_FALSE(health.isClosed(1, start + 10s + 19 * 5s + 4s));
}

TEST(TargetHealth, RequestsThatFailTogetherCountOnce)
{
    TargetHealth health;
    for (int n = 0; n < 10; ++n)
        health.note(1, TargetOutcome::Unreachable, start + n * 1ms);
    EXPECT_FALSE(health.isClosed(1, start + 500ms));
}

TEST(TargetHealth, AnAnswerReopensATarget)
{
    TargetHealth health;
    health.note(1, TargetOutcome::Unreachable, start);
    health.note(1, TargetOutcome::Answered, start + 10ms);
    EXPECT_FALSE(health.isClosed(1, start + 20ms));
    EXPECT_TRUE(health.suspects(start + 20ms).empty());
}

TEST(TargetHealth, SingleBrokenAnswersDoNotCloseATarget)
{
    TargetHealth health;
    for (int n = 0; n < 10; ++n) {
        health.note(1, TargetOutcome::Broken, start);
        health.note(1, TargetOutcome::Broken, start);
        health.note(1, TargetOutcome::Answered, start);
    }
    EXPECT_FALSE(health.isClosed(1, start));
    for (int n = 0; n < 3; ++n)
        health.note(1, TargetOutcome::Broken, start);
    EXPECT_TRUE(health.isClosed(1, start));
}

TEST(TargetHealth, AReplacedTargetStaysClosed)
{
    TargetHealth health;
    health.note(1, TargetOutcome::Replaced, start);
    health.note(1, TargetOutcome::Answered, start);
    EXPECT_TRUE(health.isClosed(1, start + 1h));
    EXPECT_EQ(health.suspects(start + 1h).size(), 1U);
    health.forget(1);
    EXPECT_FALSE(health.isClosed(1, start));
}

TEST(TargetHealth, ATargetStaysSuspectedForAShortTimeAfterItReopens)
{
    TargetHealth health;
    health.note(1, TargetOutcome::Unreachable, start);
    EXPECT_EQ(health.suspects(start + 900ms).size(), 1U);
    EXPECT_TRUE(health.suspects(start + 1'000ms).empty());
}
