#include <LibQuarantine/Guard.h>
#include <gtest/gtest.h>

namespace {

using namespace Quarantine;
using namespace std::chrono_literals;

constexpr Time origin { 1'000s };
constexpr WorkKey culprit { 1, 1 };
constexpr WorkKey other { 2, 2 };
WorkKey const culpritPart = partKeyOf("llm", 1);
WorkKey const otherPart = partKeyOf("llm", 2);

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

// Guards against a part of many prompts that ends each engine which begins to answer them, no two requests alike.
TEST(Guard, RefusesAPartThatEndsEachTargetThatBeginsToAnswer)
{
    Guard guard;
    for (std::uint64_t n = 1; n <= 3; ++n) {
        EXPECT_NE(guard.disposition(culpritPart), Guard::Disposition::Refused);
        Time at = origin + n * 1s;
        RunTable::Id run = guard.begin({ 100, n }, targetOf(n), at - 50ms);
        RunTable::Id part = guard.beginPart(culpritPart, targetOf(n), at - 50ms);
        guard.noteConnectionLost(run, at);
        guard.noteConnectionLost(part, at);
        guard.noteEnded(n, at);
    }
    EXPECT_EQ(guard.disposition(culpritPart), Guard::Disposition::Refused);
    EXPECT_EQ(guard.disposition({ 100, 3 }), Guard::Disposition::Open);
}

TEST(Guard, APartWithWhichAnAnswerBeginsIsCleared)
{
    Guard guard;
    for (std::uint64_t n = 1; n <= 6; ++n) {
        Time at = origin + n * 1s;
        RunTable::Id part = guard.beginPart(otherPart, targetOf(n), at - 50ms);
        guard.noteConnectionLost(part, at);
        guard.noteEnded(n, at);
        if (n % 2 == 0) {
            EXPECT_EQ(n == 2, guard.noteBegun(guard.beginPart(otherPart, targetOf(n + 100), at + 10ms), at + 20ms));
        }
    }
    EXPECT_EQ(guard.disposition(otherPart), Guard::Disposition::Open);
    EXPECT_EQ(guard.suspectedCount(), 0U);
}

// Guards against a sound part that is refused where few requests with it get through.
TEST(Guard, APartThatAPeerHasSeenBeginIsCleared)
{
    Guard one;
    Guard two;
    two.noteBegun(two.beginPart(otherPart, targetOf(9), origin), origin + 1s);
    for (std::uint64_t n = 1; n <= 3; ++n) {
        Time at = origin + n * 2s;
        one.noteConnectionLost(one.beginPart(otherPart, targetOf(n), at - 50ms), at);
        one.noteEnded(n, at);
    }
    EXPECT_EQ(one.disposition(otherPart), Guard::Disposition::Refused);
    EXPECT_TRUE(two.merge(one.news(origin + 6s, 10s), origin + 6s).empty());
    one.merge(two.news(origin + 6s, 10s), origin + 6s);
    EXPECT_EQ(one.disposition(otherPart), Guard::Disposition::Open);
}

// Guards against a part that a new release ends on, and that is trusted because the former one did not.
TEST(Guard, AnotherReleaseMayEndOnWhatTheFormerOneDidNot)
{
    Guard guard;
    guard.setReleases({ { "llm", { "v0" } } });
    guard.noteBegun(guard.beginPart(culpritPart, targetOf(9), origin), origin + 1s);
    guard.setReleases({ { "llm", { "v1" } } });
    for (std::uint64_t n = 1; n <= 3; ++n) {
        Time at = origin + n * 2s;
        guard.noteConnectionLost(guard.beginPart(culpritPart, targetOf(n), at - 50ms), at);
        guard.noteEnded(n, at);
    }
    EXPECT_EQ(guard.disposition(culpritPart), Guard::Disposition::Refused);
}

// Guards against a sound part that is refused because it was in the prompts that ended targets.
TEST(Guard, APartWithFewerEndsIsExplainedByOneThatSharesThem)
{
    Guard guard;
    for (std::uint64_t n = 1; n <= 4; ++n) {
        Time at = origin + n * 1s;
        std::vector<RunTable::Id> runs { guard.beginPart(culpritPart, targetOf(n), at - 50ms) };
        if (n != 4)
            runs.push_back(guard.beginPart(otherPart, targetOf(n), at - 50ms));
        for (RunTable::Id run : runs)
            guard.noteConnectionLost(run, at);
        guard.noteEnded(n, at);
        if (n == 3) {
            EXPECT_EQ(guard.disposition(culpritPart), Guard::Disposition::Exclusive) << "one of two";
            EXPECT_EQ(guard.disposition(otherPart), Guard::Disposition::Exclusive);
        }
    }
    EXPECT_EQ(guard.disposition(culpritPart), Guard::Disposition::Refused);
    EXPECT_NE(guard.disposition(otherPart), Guard::Disposition::Refused);
}

// Guards against sound prompts that are refused because one request with their first part ends targets again and again.
TEST(Guard, APartIsNotRefusedForOneRequestThatIsRepeated)
{
    Guard guard;
    for (std::uint64_t n = 1; n <= 3; ++n) {
        Time at = origin + n * 1s;
        RunTable::Id run = guard.begin(culprit, targetOf(n), at - 50ms);
        RunTable::Id part = guard.beginPart(otherPart, targetOf(n), at - 50ms);
        guard.noteConnectionLost(run, at);
        guard.noteConnectionLost(part, at);
        guard.noteEnded(n, at);
    }
    EXPECT_EQ(guard.disposition(culprit), Guard::Disposition::Refused);
    EXPECT_EQ(guard.disposition(otherPart), Guard::Disposition::Exclusive);
    guard.noteBegun(guard.beginPart(otherPart, targetOf(9), origin + 4s), origin + 5s);
    EXPECT_EQ(guard.disposition(otherPart), Guard::Disposition::Open);
    EXPECT_EQ(guard.disposition(culprit), Guard::Disposition::Refused);
}

// Guards against all targets being avoided by a suspect because they run requests that share its first part.
TEST(Guard, PartsDoNotKeepASuspectFromTargets)
{
    Guard guard;
    endWith(guard, culprit, 1, origin + 1s);
    RunTable::Id part = guard.beginPart(otherPart, targetOf(2), origin + 1s);
    guard.noteConnectionLost(part, origin + 2s);
    guard.noteEnded(2, origin + 2s);
    guard.beginPart(otherPart, targetOf(3), origin + 3s);
    EXPECT_TRUE(guard.targetsOfOtherSuspects(culprit).empty());
}

TEST(Guard, PeersAgreeOnEndsAndClearedRequests)
{
    Guard one;
    Guard two;
    endWith(one, culprit, 1, origin + 1s);
    endWith(two, culprit, 1, origin + 1s);
    endWith(two, culprit, 2, origin + 2s);
    one.merge(two.news(origin + 2s, 10s), origin + 2s);
    two.merge(one.news(origin + 2s, 10s), origin + 2s);
    EXPECT_EQ(one.digest(), two.digest());
    EXPECT_EQ(one.disposition(culprit), Guard::Disposition::Exclusive);

    RunTable::Id run = one.begin(culprit, targetOf(5), origin + 3s);
    EXPECT_TRUE(one.finishSuccessfully(run, origin + 4s));
    two.merge(one.news(origin + 4s, 10s), origin + 4s);
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

// Guards against ends that become known only after the request was completed elsewhere, as where the list of targets lags.
TEST(Guard, ALateEndDoesNotCountAgainstARequestThatHasCompletedSince)
{
    Guard guard;
    for (std::uint64_t target = 1; target <= 3; ++target) {
        RunTable::Id broken = guard.begin(other, targetOf(target), origin);
        guard.noteConnectionLost(broken, origin + 1s);
        guard.noteUnknown(target);
    }
    RunTable::Id completed = guard.begin(other, targetOf(9), origin + 1'500ms);
    guard.finishSuccessfully(completed, origin + 2s);
    for (std::uint64_t target = 1; target <= 3; ++target)
        EXPECT_TRUE(guard.noteEnded(target, origin + 3s).empty());
    EXPECT_EQ(guard.disposition(other), Guard::Disposition::Open);
}

TEST(Guard, ALateEndCountsIfTheRequestCompletedBefore)
{
    Guard guard;
    RunTable::Id completed = guard.begin(other, targetOf(9), origin);
    RunTable::Id broken = guard.begin(other, targetOf(1), origin);
    guard.finishSuccessfully(completed, origin + 500ms);
    guard.noteConnectionLost(broken, origin + 1s);
    guard.noteUnknown(1);
    EXPECT_EQ(guard.noteEnded(1, origin + 3s).size(), 1U);
}
