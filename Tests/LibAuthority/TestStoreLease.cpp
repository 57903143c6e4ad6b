#include <LibAuthority/StoreLease.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace std::chrono_literals;
using namespace Authority;
using Time = StoreLease::Time;

constexpr Time start { 100s };

StoreLease lease(std::string const& daemon, std::uint64_t incarnation = 1)
{
    return StoreLease(StoreLeaseSettings(), { daemon, incarnation }, Time());
}

StoreLease fencedLease(std::string const& daemon, std::uint64_t incarnation = 1, Time startedAt = {})
{
    StoreLeaseSettings settings;
    settings.isFenced = true;
    return StoreLease(settings, { daemon, incarnation }, startedAt);
}

}

TEST(StoreLease, ClaimsOnlyWhenThereIsSomethingToOrder)
{
    StoreLease a = lease("a");
    EXPECT_FALSE(a.poll(true, start)) << "nothing was read yet";
    a.observe(std::nullopt, 4, start);
    EXPECT_FALSE(a.poll(false, start));
    std::optional<StoreLeaseAppend> append = a.poll(true, start);
    ASSERT_TRUE(append);
    EXPECT_EQ(append->expectedNext, 4U);
    EXPECT_FALSE(a.mayOrder(start));
    a.claimAppended(4);
    EXPECT_TRUE(a.mayOrder(start + 1s));
    EXPECT_EQ(a.fencing(), 4U);
    EXPECT_FALSE(a.mayOrder(start + 2s)) << "the order time counts from before the append";
}

// The boot clock counts a suspension: a holder that wakes up after one finds its time over.
TEST(StoreLease, AHolderThatWasSuspendedMayNotOrder)
{
    StoreLease a = lease("a");
    a.observe(std::nullopt, 0, start);
    a.poll(true, start);
    a.claimAppended(0);
    Time afterSuspension = start + 4s;
    EXPECT_FALSE(a.mayOrder(afterSuspension));
}

TEST(StoreLease, AnotherWaitsUntilTheHolderCanOrderNoMoreAndABitLonger)
{
    StoreLease b = lease("b");
    b.observe(StoreLeaseClaim { 3, { "a", 1 } }, 4, start);
    EXPECT_FALSE(b.poll(true, start + 5200ms));
    EXPECT_TRUE(b.poll(true, start + 5300ms));
}

TEST(StoreLease, AnEarlierIncarnationOfTheSameDaemonIsAnotherHolder)
{
    StoreLease a = lease("a", 2);
    a.observe(StoreLeaseClaim { 3, { "a", 1 } }, 4, start);
    EXPECT_FALSE(a.poll(true, start + 1s));
    EXPECT_FALSE(a.fencing());
}

TEST(StoreLease, AClaimWhoseAnswerWasLostCountsFromItsAppend)
{
    StoreLease a = lease("a");
    a.observe(std::nullopt, 0, start);
    a.poll(true, start);
    a.claimUnknown();
    EXPECT_FALSE(a.mayOrder(start + 1s));
    EXPECT_FALSE(a.poll(true, start + 1s)) << "the first append may still be carried out";
    a.observe(StoreLeaseClaim { 0, { "a", 1 } }, 1, start + 1s);
    EXPECT_TRUE(a.mayOrder(start + 1s));
    EXPECT_FALSE(a.mayOrder(start + 2s));
}

TEST(StoreLease, ALateClaimGivesNoAuthority)
{
    StoreLease a = lease("a");
    a.observe(std::nullopt, 0, start);
    a.poll(true, start);
    a.claimUnknown();
    a.observe(StoreLeaseClaim { 0, { "a", 1 } }, 1, start + 6s);
    EXPECT_FALSE(a.mayOrder(start + 6s));
    EXPECT_TRUE(a.poll(true, start + 6s)) << "its own claim is in nobody's way";
}

// Guards against a holder that comes back, finds another's claim behind its own, and orders under its earlier number all the same.
TEST(StoreLease, ARefusedClaimGivesNoAuthorityUnderAnEarlierNumber)
{
    StoreLease a = lease("a");
    a.observe(std::nullopt, 0, start);
    a.poll(true, start);
    a.claimAppended(0);
    ASSERT_TRUE(a.mayOrder(start + 1s));
    ASSERT_TRUE(a.pollOwn(start + 10s)) << "without a read: the last claim was its own";
    a.claimFailed();
    EXPECT_FALSE(a.mayOrder(start + 10s));
    EXPECT_FALSE(a.fencing());
    a.observe(StoreLeaseClaim { 1, { "b", 1 } }, 2, start + 10s);
    EXPECT_FALSE(a.mayOrder(start + 10s));
    EXPECT_FALSE(a.poll(true, start + 10s)) << "the other one is waited for";
}

TEST(StoreLease, ARefusalByAnEngineEndsTheAuthority)
{
    StoreLease a = lease("a");
    a.observe(std::nullopt, 0, start);
    a.poll(true, start);
    a.claimAppended(0);
    a.loseAuthority(start + 500ms);
    EXPECT_FALSE(a.mayOrder(start + 500ms));
    EXPECT_FALSE(a.poll(true, start + 5s));
    EXPECT_TRUE(a.poll(true, start + 6s));
}

