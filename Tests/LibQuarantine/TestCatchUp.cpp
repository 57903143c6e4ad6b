#include <LibQuarantine/CatchUp.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace {

using namespace Quarantine;
using namespace std::chrono_literals;

constexpr Time origin { 1'000s };

std::optional<std::string> query(CatchUp& catchUp, std::uint64_t own, Time now)
{
    return catchUp.peerToQuery(own, 100ms, 1s, now);
}

}

TEST(CatchUp, StartingDaemonQueriesTheFirstPeerThatHasCaughtUp)
{
    CatchUp catchUp(1);
    catchUp.notePeerDigest("a", std::nullopt, 0, origin);
    EXPECT_FALSE(query(catchUp, 0, origin));
    catchUp.notePeerDigest("b", 5, 0, origin + 10ms);
    EXPECT_EQ(query(catchUp, 0, origin + 10ms), "b");
    EXPECT_FALSE(query(catchUp, 0, origin + 20ms)) << "only one query at a time";
}

// Guards against all daemons of a restarted site querying the two that have read the store at the same time.
TEST(CatchUp, SpreadsQueriesOfDaemonsThatStartTogether)
{
    std::map<Time, int> queries;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CatchUp catchUp(seed);
        for (Time now = origin; now < origin + 3s; now += 100ms) {
            catchUp.notePeerDigest("a", 5, 0, now);
            if (catchUp.peerToQuery(0, 1'500ms, 5s, now)) {
                ++queries[now];
                break;
            }
        }
    }
    int most = 0;
    for (std::pair<Time const, int> const& it : queries)
        most = std::max(most, it.second);
    EXPECT_LE(most, 40);
    EXPECT_LT(queries.rbegin()->first, origin + 1'600ms);
}

// Guards against three hundred simultaneous queries for evidence that is already propagating by beacons.
TEST(CatchUp, WaitsForNewsThatIsPropagating)
{
    CatchUp catchUp(1);
    catchUp.noteReply(true, true, origin);
    catchUp.notePeerDigest("a", 5, 0, origin + 1s);
    EXPECT_FALSE(query(catchUp, 0, origin + 1s));
    EXPECT_FALSE(query(catchUp, 0, origin + 1'200ms));
    EXPECT_FALSE(query(catchUp, 5, origin + 1'250ms)) << "the news has arrived";
    EXPECT_FALSE(query(catchUp, 6, origin + 1'300ms)) << "a new difference restarts the grace period";
    catchUp.notePeerDigest("a", 5, 6, origin + 1'500ms);
    EXPECT_EQ(query(catchUp, 6, origin + 1'600ms), "a");
}

TEST(CatchUp, BacksOffWhileRepliesChangeNothing)
{
    CatchUp catchUp(1);
    std::size_t queries = 0;
    for (Time now = origin; now < origin + 60s; now += 100ms) {
        catchUp.notePeerDigest("a", 5, 0, now);
        if (query(catchUp, 1, now)) {
            ++queries;
            catchUp.noteReply(true, false, now);
        }
    }
    EXPECT_GE(queries, 5U);
    EXPECT_LE(queries, 15U);
}

TEST(CatchUp, SkipsPeersThatTimedOut)
{
    CatchUp catchUp(1);
    catchUp.notePeerDigest("a", 5, 0, origin);
    EXPECT_FALSE(query(catchUp, 0, origin + 2s));
}

// Guards against a starting daemon that hears only from other starting daemons and considers itself caught up.
TEST(CatchUp, CatchesUpFromAPeerThatHasCaughtUp)
{
    CatchUp catchUp(1);
    catchUp.notePeerDigest("a", std::nullopt, 0, origin);
    EXPECT_FALSE(catchUp.isCaughtUp());
    catchUp.notePeerDigest("b", 5, 0, origin);
    EXPECT_FALSE(catchUp.isCaughtUp());
    EXPECT_EQ(query(catchUp, 0, origin), "b");
    catchUp.noteReply(false, false, origin);
    EXPECT_FALSE(catchUp.isCaughtUp()) << "no answer";
    EXPECT_EQ(query(catchUp, 0, origin + 700ms), "b");
    catchUp.noteReply(true, true, origin + 700ms);
    EXPECT_TRUE(catchUp.isCaughtUp());
}

TEST(CatchUp, HasCaughtUpIfAPeerHasTheSameDigest)
{
    CatchUp catchUp(1);
    catchUp.notePeerDigest("a", 0, 0, origin);
    EXPECT_TRUE(catchUp.isCaughtUp());
}

TEST(CatchUp, HasCaughtUpAfterReadingTheStore)
{
    CatchUp catchUp(1);
    catchUp.noteLoaded();
    EXPECT_TRUE(catchUp.isCaughtUp());
}
