#include "Fleet.h"
#include "StreamLoad.h"

#include <LibPlatform/Json.h>
#include <csignal>
#include <gtest/gtest.h>

using namespace Processes;
using Platform::numberOf;
using Platform::stringOf;

namespace {

constexpr std::chrono::milliseconds shortRound { 500 };

bool isAtVersion(Fleet const& fleet, std::string const& version)
{
    for (std::size_t n = 0; n < engineCount; ++n) {
        if (stringOf(getObject(fleet.engine(n), "/control/state"), "version") != version)
            return false;
    }
    return true;
}

std::vector<Endpoint> allEntries(Fleet const& fleet)
{
    return { fleet.callers(0), fleet.callers(1), fleet.callers(2) };
}

void expectWhole(LoadCounts const& counts)
{
    EXPECT_GT(counts.sent, 0U);
    EXPECT_EQ(counts.whole, counts.sent) << counts.text;
}

}

TEST(PlannedChange, OfAllEnginesUnderLoadCutsNothing)
{
    Fleet fleet;
    StreamLoad load([&] { return allEntries(fleet); }, shortRound);
    ASSERT_TRUE(waitFor([&] { return load.received() > 0; }));
    ASSERT_TRUE(fleet.changeVersion(1, "2"));
    EXPECT_TRUE(waitFor([&] { return isAtVersion(fleet, "2"); }));
    // The changed engines also take work again.
    std::uint64_t before = load.received();
    EXPECT_TRUE(waitFor([&] { return load.received() > before + 100; }));
    expectWhole(load.stop());
    for (std::size_t n = 0; n < engineCount; ++n)
        EXPECT_EQ(numberOf(getObject(fleet.engine(n), "/admin/requests"), "changes"), 1U) << Fleet::engineName(n);
}

TEST(Shutdown, OfADaemonUnderLoadCutsNothing)
{
    FleetSettings settings;
    settings.listHold = std::chrono::seconds(6);
    Fleet fleet(settings);
    std::vector<Endpoint> all = allEntries(fleet);
    // These callers took the list before the signal, and keep to it for less than they may.
    std::chrono::milliseconds held = settings.listHold / 3;
    std::atomic<int> roundsWithAll { 0 };
    std::atomic<bool> isLeaving { false };
    std::atomic<bool> hasStarted { false };
    StreamLoad load(
        [&]() -> std::vector<Endpoint> {
            if (!hasStarted.exchange(true) || !isLeaving || roundsWithAll++ == 0)
                return all;
            return { fleet.callers(1), fleet.callers(2) };
        },
        held);
    ASSERT_TRUE(waitFor([&] { return load.received() > 0; }));
    fleet.daemon(0).send(SIGTERM);
    isLeaving = true;
    std::function<bool(std::size_t)> isListed = [&](std::size_t n) {
        Http::Response entries = fetch(fleet.callers(n), { "GET", "/v1/entries", {}, {} });
        return entries.body.empty() || entries.body.find("\"entry-1\"") != std::string::npos;
    };
    EXPECT_TRUE(waitFor([&] { return !isListed(1) && !isListed(2); }));
    EXPECT_FALSE(fleet.daemon(0).status()) << "it serves those who hold the list";
    EXPECT_TRUE(waitFor([&] { return fleet.daemon(0).status().has_value(); }));
    EXPECT_EQ(fleet.daemon(0).status(), 0);
    expectWhole(load.stop());
}

TEST(Drain, ByALabelEndsNewWorkWithinSeconds)
{
    constexpr std::chrono::seconds promised { 3 };
    Fleet fleet;
    StreamLoad load([&] { return allEntries(fleet); }, shortRound);
    std::function<std::uint64_t()> started = [&] { return numberOf(getObject(fleet.engine(0), "/admin/requests"), "started"); };
    ASSERT_TRUE(waitFor([&] { return started() > 0; }));
    ASSERT_TRUE(fleet.change(2, "target", Fleet::engineName(0), { { "labels", "drain=yes" } }));
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + promised;
    ASSERT_TRUE(waitFor([&] { return std::chrono::steady_clock::now() > end; }));
    std::uint64_t atEnd = started();
    std::uint64_t before = load.received();
    EXPECT_TRUE(waitFor([&] { return load.received() > before + 100; })) << "the other engines serve";
    EXPECT_EQ(started(), atEnd);
    expectWhole(load.stop());
}
