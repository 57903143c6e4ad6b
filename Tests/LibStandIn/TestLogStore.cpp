#include <LibStandIn/LogStore.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

RC_GTEST_PROP(LogStore, OffsetsAreNeverUsedTwiceAndKeptRecordsReadBack, ())
{
    StandIn::LogStore log;
    std::vector<std::string> written;
    int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            log.trim("a", *rc::gen::inRange<std::uint64_t>(0, written.size() + 2));
            break;
        case 1:
            log.setRetention(*rc::gen::inRange<std::uint64_t>(0, 5));
            break;
        default:
            written.push_back(std::to_string(i));
            RC_ASSERT(log.append("a", written.back()).value() == written.size() - 1);
        }
        StandIn::LogRange range = log.rangeOf("a");
        RC_ASSERT(range.next == written.size());
        StandIn::LogPage page = log.read("a", range.first, 1000).value();
        RC_ASSERT(page.records.size() == range.next - range.first);
        for (StandIn::LogRecord const& it : page.records)
            RC_ASSERT(it.data == written[it.offset]);
        if (range.first > 0)
            RC_ASSERT(log.read("a", range.first - 1, 1).error().code == Core::ErrorCode::Gap);
    }
}

TEST(LogStore, DownLogTakesAndGivesNothing)
{
    StandIn::LogStore log;
    ASSERT_EQ(log.append("a", "x").value(), 0U);
    log.faults().isDown = true;
    EXPECT_EQ(log.append("a", "y").error().code, Core::ErrorCode::Unavailable);
    EXPECT_EQ(log.read("a", 0, 1).error().code, Core::ErrorCode::Unavailable);
    log.faults().isDown = false;
    EXPECT_EQ(log.append("a", "z").value(), 1U);
}

TEST(LogStore, StreamsAreApartAndLimitsHold)
{
    StandIn::LogStore log;
    std::string told;
    log.onAppend = [&](std::string const& stream) { told += stream; };
    EXPECT_EQ(log.append("a", "x").value(), 0U);
    EXPECT_EQ(log.append("b", "y").value(), 0U);
    EXPECT_EQ(told, "ab");
    EXPECT_EQ(log.append("b", "z").value(), 1U);
    EXPECT_EQ(log.read("b", 0, 1).value().records.size(), 1U);
    EXPECT_TRUE(log.read("b", 2, 10).value().records.empty());
    EXPECT_EQ(log.append("b", std::string(StandIn::LogStore::maximumRecordBytes + 1, 'x')).error().code, Core::ErrorCode::BadInput);
}
