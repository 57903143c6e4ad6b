#include <LibDaemon/EventSplitter.h>
#include <LibHttp/Fields.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

constexpr std::size_t eventLimit = 1'000;

}

TEST(EventSplitter, CutsAtBlankLines)
{
    Daemon::EventSplitter splitter(eventLimit);
    EXPECT_TRUE(splitter.add("id: 0\ndata: a\n").empty());
    std::vector<std::string> events = splitter.add("\ndata: b\r\n\r\ndata: c");
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0], "id: 0\ndata: a\n\n");
    EXPECT_EQ(events[1], "data: b\r\n\r\n");
    EXPECT_TRUE(splitter.hasPartialEvent());
    EXPECT_FALSE(splitter.hasSeenDone());
}

// Guards against a stream whose bytes end no event and fill the memory of the daemon that waits for one.
TEST(EventSplitter, HoldsNoMoreThanOneEventOfTheLongestSize)
{
    Daemon::EventSplitter splitter(eventLimit);
    std::string longest = "data: " + std::string(eventLimit - 8, 'x') + "\n\n";
    EXPECT_EQ(splitter.add(longest).size(), 1U);
    EXPECT_EQ(splitter.problem(), "");
    EXPECT_EQ(splitter.add("data: a\n\ndata: " + std::string(eventLimit - 6, 'x')).size(), 1U);
    EXPECT_EQ(splitter.problem(), "");
    EXPECT_TRUE(splitter.add("x").empty());
    EXPECT_NE(splitter.problem(), "");
    EXPECT_TRUE(splitter.add("\n\ndata: b\n\n").empty());
    EXPECT_FALSE(splitter.hasPartialEvent());
}

// Guards against an event beyond the limit that is delivered because it came whole in one piece.
TEST(EventSplitter, ALongerEventIsNotReturnedHoweverItArrives)
{
    Daemon::EventSplitter splitter(eventLimit);
    EXPECT_EQ(splitter.add("data: a\n\ndata: " + std::string(eventLimit, 'x') + "\n\ndata: b\n\n").size(), 1U);
    EXPECT_NE(splitter.problem(), "");
}

// Guards against a stream that hangs because it goes on behind an event whose id fits no header field.
TEST(EventSplitter, AnEventWhoseIdCannotBeSentIsNotReturned)
{
    std::string longId(Http::maxFieldValueSize + 1, 'x');
    for (std::string const& id : { std::string("a\rX-Other: b"), std::string("a\0b", 3), longId }) {
        Daemon::EventSplitter splitter(2 * Http::maxFieldValueSize);
        EXPECT_EQ(splitter.add("id: 1\ndata: a\n\nid: " + id + "\ndata: b\n\nid: 2\ndata: c\n\n").size(), 1U);
        EXPECT_NE(splitter.problem(), "");
    }
}

RC_GTEST_PROP(EventSplitter, GivesTheSameEventsHoweverTheBytesArrive, (std::vector<std::uint8_t> const& sizes))
{
    std::string stream;
    for (int n = 0; n < 20; ++n)
        stream += "id: " + std::to_string(n) + "\ndata: {\"n\":" + std::to_string(n) + "}\n\n";
    stream += "data: [DONE]\n\n";
    Daemon::EventSplitter whole(eventLimit);
    std::vector<std::string> expected = whole.add(stream);
    Daemon::EventSplitter splitter(eventLimit);
    std::vector<std::string> events;
    std::string_view rest = stream;
    std::size_t next = 0;
    while (!rest.empty()) {
        std::size_t n = next < sizes.size() ? std::min<std::size_t>(sizes[next++] + 1, rest.size()) : rest.size();
        for (std::string& event : splitter.add(rest.substr(0, n)))
            events.push_back(std::move(event));
        rest.remove_prefix(n);
    }
    RC_ASSERT(events == expected);
    RC_ASSERT(splitter.hasSeenDone());
    RC_ASSERT(!splitter.hasPartialEvent());
}

TEST(EventId, IsTheValueOfItsField)
{
    EXPECT_EQ(Daemon::eventId("id: 7\ndata: x\n\n"), "7");
    EXPECT_EQ(Daemon::eventId("data: id: 9\r\nid:8\r\n\r\n"), "8");
    EXPECT_EQ(Daemon::eventId("data: x\n\n"), "");
    EXPECT_TRUE(Daemon::isBehind("10", "9"));
    EXPECT_FALSE(Daemon::isBehind("9", "9"));
    EXPECT_FALSE(Daemon::isBehind("9", "10"));
    EXPECT_TRUE(Daemon::isBehind("b", "a"));
    EXPECT_FALSE(Daemon::isBehind("a", "a"));
}
