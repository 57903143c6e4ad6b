#include <LibFleet/ReadTurn.h>
#include <gtest/gtest.h>
#include <vector>

// Store calls are billed individually, so a site's call rate must not depend on its number of daemons: two of them read
// continuously, and while they cannot, the others together make about as many calls.

namespace {

using namespace std::chrono_literals;
using namespace Fleet;

constexpr Time start { 100s };

// Returns the number of calls that daemons with identical views make in ten seconds; the first `readers` read continuously.
std::size_t callsOf(std::size_t daemons, std::size_t readers, bool hasLiveReader)
{
    std::vector<ReadTurn> turns;
    for (std::size_t n = 0; n < daemons; ++n) {
        turns.emplace_back(ReadTurnSettings(), n);
        turns.back().begin(start);
    }
    std::size_t calls = 0;
    for (Time now = start; now < start + 10s; now += 10ms) {
        for (std::size_t n = 0; n < daemons; ++n) {
            SiteView view;
            view.live = daemons;
            view.isReader = n < readers;
            view.hasLiveReader = hasLiveReader;
            if (!turns[n].due(view, false, now))
                continue;
            ++calls;
            turns[n].begin(now);
        }
    }
    return calls;
}

}

TEST(ReadTurn, CallsDoNotGrowWithTheNumberOfNonReaders)
{
    std::size_t few = callsOf(6, 2, true);
    EXPECT_LE(few, 2 * 10s / 150ms);
    EXPECT_EQ(callsOf(300, 2, true), few);
    EXPECT_EQ(callsOf(1'000, 2, true), few);
}

TEST(ReadTurn, WithoutAReaderTheCallRateIsIndependentOfTheSiteSize)
{
    for (std::size_t daemons : { 6U, 90U, 300U, 1'000U }) {
        std::size_t calls = callsOf(daemons, 0, false);
        EXPECT_GE(calls, 10s / 400ms) << daemons << ": updates must not be delayed";
        EXPECT_LE(calls, 10s / 75ms) << daemons;
    }
}

TEST(ReadTurn, NonReadersRarelyReadTheStore)
{
    ReadTurn turn(ReadTurnSettings(), 1);
    turn.begin(start);
    SiteView view;
    view.live = 6;
    view.isReader = false;
    view.hasLiveReader = true;
    EXPECT_FALSE(turn.due(view, false, start + 29s));
    EXPECT_EQ(turn.due(view, false, start + 30s), StoreCallReason::Idle);
    view.live = 300;
    EXPECT_FALSE(turn.due(view, false, start + 299s));
    EXPECT_EQ(turn.due(view, false, start + 300s), StoreCallReason::Idle);
    EXPECT_EQ(turn.due(view, true, start + 1s), StoreCallReason::News);
    EXPECT_FALSE(turn.due(view, true, start + 100ms)) << "not more often than the topic's interval";
}

TEST(ReadTurn, ADaemonWithoutPeersReadsImmediately)
{
    ReadTurn turn(ReadTurnSettings(), 1);
    turn.begin(start);
    EXPECT_EQ(turn.due(SiteView(), false, start + 150ms), StoreCallReason::Reader);
}

// The list of daemons serves only initial discovery: a daemon that receives beacons does not need it.
TEST(ReadTurn, AnUnannouncedListIsReReadByDaemonsWithoutLivePeers)
{
    ReadTurnSettings settings;
    settings.interval = 2s;
    settings.isToldByPeers = false;
    ReadTurn turn(settings, 1);
    turn.begin(start);
    SiteView view;
    EXPECT_FALSE(turn.due(view, false, start + 1s));
    std::optional<StoreCallReason> reason;
    for (Time now = start + 2s; !reason && now <= start + 3s; now += 10ms)
        reason = turn.due(view, false, now);
    EXPECT_EQ(reason, StoreCallReason::Unheard);
    view.live = 6;
    turn.begin(start + 3s);
    EXPECT_FALSE(turn.due(view, false, start + 32s));
}
