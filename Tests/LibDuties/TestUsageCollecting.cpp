// A daemon that begins to collect counts late, because those that collected before are cut off from the store: its report has all
// counts of the daemons that it hears.

#include <LibDuties/UsageBook.h>
#include <LibDuties/UsageDuty.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace {

using namespace std::chrono_literals;
using Duties::UsageBook;
using Duties::UsageDuty;
using Duties::UsageStatement;
using Duties::WallTime;
using Duties::WindowNumber;

constexpr std::chrono::milliseconds windowLength { 5'000 };
constexpr std::chrono::milliseconds beaconInterval { 350 };
constexpr std::chrono::milliseconds stepLength { 50 };
constexpr WindowNumber window = 200;
WallTime const windowEnd = Duties::endOf(window, windowLength);

/// One request each 50 ms; every daemon's beacons have their own phase, and one of them is lost.
struct Peer {
    std::string name;
    std::chrono::milliseconds phase { 0 };
    std::uint64_t lostBeacon { 0 }; ///< Of those since the collector's beginning.

    UsageStatement statementAt(WallTime now) const
    {
        UsageStatement statement;
        WallTime counted = std::min(now, windowEnd);
        statement.windows[window]["a"] = static_cast<std::uint64_t>((counted - (windowEnd - windowLength)) / stepLength);
        statement.closedBefore = Duties::windowAt(now, windowLength);
        return statement;
    }
};

/// Returns the counts that the collector decides, with `isTold` as what the others send to it at a time.
template <typename IsTold>
std::uint64_t decidedBy(std::vector<Peer> const& peers, WallTime begins, IsTold isTold)
{
    UsageBook book;
    UsageDuty duty({ windowLength, 10s, 300ms, 0.25 });
    duty.begin(windowEnd - 1ms);
    duty.setCollectedAt(begins + 4 * beaconInterval);
    std::map<std::string, std::uint64_t> sent;
    for (WallTime now = windowEnd - windowLength; now < windowEnd + 10s; now += stepLength) {
        for (Peer const& peer : peers) {
            if ((now.time_since_epoch() + peer.phase) % beaconInterval != 0ms)
                continue;
            bool isFull = isTold(peer, now);
            bool isLost = isFull && sent[peer.name]++ == peer.lostBeacon;
            if (!isLost)
                book.merge({ peer.name, 1 }, isFull ? peer.statementAt(now) : Duties::withoutCounts(peer.statementAt(now)));
        }
        if (now < begins)
            continue;
        std::optional<Duties::UsageStep> step = duty.next(now, [&](WindowNumber number) {
            return std::all_of(peers.begin(), peers.end(), [&](Peer const& it) { return book.hasClosed({ it.name, 1 }, number); });
        });
        if (step && std::holds_alternative<Duties::DecideReport>(*step))
            return book.total(window)["a"];
    }
    return 0;
}

std::vector<Peer> genPeers()
{
    std::vector<Peer> peers;
    int count = *rc::gen::inRange(2, 12);
    for (int n = 0; n < count; ++n)
        peers.push_back({ "daemon-" + std::to_string(n), stepLength * *rc::gen::inRange(0, 7), static_cast<std::uint64_t>(*rc::gen::inRange(0, 20)) });
    return peers;
}

}

// The daemons that collected are cut off from the store, and the next one has no counts yet when the window is due.
RC_GTEST_PROP(UsageCollecting, AfterACutFromTheStoreTheNextCollectorHasAllCounts, ())
{
    std::vector<Peer> peers = genPeers();
    WallTime begins = windowEnd - windowLength + stepLength * *rc::gen::inRange(0, 210);
    std::uint64_t decided = decidedBy(peers, begins, [begins](Peer const&, WallTime now) { return now >= begins + beaconInterval; });
    RC_ASSERT(decided == peers.size() * 100);
}

// One that collected, was barred for six seconds and collects again has heard nothing in between.
RC_GTEST_PROP(UsageCollecting, ACollectorThatIsBackHasAllCounts, ())
{
    std::vector<Peer> peers = genPeers();
    WallTime barred = windowEnd - windowLength + stepLength * *rc::gen::inRange(0, 90);
    WallTime begins = barred + 6s;
    std::uint64_t decided = decidedBy(peers, begins, [begins, barred](Peer const&, WallTime now) { return now < barred || now >= begins + beaconInterval; });
    RC_ASSERT(decided == peers.size() * 100);
}

// A daemon that isn't heard any more doesn't keep the window from being reported in time.
TEST(UsageCollecting, ASilentDaemonDoesNotKeepAWindowFromItsReport)
{
    std::vector<Peer> peers { { "here", 0ms, 99 }, { "silent", 0ms, 99 } };
    EXPECT_GE(decidedBy(peers, windowEnd - windowLength, [](Peer const& peer, WallTime now) { return peer.name == "here" || now < windowEnd - 1s; }), 170U);
    EXPECT_EQ(decidedBy(peers, windowEnd + 6s, [](Peer const& peer, WallTime) { return peer.name == "here"; }), 100U);
}
