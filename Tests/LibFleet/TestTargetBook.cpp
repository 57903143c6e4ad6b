#include <LibFleet/TargetBook.h>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using Fleet::TargetBook;
using Fleet::Time;

constexpr Time start { 100s };

Platform::ListedTarget target(std::string const& id, bool isLeaving = false)
{
    Platform::ListedTarget listed;
    listed.id = id;
    listed.service = "records";
    listed.isLeaving = isLeaving;
    return listed;
}

}

TEST(TargetBook, HeartbeatsChangeNothing)
{
    TargetBook book;
    EXPECT_TRUE(book.list(target("a")));
    EXPECT_FALSE(book.list(target("a")));
    EXPECT_TRUE(book.list(target("a", true)));
}

TEST(TargetBook, ARestartedTargetWithTheSameIdIsANewOne)
{
    TargetBook book;
    Platform::ListedTarget former = target("a");
    former.bornAtMs = 1'700'000'000'000;
    book.list(former);
    Platform::ListedTarget reborn = former;
    reborn.bornAtMs += 2'000;
    EXPECT_TRUE(book.list(reborn));
    EXPECT_EQ(book.targets().size(), 1U);
    EXPECT_EQ(book.targets().at("a").listed.bornAtMs, reborn.bornAtMs);
}

TEST(TargetBook, AnUnusableEntryRemovesOnlyItsPredecessor)
{
    TargetBook book;
    book.list(target("a"));
    book.list(target("b"));
    EXPECT_TRUE(book.drop("a"));
    EXPECT_FALSE(book.drop("a"));
    EXPECT_TRUE(book.targets().contains("b"));
    EXPECT_TRUE(book.list(target("a"))) << "a valid entry restores it";
}

TEST(TargetBook, AnEntryRemovedWhileTheStoreIsAvailableIsGone)
{
    TargetBook book;
    book.noteRead(start);
    book.list(target("a"));
    book.noteRead(start + 500ms);
    EXPECT_TRUE(book.remove("a", start + 500ms));
    EXPECT_TRUE(book.targets().empty());
}

TEST(TargetBook, AnEntryThatLapsedDuringAStoreOutageIsKeptForAGracePeriod)
{
    TargetBook book;
    book.noteRead(start);
    book.list(target("a"));
    book.list(target("b"));
    book.noteFailure(start + 1s);
    book.noteFailure(start + 4s);
    book.noteRead(start + 5s);
    EXPECT_FALSE(book.remove("a", start + 5s));
    EXPECT_FALSE(book.remove("b", start + 5s));
    EXPECT_FALSE(book.expire(start + 6s));
    EXPECT_EQ(book.targets().size(), 2U);
    // One target lists itself again, the other does not.
    EXPECT_TRUE(book.list(target("a")));
    EXPECT_TRUE(book.expire(start + 7300ms));
    EXPECT_TRUE(book.targets().contains("a"));
    EXPECT_FALSE(book.targets().contains("b"));
}

TEST(TargetBook, ATargetThatWasLeavingIsNotKept)
{
    TargetBook book;
    book.noteRead(start);
    book.list(target("a", true));
    book.noteFailure(start + 1s);
    book.noteRead(start + 5s);
    EXPECT_TRUE(book.remove("a", start + 5s));
}

// A daemon that relies on announcements may not have read for a long time, which is no outage.
TEST(TargetBook, AnEntryRemovedAfterALongTimeWithoutReadsIsGone)
{
    TargetBook book;
    book.noteRead(start);
    book.list(target("a"));
    book.noteRead(start + 8s);
    EXPECT_TRUE(book.remove("a", start + 8s));
    EXPECT_TRUE(book.targets().empty());
}

TEST(TargetBook, ASingleFailedReadIsNoOutage)
{
    TargetBook book;
    book.noteRead(start);
    book.list(target("a"));
    book.noteFailure(start + 500ms);
    book.noteRead(start + 700ms);
    EXPECT_TRUE(book.remove("a", start + 700ms));
}