// Guards against engines that keep their roles for five seconds when whoever ordered them is lost.
TEST(StoreLease, WhereNumbersAreCheckedAnotherTakesOverAtOnce)
{
    StoreLease b = fencedLease("b");
    b.observe(StoreLeaseClaim { 3, { "a", 1 } }, 4, start);
    EXPECT_TRUE(b.poll(true, start));
}

// Guards against a process that starts again within the quiet time, and takes turns with whoever ordered after its former one.
TEST(StoreLease, WhereNumbersAreCheckedAProcessThatHasJustStartedWaits)
{
    StoreLease a = fencedLease("a", 2, start);
    a.observe(StoreLeaseClaim { 3, { "b", 1 } }, 4, start + 1s);
    EXPECT_FALSE(a.poll(true, start + 3200ms));
    EXPECT_TRUE(a.poll(true, start + 3300ms));
    StoreLease first = fencedLease("a", 2, start);
    first.observe(std::nullopt, 0, start);
    EXPECT_TRUE(first.poll(true, start)) << "nobody has ordered before";
}

// Two daemons, one store that decides conditional appends, lost answers, late reads and suspensions: never may both
// order within the quiet time of each other, and fencing numbers only grow.
RC_GTEST_PROP(StoreLease, TwoHoldersNeverTakeTurnsWithinTheQuietTime, ())
{
    std::vector<StoreLease> daemons { lease("a"), lease("b") };
    std::vector<std::string> names { "a", "b" };
    std::vector<StoreLeaseClaim> log;
    std::optional<std::size_t> lastOrderer;
    Time lastOrder = start;
    std::uint64_t lastFencing = 0;
    Time now = start;
    for (int step = 0; step < 60; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(1, 900));
        std::size_t who = *rc::gen::inRange<std::size_t>(0, 2);
        StoreLease& daemon = daemons[who];
        daemon.observe(log.empty() ? std::nullopt : std::optional(log.back()), log.size(), now);
        if (std::optional<StoreLeaseAppend> append = daemon.poll(true, now)) {
            now += std::chrono::milliseconds(*rc::gen::inRange(1, 2'500));
            bool isAppended = append->expectedNext == log.size();
            if (isAppended)
                log.push_back({ log.size(), { names[who], 1 } });
            if (*rc::gen::inRange(0, 4) == 0)
                daemon.claimUnknown();
            else if (isAppended)
                daemon.claimAppended(log.back().offset);
            else
                daemon.claimFailed();
        }
        if (!daemon.mayOrder(now))
            continue;
        RC_ASSERT(*daemon.fencing() >= lastFencing);
        RC_ASSERT(!lastOrderer || *lastOrderer == who || now - lastOrder >= 3s);
        lastOrderer = who;
        lastOrder = now;
        lastFencing = *daemon.fencing();
    }
}

// The same where engines check numbers, and with daemons that start again: one that ordered, and then another, is not to order again
// within the quiet time of its own last order.
RC_GTEST_PROP(StoreLease, WhereNumbersAreCheckedNoneTakesTurnsWithinTheQuietTime, ())
{
    std::vector<std::string> names { "a", "b" };
    std::vector<std::uint64_t> lives { 1, 1 };
    std::vector<StoreLease> daemons { fencedLease("a"), fencedLease("b") };
    std::vector<StoreLeaseClaim> log;
    std::vector<std::optional<Time>> ordered(2);
    std::optional<std::size_t> lastOrderer;
    std::uint64_t highest = 0;
    Time now = start;
    for (int step = 0; step < 80; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(1, 900));
        std::size_t who = *rc::gen::inRange<std::size_t>(0, 2);
        if (*rc::gen::inRange(0, 10) == 0)
            daemons[who] = fencedLease(names[who], ++lives[who], now);
        StoreLease& daemon = daemons[who];
        if (*rc::gen::inRange(0, 3) != 0)
            daemon.observe(log.empty() ? std::nullopt : std::optional(log.back()), log.size(), now);
        if (std::optional<StoreLeaseAppend> append = daemon.poll(true, now)) {
            now += std::chrono::milliseconds(*rc::gen::inRange(1, 2'500));
            bool isAppended = append->expectedNext == log.size();
            if (isAppended)
                log.push_back({ log.size(), { names[who], lives[who] } });
            if (*rc::gen::inRange(0, 4) == 0)
                daemon.claimUnknown();
            else if (isAppended)
                daemon.claimAppended(log.back().offset);
            else
                daemon.claimFailed();
        }
        if (!daemon.mayOrder(now))
            continue;
        daemon.noteOrder(now);
        // A lower number is refused, and nothing comes of it.
        if (*daemon.fencing() < highest) {
            daemon.loseAuthority(now);
            continue;
        }
        RC_ASSERT(!ordered[who] || lastOrderer == who || now - *ordered[who] >= 3s);
        highest = *daemon.fencing();
        lastOrderer = who;
        ordered[who] = now;
    }
}
