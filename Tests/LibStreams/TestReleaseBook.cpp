#include <LibStreams/ReleaseBook.h>
#include <gtest/gtest.h>

namespace {

using namespace Streams;
using namespace std::chrono_literals;

using Change = ReleaseBook::Change;
using Releases = std::set<std::string>;

Time const start { 1'000s };

constexpr std::size_t siteSize = 6;

ReleaseBook loadedBook(std::vector<std::pair<std::string, ReleaseRecord>> const& records = {})
{
    ReleaseBook book({}, 1);
    for (std::pair<std::string, ReleaseRecord> const& it : records)
        book.take(it.first, it.second);
    book.noteLoaded();
    return book;
}

}

// Guards against streams that begin at a release which no record names: everyone else would think that they began at another one.
TEST(ReleaseBook, AReleaseBeginsStreamsOnlyOnceItIsRecorded)
{
    ReleaseBook book = loadedBook({ { "llm", { 3, { "v1" } } } });
    book.setListed({ { "llm", { "v1", "v2" } } }, start);
    EXPECT_TRUE(book.mayBegin({ "llm", "v1" }));
    EXPECT_FALSE(book.mayBegin({ "llm", "v2" }));
    EXPECT_FALSE(book.mayBegin({ "other", "v1" }));
    EXPECT_EQ(book.dueChange(start, true, siteSize), (Change { "llm", { "v1", "v2" } }));
    EXPECT_TRUE(book.take("llm", { 4, { "v1", "v2" } }));
    EXPECT_TRUE(book.mayBegin({ "llm", "v2" }));
    EXPECT_FALSE(book.dueChange(start, true, siteSize));
}

TEST(ReleaseBook, WritesNothingBeforeTheStoreIsKnown)
{
    ReleaseBook book({}, 1);
    book.setListed({ { "llm", { "v1" } } }, start);
    EXPECT_FALSE(book.dueChange(start + 1h, true, siteSize));
    book.noteLoaded();
    EXPECT_EQ(book.dueChange(start + 1h, true, siteSize), (Change { "llm", { "v1" } }));
}

TEST(ReleaseBook, OthersWriteLaterThanThoseThatReadTheStore)
{
    ReleaseBook book = loadedBook();
    book.setListed({ { "llm", { "v1" } } }, start);
    EXPECT_FALSE(book.dueChange(start, false, siteSize));
    EXPECT_FALSE(book.dueChange(start + 900ms, false, siteSize));
    EXPECT_TRUE(book.dueChange(start + 1s + siteSize * 200ms, false, siteSize));
}

// Guards against a store that is away and gets a call from each of hundreds of daemons several times a second.
TEST(ReleaseBook, AStoreThatFailsIsCalledAsRarelyByALargeSite)
{
    constexpr std::chrono::seconds outage = 60s;
    constexpr std::int64_t callsPerSecond = 10;
    for (std::size_t daemons : { 6U, 90U, 295U }) {
        std::int64_t calls = 0;
        for (std::size_t n = 0; n < daemons; ++n) {
            ReleaseBook book({}, n);
            book.noteLoaded();
            book.setListed({ { "llm", { "v1" } } }, start);
            for (Time now = start; now < start + outage; now += 100ms)
                calls += book.dueChange(now, false, daemons) ? 1 : 0;
        }
        EXPECT_GT(calls, 0) << daemons;
        EXPECT_LE(calls, outage.count() * callsPerSecond) << daemons;
    }
}

TEST(ReleaseBook, AnOlderRecordIsIgnored)
{
    ReleaseBook book = loadedBook({ { "llm", { 5, { "v1", "v2" } } } });
    EXPECT_FALSE(book.take("llm", { 4, { "v1" } }));
    EXPECT_FALSE(book.take("llm", { 5, { "v1" } }));
    EXPECT_TRUE(book.mayBegin({ "llm", "v2" }));
}

// Guards against a release that is taken out while daemons that are cut off may still begin streams at it.
TEST(ReleaseBook, AReleaseStaysLongAfterItsLastTarget)
{
    ReleaseBook book = loadedBook({ { "llm", { 5, { "v1", "v2" } } } });
    book.setListed({ { "llm", { "v1", "v2" } } }, start);
    book.setListed({ { "llm", { "v2" } } }, start + 1h);
    EXPECT_FALSE(book.dueChange(start + 1h + 9min, true, siteSize));
    EXPECT_EQ(book.dueChange(start + 1h + 10min, true, siteSize), (Change { "llm", { "v2" } }));
    // A release that returns in between starts anew.
    book.setListed({ { "llm", { "v1", "v2" } } }, start + 1h + 11min);
    book.setListed({ { "llm", { "v2" } } }, start + 1h + 12min);
    EXPECT_FALSE(book.dueChange(start + 1h + 21min, true, siteSize));
}

// A daemon that starts after the last target of a release has gone cannot tell when that was.
TEST(ReleaseBook, AReleaseThatIsOnlyRecordedCountsFromWhenItWasFound)
{
    ReleaseBook book = loadedBook({ { "llm", { 5, { "v1", "v2" } } } });
    book.setListed({ { "llm", { "v2" } } }, start);
    EXPECT_FALSE(book.dueChange(start, true, siteSize));
    EXPECT_FALSE(book.dueChange(start + 9min, true, siteSize));
    EXPECT_EQ(book.dueChange(start + 10min, true, siteSize), (Change { "llm", { "v2" } }));
}

TEST(ReleaseBook, OnlyOneStatedReleaseTellsWhatBeganAStream)
{
    EXPECT_EQ(ReleaseBook::onlyRelease({ 1, { "v1" } }), "v1");
    EXPECT_FALSE(ReleaseBook::onlyRelease({ 1, { "v1", "v2" } }));
    EXPECT_FALSE(ReleaseBook::onlyRelease({ 1, { "" } }));
    EXPECT_FALSE(ReleaseBook::onlyRelease({ 1, { "", "v1" } }));
    ReleaseBook book = loadedBook({ { "llm", { 1, { "v1" } } }, { "other", { 2, { "v1", "v2" } } } });
    EXPECT_FALSE(book.isMixed("llm"));
    EXPECT_TRUE(book.isMixed("other"));
    EXPECT_TRUE(book.isMixed("unknown"));
}

// The last record of a service says at which release its streams began, and stays.
TEST(ReleaseBook, TheOnlyReleaseIsNeverTakenOut)
{
    ReleaseBook book = loadedBook({ { "llm", { 1, { "v1" } } } });
    book.setListed({}, start);
    EXPECT_FALSE(book.dueChange(start, true, siteSize));
    EXPECT_FALSE(book.dueChange(start + 1h, true, siteSize));
}
