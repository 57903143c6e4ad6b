#include <LibRouting/DemandMeter.h>
#include <gtest/gtest.h>

namespace {

using namespace Routing;
using namespace std::chrono_literals;

// Records `rate` requests per second for `duration`, each with this work.
DemandMeter::Time noteRequests(DemandMeter& meter, DemandMeter::Time from, std::chrono::milliseconds duration, int rate, EngineDemand const& work)
{
    DemandMeter::Time now = from;
    for (; now < from + duration; now += 1'000ms / rate)
        meter.note("llm", work, now);
    return now;
}

}

TEST(DemandMeter, MeasuresDemandPerSecondFromTheStart)
{
    DemandMeter meter;
    EXPECT_EQ(meter.demand("llm", DemandMeter::Time(1s)), EngineDemand());
    DemandMeter::Time now = noteRequests(meter, DemandMeter::Time(1s), 1'500ms, 50, { 0.02, 2, 5'000 });
    EngineDemand demand = meter.demand("llm", now);
    EXPECT_NEAR(demand.promptEngines, 1.0, 0.1);
    EXPECT_NEAR(demand.outputs, 100, 10);
    EXPECT_NEAR(demand.kvTokens, 250'000, 25'000);
    EXPECT_NEAR(meter.meanPrompt("llm"), 0.02, 1e-6);
}

// The users' mix alternates between long prompts and long outputs every 2.8 s, which role changes cannot follow, and stays at
// another level for 14 s, which they can.
TEST(DemandMeter, SmoothsShortSwingsAndFollowsLongOnes)
{
    DemandMeter meter;
    DemandMeter::Time now { 1s };
    double minOutputs = 1e9;
    double maxOutputs = 0;
    for (int n = 0; n < 8; ++n) {
        now = noteRequests(meter, now, 2'800ms, n % 2 == 0 ? 34 : 12, { 0, 5, 0 });
        if (n < 4)
            continue;
        minOutputs = std::min(minOutputs, meter.demand("llm", now).outputs);
        maxOutputs = std::max(maxOutputs, meter.demand("llm", now).outputs);
    }
    EXPECT_LT(maxOutputs / minOutputs, 1.5) << "of a swing of 2.8 times";
    now = noteRequests(meter, now, 10'000ms, 60, { 0, 5, 0 });
    EXPECT_GT(meter.demand("llm", now).outputs, 200);
}

TEST(DemandMeter, DecaysWithoutRequests)
{
    DemandMeter meter;
    DemandMeter::Time now = noteRequests(meter, DemandMeter::Time(1s), 8s, 50, { 0.02, 2, 0 });
    EXPECT_LT(meter.demand("llm", now + 30s).outputs, 6);
}