// Most daemons rarely read the store and learn of an outage from the readers.
TEST(TargetBook, ALapsedEntryIsKeptWhenOthersSawTheStoreRecover)
{
    TargetBook book;
    book.noteRead(start);
    book.list(target("a"));
    book.noteReturnElsewhere(start + 5s, 1'500ms);
    EXPECT_FALSE(book.remove("a", start + 5s));
    EXPECT_FALSE(book.expire(start + 6'400ms));
    EXPECT_TRUE(book.expire(start + 6'600ms));
    EXPECT_TRUE(book.targets().empty());
}

// Otherwise two daemons would extend each other's grace period forever.
TEST(TargetBook, OnlyOwnObservationsAreAnnounced)
{
    TargetBook book;
    book.noteReturnElsewhere(start, 2'000ms);
    EXPECT_EQ(book.graceLeft(start), 0ms);
    book.noteRead(start);
    book.noteFailure(start + 1s);
    book.noteRead(start + 5s);
    EXPECT_EQ(book.graceLeft(start + 6s), 1'200ms);
    EXPECT_EQ(book.graceLeft(start + 8s), 0ms);
}

// If one of two readers is cut off from the store, daemons starting meanwhile receive its report of failing reads. They must not
// infer an outage once their own first read succeeds, as all of them would then keep leaving targets for the grace period.
TEST(TargetBook, ANewlyStartedDaemonCannotInferAnOutage)
{
    TargetBook book;
    book.notePeerFailure(start, 5s);
    book.noteRead(start + 200ms);
    EXPECT_EQ(book.graceLeft(start + 200ms), 0ms);
    book.list(target("a"));
    EXPECT_TRUE(book.remove("a", start + 200ms));
}

TEST(TargetBook, ALaterAnswerOverridesAPeersFailures)
{
    TargetBook book;
    book.noteReadElsewhere(start);
    book.notePeerFailure(start + 1s, 5s);
    book.noteRead(start + 1s);
    EXPECT_EQ(book.graceLeft(start + 1s), 0ms) << "the store answered another daemon a second ago";
    book.noteReadElsewhere(start + 2s);
    book.notePeerFailure(start + 6s, 5s);
    book.noteRead(start + 6s);
    EXPECT_GT(book.graceLeft(start + 6s), 0ms);
}

TEST(TargetBook, NoTargetIsKeptForLongerThanOneGracePeriod)
{
    TargetBook book;
    book.noteRead(start);
    book.list(target("a"));
    book.noteReturnElsewhere(start, 2'200ms);
    EXPECT_FALSE(book.remove("a", start + 100ms));
    book.noteReturnElsewhere(start + 2s, 2'200ms);
    EXPECT_FALSE(book.expire(start + 2'299ms));
    EXPECT_TRUE(book.expire(start + 2'300ms));
}

// A reader that was cut off from the store and all peers reports an outage when it reconnects. Where other daemons' lists stayed
// current, a removed entry is gone: keeping it for the grace period would send requests to it for too long.
TEST(TargetBook, AReportedOutageIsCheckedAgainstLocalKnowledge)
{
    TargetBook book;
    book.list(target("a"));
    for (Time now = start; now <= start + 6s; now += 700ms)
        book.noteKnownUntil(now - 300ms, now);
    book.noteReturnElsewhere(start + 6s, 2'200ms);
    EXPECT_TRUE(book.remove("a", start + 6s));
    EXPECT_TRUE(book.targets().empty());
}

TEST(TargetBook, AReportedOutageHoldsIfNothingWasKnownMeanwhileOrUntilNow)
{
    TargetBook book;
    book.list(target("a"));
    book.list(target("b"));
    book.noteKnownUntil(start, start);
    book.noteReturnElsewhere(start + 5s, 2'200ms);
    EXPECT_FALSE(book.remove("a", start + 5s)) << "this daemon has received nothing since";
    book.noteKnownUntil(start + 5'100ms, start + 5'200ms);
    EXPECT_TRUE(book.expire(start + 7'200ms));
    book.noteReturnElsewhere(start + 7'300ms, 100ms);
    EXPECT_FALSE(book.remove("b", start + 7'300ms)) << "the gap in its knowledge has just ended";
    EXPECT_TRUE(book.expire(start + 7'400ms));
}
