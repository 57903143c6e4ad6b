#include <LibAuthority/ClosedEngines.h>
#include <LibAuthority/DrainTracker.h>
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace Authority {

using std::chrono::seconds;

TEST(ClosedEngines, LaterMessagesTakePrecedenceAndACloseExpires)
{
    ClosedEngines closed;
    Time start;
    EXPECT_FALSE(closed.isClosed("e", start));
    EXPECT_TRUE(closed.close("e", 7, 2, start, seconds(10)));
    EXPECT_FALSE(closed.open("e", 7, 1)) << "a delayed open message";
    EXPECT_FALSE(closed.open("e", 6, 9)) << "a former holder's message";
    EXPECT_FALSE(closed.close("e", 6, 9, start, seconds(99)));
    EXPECT_TRUE(closed.isClosed("e", start + seconds(9)));
    EXPECT_FALSE(closed.isClosed("e", start + seconds(10)));
    EXPECT_TRUE(closed.close("e", 7, 3, start + seconds(20), seconds(10)));
    EXPECT_TRUE(closed.open("e", 7, 4));
    EXPECT_FALSE(closed.close("e", 7, 3, start, seconds(99))) << "a delayed close message";
    EXPECT_FALSE(closed.isClosed("e", start + seconds(20)));
}

TEST(DrainTracker, ListsTheDaemonsThatMayStillRoute)
{
    Time start;
    DrainTracker drain(seconds(10));
    drain.setRouters({ { "b", "1" }, { "a", "1" } });
    std::uint64_t round = drain.beginRound(start);
    EXPECT_EQ(drain.unacknowledged(start), (std::vector<std::string> { "a", "b" }));
    drain.acknowledge({ "a", "1" }, round, start + seconds(1));
    drain.acknowledge({ "b", "0" }, round, start + seconds(1));
    drain.acknowledge({ "b", "1" }, round + 1, start + seconds(1));
    EXPECT_EQ(drain.unacknowledged(start + seconds(1)), (std::vector<std::string> { "b" })) << "from another process, or for an unknown round";
    EXPECT_EQ(drain.closedSince(start + seconds(1)), std::nullopt);
    drain.acknowledge({ "b", "1" }, round, start + seconds(4));
    EXPECT_EQ(drain.closedSince(start + seconds(5)), start + seconds(4));
    drain.setRouters({ { "b", "1" }, { "a", "1" }, { "c", "1" } });
    EXPECT_EQ(drain.unacknowledged(start + seconds(5)), (std::vector<std::string> { "c" })) << "a new daemon has not acknowledged";
    drain.setRouters({ { "a", "1" }, { "b", "1" } });
    EXPECT_EQ(drain.unacknowledged(start + seconds(10)), (std::vector<std::string> { "a", "b" })) << "the acknowledgement expired";
    drain.reset();
    drain.acknowledge({ "a", "1" }, round, start + seconds(5));
    EXPECT_EQ(drain.unacknowledged(start + seconds(5)).size(), 2U) << "the acknowledgement is of a round before the reset";
}

/// With messages lost, delayed and duplicated: while the holder counts a daemon as closed, the daemon has the engine closed.
RC_GTEST_PROP(DrainTracker, NeverCountsAnOpenDaemonAsClosed, ())
{
    struct Message {
        std::uint64_t round;
        bool isOpening;
    };
    Time now;
    DrainTracker drain(seconds(10));
    drain.setRouters({ { "a", "1" } });
    ClosedEngines closed;
    std::vector<Message> requests;
    std::vector<std::uint64_t> acknowledgedRounds;
    int steps = *rc::gen::inRange(1, 60);
    while (steps-- > 0) {
        int action = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 10));
        if (action < 2) {
            requests.push_back({ drain.beginRound(now), false });
        } else if (action < 3) {
            drain.reset();
            requests.push_back({ drain.beginRound(now), true });
        } else if (action < 6 && !requests.empty()) {
            Message message = *rc::gen::elementOf(requests);
            if (message.isOpening)
                closed.open("e", 1, message.round);
            else if (closed.close("e", 1, message.round, now, seconds(10)))
                acknowledgedRounds.push_back(message.round);
        } else if (action < 8 && !acknowledgedRounds.empty()) {
            drain.acknowledge({ "a", "1" }, *rc::gen::elementOf(acknowledgedRounds), now);
        } else {
            now += seconds(*rc::gen::inRange(0, 6));
        }
        RC_ASSERT(!drain.unacknowledged(now).empty() || closed.isClosed("e", now));
    }
}

}
