#include <LibLoad/LoadPlan.h>
#include <LibLoad/ProcessUsage.h>
#include <LibLoad/Summary.h>
#include <LibStandIn/ExpectedText.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

using std::chrono::milliseconds;

TEST(LoadPlan, ArrivalsKeepTheRateAndTheMixShifts)
{
    Load::PlanSettings settings;
    settings.requestsPerSecond = 1000;
    std::vector<Load::Arrival> arrivals = Load::planArrivals(settings);
    EXPECT_NEAR(static_cast<double>(arrivals.size()), 10000, 500);
    EXPECT_EQ(arrivals, Load::planArrivals(settings)) << "the same seed gives the same arrivals";
    for (Load::Arrival const& it : arrivals)
        ASSERT_EQ(it.shape, it.at < milliseconds(5000) ? settings.longPrompt : settings.shortQuestion);
    settings.limit = 7;
    EXPECT_EQ(Load::planArrivals(settings).size(), 7U);
}

RC_GTEST_PROP(LoadPlan, PromptsHaveTheirSizeAndDiffer, (std::uint16_t index))
{
    std::uint32_t tokens = *rc::gen::inRange(10U, 3000U);
    RC_ASSERT(StandIn::countTokens(Load::promptOf(1, index, tokens)) == tokens);
    RC_ASSERT(Load::promptOf(1, index, tokens) != Load::promptOf(1, index + 1U, tokens));
    RC_ASSERT(Load::promptOf(1, index, tokens) != Load::promptOf(2, index, tokens));
}

TEST(Summary, CountsEndingsAndTakesPercentilesOfWholeAnswers)
{
    Load::Summary summary(milliseconds(50));
    for (int i = 1; i <= 101; ++i) {
        Load::Sample sample;
        sample.ending = Load::Ending::Whole;
        sample.firstToken = milliseconds(i);
        sample.total = milliseconds(i);
        sample.tokens = 2;
        summary.add(sample);
    }
    Load::Sample cut;
    cut.ending = Load::Ending::Cut;
    cut.total = milliseconds(10000);
    EXPECT_FALSE(summary.hasBadAnswers());
    summary.add(cut);
    EXPECT_TRUE(summary.hasBadAnswers());
    EXPECT_EQ(summary.sent(), 102U);
    EXPECT_EQ(summary.inTime(), 50U);
    EXPECT_FLOAT_EQ(static_cast<float>(summary.firstTokenMs(0.5)), 51);
    EXPECT_FLOAT_EQ(static_cast<float>(summary.totalMs(0.99)), 100);
    EXPECT_EQ(summary.toJson(std::chrono::seconds(2)).at("goodput_per_s").as_double(), 25);
}

TEST(ProcessUsage, ReadsThisProcess)
{
    Core::Result<Load::ProcessUsage> usage = Load::ProcessUsage::read(static_cast<std::uint64_t>(getpid()));
    ASSERT_TRUE(usage);
    EXPECT_GT(usage.value().residentBytes, 1U << 20U);
    EXPECT_TRUE(Load::ProcessUsage::read(0).has_error());
}
