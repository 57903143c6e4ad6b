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
    EXPECT_FALSE(a.mayOrder(start + 2s)) << "the order time starts before the append";
}

// The boot clock includes suspension, so that a holder that resumes after one finds its claim expired.
TEST(StoreLease, AHolderThatWasSuspendedMayNotOrder)
{
    StoreLease a = lease("a");
    a.observe(std::nullopt, 0, start);
    a.poll(true, start);
    a.claimAppended(0);
    Time afterSuspension = start + 4s;
    EXPECT_FALSE(a.mayOrder(afterSuspension));
}

TEST(StoreLease, AnotherDaemonWaitsForTheOrderTimeAndTheQuietTime)
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

TEST(StoreLease, AClaimWhoseResponseWasLostStartsAtItsAppend)
{
    StoreLease a = lease("a");
    a.observe(std::nullopt, 0, start);
    a.poll(true, start);
    a.claimUnknown();
    EXPECT_FALSE(a.mayOrder(start + 1s));
    EXPECT_FALSE(a.poll(true, start + 1s)) << "the first append may still be applied";
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
    EXPECT_TRUE(a.poll(true, start + 6s)) << "its own claim doesn't delay it";
}

// Guards against a returning holder whose claim fails because of another's claim, and which sends orders with its earlier token.
TEST(StoreLease, AFailedClaimGivesNoAuthorityUnderAnEarlierToken)
{
    StoreLease a = lease("a");
    a.observe(std::nullopt, 0, start);
    a.poll(true, start);
    a.claimAppended(0);
    ASSERT_TRUE(a.mayOrder(start + 1s));
    ASSERT_TRUE(a.pollReclaim(start + 10s)) << "needs no read, as the last claim was its own";
    a.claimFailed();
    EXPECT_FALSE(a.mayOrder(start + 10s));
    EXPECT_FALSE(a.fencing());
    a.observe(StoreLeaseClaim { 1, { "b", 1 } }, 2, start + 10s);
    EXPECT_FALSE(a.mayOrder(start + 10s));
    EXPECT_FALSE(a.poll(true, start + 10s)) << "the other holder's term has to end first";
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

TEST(StoreLease, AnOldClaimNeedNotBeWaitedFor)
{
    StoreLease b = lease("b");
    EXPECT_FALSE(b.opensAt()) << "nothing was read yet";
    b.observe(StoreLeaseClaim { 3, { "a", 1 } }, 4, start, start - 5s);
    EXPECT_EQ(b.opensAt(), start + 300ms);
    EXPECT_FALSE(b.poll(true, start + 200ms));
    EXPECT_TRUE(b.poll(true, start + 300ms));
    EXPECT_FALSE(b.isSuccessor());
    b.claimAppended(4);
    EXPECT_TRUE(b.isSuccessor()) << "orders of a may be under way";
    ASSERT_TRUE(b.poll(true, start + 10s));
    b.claimAppended(5);
    EXPECT_FALSE(b.isSuccessor());
}

// Guards against engines that are left without role changes for five seconds after the loss of the lease holder.
TEST(StoreLease, WithFencingChecksAnotherDaemonTakesOverAtOnce)
{
    StoreLease b = fencedLease("b");
    b.observe(StoreLeaseClaim { 3, { "a", 1 } }, 4, start);
    EXPECT_TRUE(b.poll(true, start));
}

// Guards against a process that restarts within the quiet time and alternates with the daemon that took over from it.
TEST(StoreLease, WithFencingChecksAProcessThatHasJustStartedWaits)
{
    StoreLease a = fencedLease("a", 2, start);
    a.observe(StoreLeaseClaim { 3, { "b", 1 } }, 4, start + 1s);
    EXPECT_FALSE(a.poll(true, start + 3200ms));
    EXPECT_TRUE(a.poll(true, start + 3300ms));
    StoreLease first = fencedLease("a", 2, start);
    first.observe(std::nullopt, 0, start);
    EXPECT_TRUE(first.poll(true, start)) << "no orders were sent before";
}

// Two daemons and a store with conditional appends, with lost responses, late reads and suspensions: the two must never
// send orders within the quiet time of each other, and fencing tokens must only increase.
RC_GTEST_PROP(StoreLease, TwoHoldersNeverTakeTurnsWithinTheQuietTime, ())
{
    std::vector<StoreLease> daemons { lease("a"), lease("b") };
    std::vector<std::string> names { "a", "b" };
    std::vector<StoreLeaseClaim> log;
    std::optional<std::size_t> lastOrderingDaemon;
    Time lastOrder = start;
    std::uint64_t lastFencing = 0;
    Time now = start;
    for (int step = 0; step < 60; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(1, 900));
        std::size_t index = *rc::gen::inRange<std::size_t>(0, 2);
        StoreLease& daemon = daemons[index];
        daemon.observe(log.empty() ? std::nullopt : std::optional(log.back()), log.size(), now);
        if (std::optional<StoreLeaseAppend> append = daemon.poll(true, now)) {
            now += std::chrono::milliseconds(*rc::gen::inRange(1, 2'500));
            bool isAppended = append->expectedNext == log.size();
            if (isAppended)
                log.push_back({ log.size(), { names[index], 1 } });
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
        RC_ASSERT(!lastOrderingDaemon || *lastOrderingDaemon == index || now - lastOrder >= 3s);
        lastOrderingDaemon = index;
        lastOrder = now;
        lastFencing = *daemon.fencing();
    }
}

// The same with engines that check fencing tokens and daemons that restart: a daemon whose orders were followed by another's must
// not send orders again within the quiet time of its own last order.
RC_GTEST_PROP(StoreLease, WhereNumbersAreCheckedNoneTakesTurnsWithinTheQuietTime, ())
{
    std::vector<std::string> names { "a", "b" };
    std::vector<std::uint64_t> incarnations { 1, 1 };
    std::vector<StoreLease> daemons { fencedLease("a"), fencedLease("b") };
    std::vector<StoreLeaseClaim> log;
    std::vector<std::optional<Time>> lastOrders(2);
    std::optional<std::size_t> lastOrderingDaemon;
    std::uint64_t highest = 0;
    Time now = start;
    for (int step = 0; step < 80; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(1, 900));
        std::size_t index = *rc::gen::inRange<std::size_t>(0, 2);
        if (*rc::gen::inRange(0, 10) == 0)
            daemons[index] = fencedLease(names[index], ++incarnations[index], now);
        StoreLease& daemon = daemons[index];
        if (*rc::gen::inRange(0, 3) != 0)
            daemon.observe(log.empty() ? std::nullopt : std::optional(log.back()), log.size(), now);
        if (std::optional<StoreLeaseAppend> append = daemon.poll(true, now)) {
            now += std::chrono::milliseconds(*rc::gen::inRange(1, 2'500));
            bool isAppended = append->expectedNext == log.size();
            if (isAppended)
                log.push_back({ log.size(), { names[index], incarnations[index] } });
            if (*rc::gen::inRange(0, 4) == 0)
                daemon.claimUnknown();
            else if (isAppended)
                daemon.claimAppended(log.back().offset);
            else
                daemon.claimFailed();
        }
        if (!daemon.mayOrder(now))
            continue;
        daemon.recordOrder(now);
        // An order with a lower fencing token is rejected without effect.
        if (*daemon.fencing() < highest) {
            daemon.loseAuthority(now);
            continue;
        }
        RC_ASSERT(!lastOrders[index] || lastOrderingDaemon == index || now - *lastOrders[index] >= 3s);
        highest = *daemon.fencing();
        lastOrderingDaemon = index;
        lastOrders[index] = now;
    }
}
