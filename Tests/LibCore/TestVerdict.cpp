#include <LibCore/Result.h>
#include <gtest/gtest.h>

namespace {

Core::Result<int> half(int n)
{
    if (n % 2 != 0)
        return Core::fail(Core::ErrorCode::BadInput, "odd");
    return n / 2;
}

Core::Result<int> quarter(int n)
{
    BOOST_OUTCOME_TRY(int first, half(n));
    return half(first);
}

}

TEST(Verdict, CombinationClaimsTheLargerEffect)
{
    EXPECT_EQ(Core::combine(Core::Verdict::NotRun, Core::Verdict::MayHaveRun), Core::Verdict::MayHaveRun);
    EXPECT_EQ(Core::combine(Core::Verdict::Ran, Core::Verdict::MayHaveRun), Core::Verdict::Ran);
    EXPECT_EQ(Core::combine(Core::Verdict::NotRun, Core::Verdict::NotRun), Core::Verdict::NotRun);
}

TEST(Result, ErrorIsReturnedToTheCaller)
{
    EXPECT_EQ(quarter(8).value(), 2);
    ASSERT_TRUE(quarter(6).has_error());
    EXPECT_EQ(quarter(6).error().code, Core::ErrorCode::BadInput);
    EXPECT_EQ(quarter(6).error().verdict, Core::Verdict::NotRun);
}
