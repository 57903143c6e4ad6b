#include <LibStreams/OriginBook.h>
#include <gtest/gtest.h>

namespace {

using namespace Streams;
using namespace std::chrono_literals;

Time const start { 1'000s };

}

TEST(OriginWindow, ForgetsAStreamSoLongAfterItWasLastNoted)
{
    OriginWindow window(10s, 100);
    EXPECT_TRUE(window.note({ 1, { "llm", "v1" } }, start));
    EXPECT_TRUE(window.note({ 2, { "llm", "v1" } }, start));
    EXPECT_FALSE(window.note({ 1, { "llm", "v1" } }, start + 6s));
    EXPECT_FALSE(window.expire(start + 10s));
    EXPECT_TRUE(window.expire(start + 11s));
    EXPECT_FALSE(window.find(2));
    EXPECT_EQ(window.find(1)->origin.release, "v1");
    EXPECT_TRUE(window.expire(start + 17s));
    EXPECT_EQ(window.size(), 0U);
}

// Guards against a stream that goes on although two daemons say that different releases began it.
TEST(OriginWindow, AContradictionMakesAnOriginUnknown)
{
    OriginWindow window(10s, 100);
    window.note({ 1, { "llm", "v1" } }, start);
    EXPECT_TRUE(window.note({ 1, { "llm", "v2" } }, start));
    EXPECT_FALSE(window.find(1)->origin.isKnown());
    EXPECT_FALSE(window.note({ 1, { "llm", "v1" } }, start));
    EXPECT_FALSE(window.find(1)->origin.isKnown());
}

TEST(OriginWindow, ForgetsTheOldestBeyondItsCapacity)
{
    OriginWindow window(1h, 3);
    for (StreamKey key = 1; key <= 5; ++key)
        window.note({ key, { "llm", "v1" } }, start + std::chrono::seconds(key));
    EXPECT_EQ(window.size(), 3U);
    EXPECT_FALSE(window.find(2));
    EXPECT_TRUE(window.find(3));
    // A stream that is noted all the time does not fill it either.
    for (int n = 0; n < 100; ++n)
        window.note({ 5, { "llm", "v1" } }, start + 10s);
    EXPECT_TRUE(window.find(5));
}

TEST(OriginBook, ReportsEachStreamOnceUnlessAskedToReportAllAgain)
{
    OriginBook book;
    book.setLifetime(10s);
    book.note({ 1, { "llm", "v1" } }, start);
    book.note({ 2, { "llm", "v2" } }, start + 1s);
    EXPECT_EQ(book.takeUnreported(start + 1s).size(), 2U);
    EXPECT_TRUE(book.takeUnreported(start + 1s).empty());
    book.note({ 3, { "llm", "v2" } }, start + 11s);
    book.reportAllAgain();
    EXPECT_EQ(book.takeUnreported(start + 11s).size(), 2U) << "the first one is forgotten";
}
