#include <LibQuarantine/Guard.h>
#include <gtest/gtest.h>

namespace {

using namespace Quarantine;
using namespace std::chrono_literals;

constexpr Time origin { 1'000s };
constexpr WorkKey culprit { 1, 1 };
constexpr WorkKey other { 2, 2 };

SuspectTarget targetOf(std::uint64_t n)
{
    return { n, "llm", "v1" };
}

// Ends a target while the request is running there.
std::vector<Finding> endWith(Guard& guard, WorkKey const& key, std::uint64_t target, Time at)
{
    RunTable::Id run = guard.begin(key, targetOf(target), at - 100ms);
    EXPECT_TRUE(guard.noteConnectionLost(run, at).needsProbe);
    return guard.noteEnded(target, at);
}

}

TEST(Guard, RunsOnlyOnceAtATimeBeforeARefusal)
{
    Guard guard;
    EXPECT_EQ(guard.disposition(culprit), Guard::Disposition::Open);
    endWith(guard, culprit, 1, origin + 1s);
    EXPECT_EQ(guard.disposition(culprit), Guard::Disposition::Open);
    endWith(guard, culprit, 2, origin + 2s);
    EXPECT_EQ(guard.disposition(culprit), Guard::Disposition::Exclusive);
    EXPECT_FALSE(guard.isOpen(culprit));
    std::vector<Finding> third = endWith(guard, culprit, 3, origin + 3s);
    ASSERT_EQ(third.size(), 1U);
    EXPECT_TRUE(third[0].isRefused);
    EXPECT_EQ(guard.disposition(culprit), Guard::Disposition::Refused);
    EXPECT_EQ(guard.refusedCount(), 1U);
}

// Guards against an innocent request that is placed on the same target as the culprit again and again.
TEST(Guard, SeparatesSuspects)
{
    Guard guard;
    endWith(guard, culprit, 1, origin + 1s);
    RunTable::Id run = guard.begin(culprit, targetOf(2), origin + 2s);
    EXPECT_TRUE(guard.targetsOfOtherSuspects(other).empty()) << "the request itself is not suspected";
    endWith(guard, other, 3, origin + 3s);
    EXPECT_EQ(guard.targetsOfOtherSuspects(other), std::set<std::uint64_t> { 2 });
    guard.finish(run);
    EXPECT_TRUE(guard.targetsOfOtherSuspects(other).empty());
}

TEST(Guard, PeersAgreeOnEndsAndClearedRequests)
{
    Guard one;
    Guard two;
    endWith(one, culprit, 1, origin + 1s);
    endWith(two, culprit, 1, origin + 1s);
    endWith(two, culprit, 2, origin + 2s);
    one.merge(two.news(origin + 2s, 10s));
    two.merge(one.news(origin + 2s, 10s));
    EXPECT_EQ(one.digest(), two.digest());
    EXPECT_EQ(one.disposition(culprit), Guard::Disposition::Exclusive);

    RunTable::Id run = one.begin(culprit, targetOf(5), origin + 3s);
    EXPECT_TRUE(one.finishSuccessfully(run, origin + 4s));
    two.merge(one.news(origin + 4s, 10s));
    EXPECT_EQ(two.disposition(culprit), Guard::Disposition::Open);
    EXPECT_EQ(two.digest(), 0U);
}

TEST(Guard, CompletedRunDoesNotClearLaterEnds)
{
    Guard guard;
    RunTable::Id run = guard.begin(other, targetOf(5), origin);
    EXPECT_FALSE(guard.finishSuccessfully(run, origin + 1s)) << "the request was not suspected";
    endWith(guard, other, 1, origin + 2s);
    EXPECT_EQ(guard.suspect(other)->ends.size(), 1U);
    EXPECT_EQ(guard.suspectedCount(), 1U);
}
