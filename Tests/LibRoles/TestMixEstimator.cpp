#include <LibRoles/MixEstimator.h>
#include <gtest/gtest.h>

namespace {

using Roles::MixEstimator;

Roles::MixCounts counts(double shortRequests, double longRequests)
{
    return { Roles::ClassCounts { shortRequests, 200 * shortRequests, shortRequests, 400 * shortRequests },
        Roles::ClassCounts { longRequests, 8000 * longRequests, longRequests, 140 * longRequests } };
}

}

TEST(MixEstimator, IsUnbiasedFromTheFirstWindow)
{
    MixEstimator mix({}, {});
    for (int i = 0; i < 5; ++i)
        mix.add(counts(10, 2), 1);
    EXPECT_NEAR(mix.now()[0].requests, 10, 1e-9);
    EXPECT_NEAR(mix.average()[1].promptTokens, 16000, 1e-6);
}

TEST(MixEstimator, FastEstimateTracksWhileSlowEstimateLags)
{
    MixEstimator mix({}, {});
    for (int i = 0; i < 200; ++i)
        mix.add(counts(10, 0), 1);
    for (int i = 0; i < 30; ++i)
        mix.add(counts(0, 5), 1);
    EXPECT_GT(mix.shareNow(), 0.8);
    EXPECT_LT(mix.shareAverage(), 0.5);
}

TEST(MixEstimator, LearnsThePhaseLength)
{
    MixEstimator mix({}, {});
    EXPECT_GE(mix.remainingSeconds(), 200);
    for (int i = 0; i < 400; ++i)
        mix.add(i / 20 % 2 ? counts(10, 0) : counts(1, 5), 1);
    EXPECT_LE(mix.remainingSeconds(), 30);
}

TEST(MixEstimator, LearnsOutputsFromEndedRequests)
{
    MixEstimator mix({}, {});
    for (int i = 0; i < 100; ++i)
        mix.add(counts(10, 2), 1);
    EXPECT_NEAR(mix.now()[0].outputTokens / mix.now()[0].requests, 400, 5);
    EXPECT_NEAR(mix.now()[1].outputTokens / mix.now()[1].requests, 140, 5);
}
