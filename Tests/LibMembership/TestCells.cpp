#include <LibMembership/Cells.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace Membership;

namespace {

std::vector<LocatedNode> locatedNodes(std::string const& prefix, std::size_t count, std::size_t zones)
{
    std::vector<LocatedNode> result;
    for (std::size_t i = 0; i < count; ++i) {
        std::size_t const zone = i % zones;
        result.push_back({ prefix + std::to_string(i), "zone-" + std::to_string(zone), "region-" + std::to_string(zone * 3 / zones) });
    }
    return result;
}

bool acceptAll(std::string const&)
{
    return true;
}

}

TEST(Cells, FewTargetsPerDaemonAtPlannedFleetSize)
{
    Cells const cells = Cells::create(locatedNodes("entry-", 410, 11), locatedNodes("engine-", 6700, 11), 9).value();
    EXPECT_EQ(cells.cells().size(), 44U);
    std::map<std::string, std::size_t> watched;
    for (Cell const& cell : cells.cells()) {
        EXPECT_GE(cell.daemons.size(), 7U);
        EXPECT_LE(cell.daemons.size(), 10U);
        EXPECT_LE(cell.targets.size(), 200U);
        for (std::string const& target : cell.targets)
            ++watched[cells.watcherOf(target, acceptAll)];
    }
    std::size_t most = 0;
    for (std::pair<std::string const, std::size_t> const& entry : watched)
        most = std::max(most, entry.second);
    RecordProperty("mostTargetsWatchedByOne", static_cast<int>(most));
    EXPECT_LE(most, 40U);
}

TEST(Cells, CurrentFleetHasOneCellPerZone)
{
    Cells const cells = Cells::create(locatedNodes("entry-", 8, 3), locatedNodes("engine-", 9, 3), 9).value();
    EXPECT_EQ(cells.cells().size(), 3U);
    EXPECT_EQ(cells.cellOfDaemon("entry-0")->availabilityZone, "zone-0");
    EXPECT_EQ(cells.cellOfTarget("engine-0"), cells.cellOfDaemon("entry-0"));
    EXPECT_EQ(cells.cellOfDaemon("entry-99"), nullptr);
}

TEST(Cells, AddingADaemonChangesFewWatchers)
{
    std::vector<LocatedNode> daemons = locatedNodes("entry-", 38, 1);
    std::vector<LocatedNode> const targets = locatedNodes("engine-", 600, 1);
    Cells const before = Cells::create(daemons, targets, 9).value();
    daemons.push_back({ "entry-new", "zone-0", "region-0" });
    Cells const after = Cells::create(daemons, targets, 9).value();
    ASSERT_EQ(before.cells().size(), after.cells().size());
    std::size_t moved = 0;
    for (LocatedNode const& target : targets)
        moved += before.cellOfTarget(target.name) - before.cells().data() != after.cellOfTarget(target.name) - after.cells().data() ? 1 : 0;
    EXPECT_EQ(moved, 0U);
    std::size_t rewatched = 0;
    for (LocatedNode const& target : targets)
        rewatched += before.watcherOf(target.name, acceptAll) != after.watcherOf(target.name, acceptAll) ? 1 : 0;
    RecordProperty("watchersChangedOf600", static_cast<int>(rewatched));
    EXPECT_LT(rewatched, 200U);
}

TEST(Cells, RejectsZeroDaemonsPerCell)
{
    EXPECT_EQ(Cells::create({}, {}, 0).error().code, Core::ErrorCode::BadInput);
}

RC_GTEST_PROP(Cells, EveryTargetHasOneWatcherRegardlessOfListOrder, ())
{
    std::size_t const daemonCount = *rc::gen::inRange<std::size_t>(1, 60);
    std::size_t const zones = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<LocatedNode> daemons = locatedNodes("entry-", daemonCount, zones);
    std::vector<LocatedNode> targets = locatedNodes("engine-", *rc::gen::inRange<std::size_t>(0, 200), *rc::gen::inRange<std::size_t>(1, 12));
    Cells const cells = Cells::create(daemons, targets, 9).value();
    std::reverse(daemons.begin(), daemons.end());
    std::reverse(targets.begin(), targets.end());
    Cells const same = Cells::create(daemons, targets, 9).value();
    std::size_t assigned = 0;
    for (Cell const& cell : cells.cells())
        assigned += cell.targets.size();
    RC_ASSERT(assigned == targets.size());
    for (LocatedNode const& target : targets) {
        std::string const watcher = cells.watcherOf(target.name, acceptAll);
        RC_ASSERT(!watcher.empty());
        RC_ASSERT(watcher == same.watcherOf(target.name, acceptAll));
        // If the watcher fails, another daemon of the cell takes over, and the watchers of other targets do not change.
        auto const others = [&watcher](std::string const& name) { return name != watcher; };
        std::string const next = cells.watcherOf(target.name, others);
        RC_ASSERT(next != watcher);
        RC_ASSERT(next.empty() == (cells.cellOfTarget(target.name)->daemons.size() == 1));
    }
}
