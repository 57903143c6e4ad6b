#include <LibFleet/DaemonBook.h>
#include <functional>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using Fleet::DaemonBook;
using Fleet::DaemonState;
using Fleet::Time;

constexpr Time start { 100s };

Platform::ListedDaemon daemon(std::string const& name, std::uint64_t incarnation = 1)
{
    Platform::ListedDaemon listed;
    listed.name = name;
    listed.incarnation = incarnation;
    return listed;
}

}

TEST(DaemonBook, ALaterProcessReplacesAnEarlierOneOfTheSameNameButNotViceVersa)
{
    DaemonBook book;
    EXPECT_TRUE(book.hear(daemon("a", 5), 7, { .runningFor = 10s }, start));
    EXPECT_FALSE(book.hear(daemon("a", 4), 9, { .runningFor = 11s }, start));
    EXPECT_FALSE(book.hear(daemon("a", 4), 9, { .runningFor = 15s }, start + 3s)) << "beacon delayed in transit";
    EXPECT_TRUE(book.hear(daemon("a", 6), 1, { .runningFor = 100ms }, start + 4s));
    EXPECT_EQ(book.daemons().at("a").listed.incarnation, 6U);
    EXPECT_FALSE(book.hear(daemon("a", 5), 8, { .runningFor = 13s }, start + 4s));
}

