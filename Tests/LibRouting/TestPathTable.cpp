#include <LibRouting/PathTable.h>
#include <gtest/gtest.h>

namespace {

using namespace Routing;
using namespace std::chrono_literals;

constexpr PathTable::Time start { 100s };

PathTable tableOf(std::uint64_t targets)
{
    std::map<std::uint64_t, std::string> services;
    for (std::uint64_t n = 1; n <= targets; ++n)
        services[n] = "llm";
    PathTable table;
    table.setTargets(services);
    return table;
}

bool isCutOff(PathTable const& table, PathTable::Time now)
{
    return table.isCutOff(table.counts("llm", now));
}

}

TEST(PathTable, ADaemonThatReachesNoTargetIsCutOffAfterTheSecondFailure)
{
    PathTable table = tableOf(9);
    table.note(1, PathEvidence::Unreachable, start);
    EXPECT_FALSE(isCutOff(table, start));
    table.note(1, PathEvidence::Unreachable, start + 10ms);
    EXPECT_FALSE(isCutOff(table, start + 10ms)) << "one target, twice";
    table.note(2, PathEvidence::Unreachable, start + 20ms);
    EXPECT_TRUE(isCutOff(table, start + 20ms));
}

// Guards against the end of some targets being taken for a broken path.
TEST(PathTable, ADaemonThatReachesMostTargetsIsNotCutOff)
{
    PathTable table = tableOf(9);
    for (std::uint64_t n = 1; n <= 6; ++n)
        table.note(n, PathEvidence::Connected, start);
    for (std::uint64_t n = 7; n <= 9; ++n)
        table.note(n, PathEvidence::Unreachable, start);
    EXPECT_FALSE(isCutOff(table, start));
    EXPECT_EQ(table.counts("llm", start), (PathCounts { "llm", 6, 3 }));
}

// Guards against a large site where a daemon has reached many targets just before its path broke.
TEST(PathTable, FormerSuccessesDoNotOutweighFailures)
{
    PathTable table = tableOf(240);
    for (std::uint64_t n = 1; n <= 100; ++n)
        table.note(n, PathEvidence::Connected, start);
    for (std::uint64_t n = 101; n <= 103; ++n)
        table.note(n, PathEvidence::Unreachable, start + 500ms);
    EXPECT_FALSE(isCutOff(table, start + 500ms));
    EXPECT_TRUE(isCutOff(table, start + 1s));
}

// Guards against a path that carries old connections and takes no new ones.
TEST(PathTable, AnswersOnOldConnectionsDoNotOutweighNewOnesThatFail)
{
    PathTable table = tableOf(2);
    for (std::uint64_t n = 1; n <= 2; ++n) {
        table.note(n, PathEvidence::Unreachable, start);
        table.note(n, PathEvidence::Answered, start + 10ms);
    }
    EXPECT_TRUE(isCutOff(table, start + 10ms));
    table.note(1, PathEvidence::Connected, start + 20ms);
    table.note(2, PathEvidence::Connected, start + 20ms);
    EXPECT_FALSE(isCutOff(table, start + 20ms));
}

TEST(PathTable, AServiceWithOneTargetNeedsOneFailure)
{
    PathTable table = tableOf(1);
    table.note(1, PathEvidence::Unreachable, start);
    EXPECT_TRUE(isCutOff(table, start));
}

TEST(PathTable, ProbesFailedTargetsAtIntervalsUntilMostAreReached)
{
    PathTable table = tableOf(9);
    EXPECT_TRUE(table.takeProbes(start).empty());
    for (std::uint64_t n = 1; n <= 9; ++n)
        table.note(n, PathEvidence::Unreachable, start);
    EXPECT_EQ(table.takeProbes(start).size(), 4U);
    EXPECT_EQ(table.takeProbes(start + 50ms).size(), 4U);
    EXPECT_EQ(table.takeProbes(start + 100ms).size(), 1U);
    EXPECT_TRUE(table.takeProbes(start + 150ms).empty());
    EXPECT_EQ(table.takeProbes(start + 250ms).size(), 4U);
    for (std::uint64_t n = 1; n <= 5; ++n)
        table.note(n, PathEvidence::Connected, start + 300ms);
    EXPECT_TRUE(table.takeProbes(start + 600ms).empty());
    EXPECT_FALSE(isCutOff(table, start + 600ms));
}

// Guards against a daemon that sends too little to notice that more than one target is out of reach.
TEST(PathTable, AFirstFailureHasOthersProbed)
{
    PathTable table = tableOf(9);
    table.note(3, PathEvidence::Unreachable, start);
    std::vector<std::uint64_t> probes = table.takeProbes(start);
    EXPECT_EQ(probes.size(), 4U);
    EXPECT_EQ(probes.front(), 3U);
}

TEST(PathTable, TargetsThatAreNotListedDoNotCount)
{
    PathTable table = tableOf(2);
    table.note(1, PathEvidence::Unreachable, start);
    table.note(2, PathEvidence::Unreachable, start);
    table.setTargets({ { 2, "llm" }, { 3, "llm" } });
    EXPECT_EQ(table.counts("llm", start), (PathCounts { "llm", 0, 1 }));
    EXPECT_EQ(table.allCounts(start + 10s), std::vector<PathCounts>());
}
