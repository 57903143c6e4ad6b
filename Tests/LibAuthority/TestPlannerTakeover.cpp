#include <LibAuthority/ClaimTimes.h>
#include <LibAuthority/StoreLease.h>
#include <LibFleet/DaemonBook.h>
#include <algorithm>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using namespace Authority;
using Time = StoreLease::Time;

constexpr Time start { 1'000s };
constexpr std::chrono::milliseconds tickInterval = 100ms;
constexpr std::chrono::milliseconds slack = 500ms; // A tick, a read and an append.

std::string nameOf(std::size_t daemon)
{
    std::string number = std::to_string(daemon);
    return "front-" + std::string(3 - number.size(), '0') + number;
}

// One of the daemons that may plan next.
struct Candidate {
    explicit Candidate(std::size_t daemon, bool isFenced)
        : name(nameOf(daemon))
        , lease(settings(isFenced), { name, 1 }, start - 60s)
    {
    }

    static StoreLeaseSettings settings(bool isFenced)
    {
        StoreLeaseSettings settings;
        settings.isFenced = isFenced;
        return settings;
    }

    std::string name;
    StoreLease lease;
    ClaimTimes claimTimes;
    Fleet::DaemonBook book;
};

// Returns how long after the death of the holder, which claimed the lease `claimAge` before, another daemon may order.
std::chrono::milliseconds timeWithoutHolder(std::size_t daemons, bool isFenced, std::chrono::milliseconds claimAge)
{
    std::size_t holder = daemons - 1;
    std::vector<Candidate> candidates;
    for (std::size_t n = 0; n < std::min<std::size_t>(3, holder); ++n)
        candidates.emplace_back(n, isFenced);
    std::chrono::milliseconds beaconInterval = 100ms;
    Time claimedAt = start + 10s;
    Time diesAt = claimedAt + claimAge;
    for (Time now = start; now < diesAt + 60s; now += tickInterval) {
        for (Candidate& candidate : candidates) {
            for (std::size_t n = 0; n < daemons; ++n) {
                // Beacons are spread over their interval.
                std::chrono::milliseconds sinceFirst = std::chrono::floor<std::chrono::milliseconds>(now - start) + tickInterval * static_cast<int>(n % 10);
                bool isDue = sinceFirst % beaconInterval < tickInterval;
                if (!isDue || nameOf(n) == candidate.name || (n == holder && now >= diesAt))
                    continue;
                Fleet::DaemonState state;
                state.runningFor = std::chrono::floor<std::chrono::milliseconds>(now - start) + 60s;
                state.saidAt = now;
                state.leaseClaimed = n == holder && now > claimedAt ? 8 : 0;
                candidate.book.hear({ nameOf(n), 1, "zone-a", "region-a", {}, {}, {} }, static_cast<std::uint64_t>((now - start) / 1ms + 1), state, now);
                candidate.claimTimes.note(state.leaseClaimed, now);
            }
            beaconInterval = candidate.book.beaconInterval();
            Fleet::SiteView view = candidate.book.view(candidate.name, now);
            bool isHeld = candidate.lease.opensAt() && now < *candidate.lease.opensAt();
            if (now < diesAt || !view.plansWith(candidate.lease.fencing().value_or(0)) || isHeld)
                continue;
            candidate.lease.observe(StoreLeaseClaim { 7, { nameOf(holder), 1 } }, 8, now, candidate.claimTimes.madeBy(7));
            if (candidate.lease.poll(true, now)) {
                candidate.lease.claimAppended(8);
                return std::chrono::floor<std::chrono::milliseconds>(now - diesAt);
            }
        }
    }
    return 60s;
}

}

// Guards against engines that get no orders for seconds because each daemon that comes to plan counts a claim, however old, from its
// own first look at it.
TEST(PlannerTakeover, AnotherDaemonOrdersAsSoonAsTheHolderIsKnownToBeGone)
{
    StoreLeaseSettings settings;
    std::chrono::milliseconds term = settings.orderTime + settings.quietTime + settings.margin;
    for (std::size_t daemons : { 3U, 7U, 90U, 295U }) {
        Fleet::DaemonBook book;
        for (std::size_t n = 1; n < daemons; ++n)
            book.list({ nameOf(n), 1, "zone-a", "region-a", {}, {}, {} }, start);
        std::chrono::milliseconds known = book.livenessTimeout();
        for (std::chrono::milliseconds claimAge : { 2'000ms, 10'000ms }) {
            std::chrono::milliseconds claimOver = std::max<std::chrono::milliseconds>(0ms, term - claimAge + book.beaconInterval());
            std::chrono::milliseconds fenced = timeWithoutHolder(daemons, true, claimAge);
            std::chrono::milliseconds unfenced = timeWithoutHolder(daemons, false, claimAge);
            EXPECT_LE(fenced, known + slack) << daemons;
            EXPECT_LE(unfenced, std::max(known, claimOver) + slack) << daemons << " daemons, claimed " << claimAge.count() << " ms before";
            std::string name = std::to_string(daemons) + "_daemons_claimed_" + std::to_string(claimAge.count()) + "_ms_before";
            RecordProperty("fenced_" + name, std::to_string(fenced.count()));
            RecordProperty("unfenced_" + name, std::to_string(unfenced.count()));
        }
        EXPECT_LE(timeWithoutHolder(daemons, false, 0ms), known + term + slack) << daemons << ": no word of the claim was heard";
    }
}

TEST(PlannerTakeover, TheHolderGoesOnPlanningWhenADaemonStartsThatComesFirstByName)
{
    Fleet::DaemonBook book;
    book.hear({ "front-000", 1, "zone-a", "region-a", {}, {}, {} }, 1, {}, start);
    EXPECT_FALSE(book.view("front-001", start).plansWith(0));
    EXPECT_TRUE(book.view("front-001", start).plansWith(8));
    book.hear({ "front-002", 1, "zone-a", "region-a", {}, {}, {} }, 1, { .leaseClaimed = 9 }, start);
    EXPECT_FALSE(book.view("front-001", start).plansWith(8)) << "a later claim than its own";
    EXPECT_TRUE(book.view("front-001", start + 2s).plansWith(8)) << "that daemon is gone";
    book.hear({ "front-002", 1, "zone-a", "region-a", {}, {}, {} }, 2, { .cannotPlan = true, .leaseClaimed = 9 }, start);
    EXPECT_TRUE(book.view("front-001", start).plansWith(8));
}

TEST(ClaimTimes, AClaimIsNoYoungerThanTheFirstReportOfALaterOffset)
{
    ClaimTimes times;
    EXPECT_FALSE(times.madeBy(0));
    times.note(0, start);
    EXPECT_FALSE(times.madeBy(0));
    times.note(4, start + 1s);
    times.note(4, start + 2s);
    times.note(9, start + 3s);
    times.note(6, start + 4s);
    EXPECT_EQ(times.madeBy(3), start + 1s);
    EXPECT_EQ(times.madeBy(4), start + 3s);
    EXPECT_FALSE(times.madeBy(9));
}
