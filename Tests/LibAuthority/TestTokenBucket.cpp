#include <LibAuthority/TokenBucket.h>
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace Authority {

using std::chrono::seconds;

TEST(TokenBucket, EnforcesItsRate)
{
    Time start;
    TokenBucket bucket(6, 2, start);
    EXPECT_TRUE(bucket.tryConsume(start));
    EXPECT_TRUE(bucket.tryConsume(start));
    EXPECT_FALSE(bucket.tryConsume(start));
    EXPECT_FALSE(bucket.tryConsume(start + seconds(9)));
    EXPECT_EQ(bucket.untilNext(start + seconds(9)), seconds(1));
    EXPECT_TRUE(bucket.tryConsume(start + seconds(10)));
    bucket.refund(start + seconds(10));
    EXPECT_TRUE(bucket.tryConsume(start + seconds(10)));
    EXPECT_FALSE(bucket.tryConsume(start + seconds(10)));
    bucket.setRate(0, start + seconds(10));
    EXPECT_EQ(bucket.untilNext(start + seconds(100)), Duration::max());
    EXPECT_FALSE(bucket.tryConsume(start + seconds(100'000)));
}

/// The holders of all pools, each with its share, together stay within the budget over any period.
RC_GTEST_PROP(TokenBucket, SharesStayWithinTheBudget, ())
{
    std::vector<std::size_t> pools = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 40)));
    std::size_t all = 0;
    for (std::size_t n : pools)
        all += n;
    Time start;
    std::vector<TokenBucket> buckets;
    for (std::size_t n : pools)
        buckets.emplace_back(loadBudgetShare(10, n, all), 1, start);
    std::size_t loads = 0;
    for (int second = 0; second <= 600; ++second) {
        for (TokenBucket& bucket : buckets)
            loads += bucket.tryConsume(start + seconds(second)) ? 1 : 0;
    }
    RC_ASSERT(loads <= 10 * 10 + pools.size());
}

}
