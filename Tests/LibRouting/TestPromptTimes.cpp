// When a prompt's answer is overdue: lost answers are noticed, busy targets are waited for.

#include <LibRouting/PromptTimes.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace Routing;
using namespace std::chrono_literals;

constexpr PromptTimes::Time now { 100s };

}

TEST(PromptTimes, ALostAnswerIsNoticedAndOneOfABusyTargetIsWaitedFor)
{
    PromptTimes times;
    EXPECT_FALSE(times.overdueAfter("model", 0.2, now));
    for (int n = 0; n < 100; ++n)
        times.note("model", 0.2, n % 10 == 0 ? 0.3 : 0.2, now);
    std::chrono::milliseconds overdue = *times.overdueAfter("model", 0.2, now);
    EXPECT_GT(overdue, 300ms);
    EXPECT_LT(overdue, 1s);
    EXPECT_GT(*times.overdueAfter("model", 2, now), 4s) << "work is open there";
    EXPECT_FALSE(times.overdueAfter("other", 0.2, now));
    EXPECT_FALSE(times.overdueAfter("model", 0.2, now + 5min)) << "of another time";
}

// Prompts that were given up count by the time until then, so that targets that have all turned slow are not sent everything twice.
RC_GTEST_PROP(PromptTimes, RepeatsCeaseWhenAllTargetsHaveTurnedSlow, ())
{
    double slowness = *rc::gen::inRange(3, 40);
    PromptTimes times;
    for (int n = 0; n < 256; ++n)
        times.note("model", 0.2, 0.2, now);
    int givenUp = 0;
    for (int n = 0; n < 1'000; ++n) {
        double overdue = std::chrono::duration<double>(*times.overdueAfter("model", 0.2, now)).count();
        givenUp += overdue < 0.2 * slowness ? 1 : 0;
        times.note("model", 0.2, std::min(overdue, 0.2 * slowness), now);
    }
    RC_ASSERT(givenUp <= 100);
}
