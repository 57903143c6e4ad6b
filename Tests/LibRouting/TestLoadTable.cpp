#include <LibRouting/LoadTable.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using Routing::LoadReport;
using Routing::LoadTable;
using Routing::Time;
using std::chrono::milliseconds;

Time at(int ms)
{
    return Time(milliseconds(ms));
}

// Without a drain rate, sums are exact; the drain rate has its own tests.
LoadTable makeTable(double promptTokensPerSecond = 0)
{
    LoadTable::Settings settings;
    settings.promptTokensPerSecond = promptTokensPerSecond;
    LoadTable table = LoadTable::create(settings).value();
    table.resize(2);
    return table;
}

}

TEST(LoadTable, AReportSupersedesOnlyTheCountsThatItIncludes)
{
    LoadTable table = makeTable();
    table.sent(0, 100, at(1000));
    table.sent(0, 200, at(1500));
    EXPECT_TRUE(table.report(0, { at(1300), 1, 0, 100, 0, 0 }));
    Routing::Load load = table.load(0, at(2300));
    EXPECT_EQ(load.running, 1U);
    EXPECT_EQ(load.requestsSince, 1);
    EXPECT_EQ(load.promptTokensSince, 200);
    EXPECT_FLOAT_EQ(load.ageSeconds, 1.0F);
    EXPECT_EQ(table.load(1, at(2300)).requestsSince, 0);
}

TEST(LoadTable, AnOutdatedReportIsIgnored)
{
    LoadTable table = makeTable();
    EXPECT_TRUE(table.report(0, { at(2000), 5, 0, 0, 0, 0 }));
    EXPECT_FALSE(table.report(0, { at(1000), 9, 0, 0, 0, 0 }));
    EXPECT_FALSE(table.report(0, { at(2000), 9, 0, 0, 0, 0 }));
    EXPECT_EQ(table.load(0, at(2000)).running, 5U);
}

TEST(LoadTable, CountsFromBeforeTheReportAreIgnored)
{
    LoadTable table = makeTable();
    EXPECT_TRUE(table.report(0, { at(2000), 5, 0, 0, 0, 0 }));
    table.count(0, { 3, 1, 700, 3, 200 }, at(1500));
    EXPECT_EQ(table.load(0, at(2100)).requestsSince, 0);
    table.count(0, { 3, 1, 700, 3, 200 }, at(2500));
    EXPECT_EQ(table.load(0, at(2600)).requestsSince, 2);
    EXPECT_EQ(table.load(0, at(2600)).promptTokensSince, 500);
}

TEST(LoadTable, OldCountsAreDiscarded)
{
    LoadTable table = makeTable();
    table.sent(0, 100, at(1000));
    table.sent(0, 50, at(1000 + 6400));
    EXPECT_EQ(table.load(0, at(7400)).promptTokensSince, 50);
}

TEST(LoadTable, BacklogDrainsAtTheRateAndNeverBelowZero)
{
    LoadTable table = makeTable(1000);
    EXPECT_TRUE(table.report(0, { at(1000), 1, 0, 500, 0, 0 }));
    EXPECT_EQ(table.load(0, at(1200)).promptTokensSince, -200);
    EXPECT_EQ(table.load(0, at(9000)).promptTokensSince, -500);
    // Sent after the backlog was empty: all of it waits.
    table.sent(0, 800, at(9000));
    EXPECT_EQ(table.load(0, at(9100)).promptTokensSince, -500 + 700);
    // The drain rate already accounts for finished prompts.
    table.prefilled(0, 800, at(9100));
    EXPECT_EQ(table.load(0, at(9100)).promptTokensSince, -500 + 700);
}

TEST(LoadTable, AReportReplaysLaterCounts)
{
    LoadTable table = makeTable(1000);
    table.sent(0, 300, at(1050));
    table.sent(0, 800, at(2050));
    EXPECT_TRUE(table.report(0, { at(1500), 0, 0, 0, 0, 0 }));
    EXPECT_EQ(table.load(0, at(2050)).promptTokensSince, 800);
    EXPECT_EQ(table.load(0, at(2350)).promptTokensSince, 500);
}

// Model test against a list of all counts: the sums are those of the intervals not covered by the newest report.
RC_GTEST_PROP(LoadTable, SumsMatchAListOfAllCounts, ())
{
    LoadTable table = makeTable();
    std::vector<std::pair<int, int>> sent;
    int newest = 0;
    int now = 0;
    for (int step = *rc::gen::inRange(0, 60); step > 0; --step) {
        now += *rc::gen::inRange(0, 60);
        if (*rc::gen::inRange(0, 4) == 0) {
            int asOf = std::max(0, now - *rc::gen::inRange(0, 1000));
            if (table.report(0, { at(asOf), 0, 0, 0, 0, 0 }))
                newest = asOf;
            continue;
        }
        int tokens = *rc::gen::inRange(1, 100);
        table.sent(0, static_cast<std::uint32_t>(tokens), at(now));
        sent.emplace_back(now, tokens);
    }
    int expected = 0;
    for (auto const& [time, tokens] : sent)
        expected += time / 100 >= newest / 100 ? tokens : 0;
    RC_ASSERT(table.load(0, at(now)).promptTokensSince == expected);
}