// Guards against ignoring a daemon's beacons for a minute because its VM's wall clock was set back before a restart.
TEST(DaemonBook, ADaemonWhoseWallClockWentBackIsHeardAtOnceWhenItStartsAgain)
{
    DaemonBook book;
    book.list(daemon("a", 5'000), start);
    EXPECT_TRUE(book.hear(daemon("a", 5'000), 7, { .runningFor = 10s }, start));
    book.list(daemon("a", 3'000), start + 1s);
    EXPECT_TRUE(book.hear(daemon("a", 3'000), 1, { .runningFor = 100ms }, start + 1s));
    EXPECT_EQ(book.daemons().at("a").listed.incarnation, 3'000U);
    // A late copy of the list from a peer does not restore the previous process.
    book.list(daemon("a", 2'000), start + 1s);
    EXPECT_EQ(book.daemons().at("a").listed.incarnation, 3'000U);
    // No beacon has arrived: the list is the only source of its address.
    book.list(daemon("b", 5'000), start);
    book.list(daemon("b", 3'000), start + 1s);
    EXPECT_EQ(book.daemons().at("b").listed.incarnation, 3'000U);
}

// Guards against assigning singleton duties to a newly started daemon, which lacks the recent history, because its clock is
// behind.
TEST(DaemonBook, TheLongestRunningDaemonHoldsTheDutiesWhateverTheIncarnations)
{
    DaemonBook book;
    book.hear(daemon("a", 9'000), 1, { .startedAt = 50s }, start);
    book.hear(daemon("b", 1'000), 1, { .startedAt = 80s }, start);
    book.hear(daemon("c", 500), 1, {}, start);
    EXPECT_EQ(book.elders("self", 70s, 0, start), (std::vector<std::string> { "a", "self", "b" }));
    EXPECT_EQ(book.elders("self", std::nullopt, 0, start), (std::vector<std::string> { "a", "b" })) << "c has no start time yet";
    book.hear(daemon("a", 9'000), 2, { .cannotHoldDuties = true, .startedAt = 50s }, start);
    EXPECT_EQ(book.elders("self", 70s, 0, start).front(), "self");
}

// The holder was cut off from the store, another one took over, and the former one is back: no turns, each of which costs a lease.
TEST(DaemonBook, TheNewestHolderKeepsTheDutiesWhileItCan)
{
    DaemonBook book;
    book.hear(daemon("a"), 1, { .startedAt = 50s, .leaseClaimed = 7 }, start);
    book.hear(daemon("b"), 1, { .startedAt = 80s, .leaseClaimed = 9 }, start);
    book.hear(daemon("c"), 1, { .startedAt = 60s }, start);
    EXPECT_EQ(book.elders("self", 70s, 0, start), (std::vector<std::string> { "b", "a", "c" }));
    EXPECT_EQ(book.elders("self", 90s, 11, start), (std::vector<std::string> { "self", "a", "c" }));
    EXPECT_EQ(book.elders("self", std::nullopt, 11, start).front(), "b") << "not fit for the duties";
    book.hear(daemon("b"), 2, { .cannotHoldDuties = true, .startedAt = 80s, .leaseClaimed = 9 }, start);
    EXPECT_EQ(book.elders("self", 70s, 0, start), (std::vector<std::string> { "a", "c", "self" }));
}

TEST(DaemonBook, ALateOrDuplicateBeaconChangesNothing)
{
    DaemonBook book;
    EXPECT_TRUE(book.hear(daemon("a"), 7, { .isLeaving = true }, start));
    EXPECT_FALSE(book.hear(daemon("a"), 7, {}, start));
    EXPECT_FALSE(book.hear(daemon("a"), 6, {}, start));
    EXPECT_TRUE(book.daemons().at("a").said.isLeaving);
}

TEST(DaemonBook, CallersAreDirectedToLiveDaemonsThatAreNotLeaving)
{
    DaemonBook book;
    book.list(daemon("silent"), start);
    book.hear(daemon("here"), 1, {}, start);
    book.hear(daemon("leaving"), 1, { .isLeaving = true }, start);
    ASSERT_EQ(book.usable(start).size(), 1U);
    EXPECT_EQ(book.usable(start).front()->listed.name, "here");
    EXPECT_EQ(book.liveCount(start), 3U);
    // Without live daemons, a dead address is better than none.
    EXPECT_EQ(book.usable(start + 10s).size(), 2U);
    EXPECT_EQ(book.liveCount(start + 10s), 1U);
}

TEST(DaemonBook, TheFirstTwoReadTheStoreAndTheNextTakesOver)
{
    DaemonBook book;
    book.hear(daemon("a"), 1, {}, start);
    book.hear(daemon("b"), 1, {}, start);
    EXPECT_FALSE(book.view("c", start).isReader);
    EXPECT_TRUE(book.view("aa", start).isReader);
    book.hear(daemon("b"), 2, {}, start + 5s);
    EXPECT_TRUE(book.view("c", start + 5s).isReader);
    book.hear(daemon("b"), 3, { .isReading = true, .configVersion = 4, .targetsChanged = 9 }, start + 5s);
    EXPECT_TRUE(book.view("c", start + 5s).hasLiveReader);
    EXPECT_EQ(book.view("c", start + 5s).newest.configVersion, 4U);
    EXPECT_FALSE(book.view("c", start + 20s).hasLiveReader);
}

// Daemons that start simultaneously are listed before their first beacons arrive; 300 of them must not all read the store until
// then.
TEST(DaemonBook, AListedDaemonMayBeAboutToRead)
{
    DaemonBook book;
    book.list(daemon("a"), start);
    book.list(daemon("b"), start);
    EXPECT_FALSE(book.view("c", start + 1s).isReader);
    EXPECT_TRUE(book.view("aa", start + 1s).isReader);
    EXPECT_TRUE(book.view("c", start + 1'001ms).isReader) << "without beacons by now they are gone";
    EXPECT_EQ(book.view("c", start).live, 1U);
}

TEST(DaemonBook, TheFirstThatCanGetALeasePlans)
{
    DaemonBook book;
    book.hear(daemon("a"), 1, { .cannotPlan = true }, start);
    book.hear(daemon("b"), 1, { .isLeaving = true }, start);
    EXPECT_TRUE(book.view("c", start).isPlanner);
    book.hear(daemon("a"), 2, {}, start);
    EXPECT_FALSE(book.view("c", start).isPlanner);
    EXPECT_TRUE(book.view("c", start + 5s).isPlanner);
}

TEST(DaemonBook, TheBeaconIntervalGrowsWithTheSite)
{
    DaemonBook book;
    EXPECT_EQ(book.beaconInterval(), 100ms);
    for (int n = 0; n < 90; ++n)
        book.hear(daemon("d" + std::to_string(n)), 1, {}, start);
    EXPECT_EQ(book.beaconInterval(), 450ms);
    // Three beacons may be lost.
    EXPECT_EQ(book.liveCount(start + 1300ms), 91U);
    EXPECT_EQ(book.liveCount(start + 1400ms), 1U);
}

// A daemon that was stalled finds old beacons in its socket. Their contents must neither count as current nor be passed on as
// such. The offset between the clocks of two VMs is arbitrary but constant.
TEST(DaemonBook, ADelayedBeaconCountsAsOfItsSending)
{
    DaemonBook book;
    std::function<std::chrono::milliseconds(std::uint64_t, Time, std::chrono::milliseconds)> ageOf = [&](std::uint64_t sequence, Time sentAt, std::chrono::milliseconds way) {
        DaemonState state { .targetsAge = 100ms, .saidAt = sentAt + 7h };
        EXPECT_TRUE(book.hear(daemon("a"), sequence, state, sentAt + way));
        return *book.daemons().at("a").said.targetsAge;
    };
    EXPECT_EQ(ageOf(1, start, 3ms), 100ms);
    EXPECT_EQ(ageOf(2, start + 1s, 2ms), 100ms);
    EXPECT_EQ(ageOf(3, start + 2s, 2'502ms), 2'600ms);
    EXPECT_EQ(ageOf(4, start + 5s, 2ms), 100ms);
}

TEST(DaemonBook, ARestartedDaemonHasTheClockOfItsVmOrANewOne)
{
    DaemonBook book;
    book.hear(daemon("a", 1), 5, { .targetsAge = 100ms, .saidAt = start + 1h }, start);
    // Only the process has restarted, and its first beacon was delayed.
    book.hear(daemon("a", 2), 1, { .targetsAge = 0ms, .saidAt = start + 10s + 1h }, start + 13s);
    EXPECT_EQ(book.daemons().at("a").said.targetsAge, 3s);
    // The VM has rebooted.
    book.hear(daemon("a", 3), 1, { .targetsAge = 0ms, .saidAt = Time(2s) }, start + 30s);
    EXPECT_EQ(book.daemons().at("a").said.targetsAge, 0ms);
}

TEST(DaemonBook, OthersReadWhileTheReadersCannot)
{
    DaemonBook book;
    DaemonState failing { .storeFailingFor = 1s };
    for (std::string const name : { "a", "b", "c", "d" })
        book.hear(daemon(name), 1, {}, start);
    EXPECT_FALSE(book.view("c1", start).isReader);
    book.hear(daemon("a"), 2, failing, start);
    book.hear(daemon("b"), 2, failing, start);
    EXPECT_TRUE(book.view("b1", start).isReader);
    EXPECT_TRUE(book.view("c1", start).isReader);
    EXPECT_FALSE(book.view("d1", start).isReader);
    // When no daemon can read, not all of them may try.
    book.hear(daemon("c"), 2, failing, start);
    book.hear(daemon("d"), 2, failing, start);
    EXPECT_FALSE(book.view("e", start).isReader);
}

TEST(DaemonBook, RemovesDaemonsThatHaveBeenSilentForLong)
{
    DaemonBook book;
    book.hear(daemon("a"), 1, {}, start);
    book.expire(start + 59s);
    EXPECT_EQ(book.daemons().size(), 1U);
    book.expire(start + 61s);
    EXPECT_TRUE(book.daemons().empty());
}
