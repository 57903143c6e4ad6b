#include <LibStreams/ReleaseBook.h>
#include <gtest/gtest.h>

namespace {

using namespace Streams;
using namespace std::chrono_literals;

using Change = ReleaseBook::Change;
using Releases = std::set<std::string>;

Time const start { 1'000s };

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
    EXPECT_EQ(book.dueChange(start, true), (Change { "llm", { "v1", "v2" } }));
    EXPECT_TRUE(book.take("llm", { 4, { "v1", "v2" } }));
    EXPECT_TRUE(book.mayBegin({ "llm", "v2" }));
    EXPECT_FALSE(book.dueChange(start, true));
}

TEST(ReleaseBook, WritesNothingBeforeTheStoreIsKnown)
{
    ReleaseBook book({}, 1);
    book.setListed({ { "llm", { "v1" } } }, start);
    EXPECT_FALSE(book.dueChange(start + 1h, true));
    book.noteLoaded();
    EXPECT_EQ(book.dueChange(start + 1h, true), (Change { "llm", { "v1" } }));
}

TEST(ReleaseBook, OthersWriteLaterThanThoseThatReadTheStore)
{
    ReleaseBook book = loadedBook();
    book.setListed({ { "llm", { "v1" } } }, start);
    EXPECT_FALSE(book.dueChange(start, false));
    EXPECT_FALSE(book.dueChange(start + 900ms, false));
    EXPECT_TRUE(book.dueChange(start + 2s, false));
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
    EXPECT_FALSE(book.dueChange(start + 1h + 9min, true));
    EXPECT_EQ(book.dueChange(start + 1h + 10min, true), (Change { "llm", { "v2" } }));
    // A release that returns in between starts anew.
    book.setListed({ { "llm", { "v1", "v2" } } }, start + 1h + 11min);
    book.setListed({ { "llm", { "v2" } } }, start + 1h + 12min);
    EXPECT_FALSE(book.dueChange(start + 1h + 21min, true));
}

// A daemon that starts after the last target of a release has gone cannot tell when that was.
TEST(ReleaseBook, AReleaseThatIsOnlyRecordedCountsFromWhenItWasFound)
{
    ReleaseBook book = loadedBook({ { "llm", { 5, { "v1", "v2" } } } });
    book.setListed({ { "llm", { "v2" } } }, start);
    EXPECT_FALSE(book.dueChange(start, true));
    EXPECT_FALSE(book.dueChange(start + 9min, true));
    EXPECT_EQ(book.dueChange(start + 10min, true), (Change { "llm", { "v2" } }));
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
    EXPECT_FALSE(book.dueChange(start, true));
    EXPECT_FALSE(book.dueChange(start + 1h, true));
}
