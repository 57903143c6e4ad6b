#include <LibQuarantine/RunTable.h>
#include <gtest/gtest.h>

namespace {

using namespace Quarantine;
using namespace std::chrono_literals;

constexpr Time origin { 1'000s };
constexpr std::uint64_t target = 7;

SuspectTarget suspectTarget()
{
    return { target, "llm", "v1" };
}

}

TEST(RunTable, EndReturnsTheBrokenRuns)
{
    RunTable runs;
    RunTable::Id first = runs.begin({ 1, 1 }, suspectTarget(), origin);
    RunTable::Id second = runs.begin({ 2, 2 }, suspectTarget(), origin);
    RunTable::Id late = runs.begin({ 3, 3 }, suspectTarget(), origin);
    RunTable::Id finished = runs.begin({ 4, 4 }, suspectTarget(), origin);
    runs.finish(finished);
    EXPECT_EQ(runs.noteConnectionLost(first, origin + 1s), RunTable::BreakAction::Probe);
    EXPECT_EQ(runs.noteConnectionLost(second, origin + 1s), RunTable::BreakAction::None) << "a probe is already pending";
    std::vector<std::pair<WorkKey, TargetEnd>> ends = runs.noteEnded(target, origin + 1'010ms);
    ASSERT_EQ(ends.size(), 2U);
    EXPECT_EQ(ends[0].second.at, origin + 1s);
    EXPECT_EQ(runs.noteConnectionLost(late, origin + 1'020ms), RunTable::BreakAction::TargetEnded);
    EXPECT_EQ(runs.noteEnded(target, origin + 1'020ms).size(), 1U);
    EXPECT_EQ(runs.noteConnectionLost(late, origin + 2s), RunTable::BreakAction::None) << "the run has ended";
}

// Guards against evidence from connections that are reset or lost while the target is alive.
TEST(RunTable, BrokenConnectionToALiveTargetIsNoEvidence)
{
    RunTable runs;
    RunTable::Id broken = runs.begin({ 1, 1 }, suspectTarget(), origin);
    EXPECT_EQ(runs.noteConnectionLost(broken, origin + 1s), RunTable::BreakAction::Probe);
    runs.noteAlive(target, origin + 1s);
    EXPECT_TRUE(runs.noteEnded(target, origin + 2s).empty());
}

// Guards against runs that were on a broken connection to a target that completes other requests all the while.
TEST(RunTable, ACompletedRunShowsThatConnectionsBrokeInTheNetwork)
{
    RunTable runs;
    RunTable::Id before = runs.begin({ 1, 1 }, suspectTarget(), origin);
    RunTable::Id completed = runs.begin({ 2, 2 }, suspectTarget(), origin + 2s);
    RunTable::Id during = runs.begin({ 3, 3 }, suspectTarget(), origin + 2s);
    EXPECT_EQ(runs.noteConnectionLost(before, origin + 1s), RunTable::BreakAction::Probe);
    runs.noteUnknown(target);
    EXPECT_EQ(runs.noteConnectionLost(during, origin + 3s), RunTable::BreakAction::Probe);
    runs.noteUnknown(target);
    runs.finishSuccessfully(completed, origin + 4s);
    std::vector<std::pair<WorkKey, TargetEnd>> ends = runs.noteEnded(target, origin + 5s);
    ASSERT_EQ(ends.size(), 1U) << "the process of before may have ended, and the next one have run the other request";
    EXPECT_EQ(ends[0].first, (WorkKey { 1, 1 }));
}

// Guards against ends that are forgotten because the store is away for longer than the list of targets takes otherwise.
TEST(RunTable, BrokenRunsAreKeptUntilTheListHasCaughtUp)
{
    RunTable runs;
    RunTable::Id broken = runs.begin({ 1, 1 }, suspectTarget(), origin);
    runs.noteConnectionLost(broken, origin + 1s);
    runs.noteUnknown(target);
    runs.expire(origin + 60s, origin + 500ms);
    EXPECT_EQ(runs.noteEnded(target, origin + 60s).size(), 1U);
    RunTable::Id other = runs.begin({ 2, 2 }, { 8, "llm", "v1" }, origin + 70s);
    runs.noteConnectionLost(other, origin + 71s);
    runs.expire(origin + 90s, origin + 85s);
    EXPECT_TRUE(runs.noteEnded(8, origin + 90s).empty()) << "the list was read since and still had the target";
}

TEST(RunTable, InconclusiveProbeIsEvidenceOnceTheTargetIsListedAsEnded)
{
    RunTable runs;
    RunTable::Id broken = runs.begin({ 1, 1 }, suspectTarget(), origin);
    EXPECT_EQ(runs.noteConnectionLost(broken, origin + 1s), RunTable::BreakAction::Probe);
    runs.noteUnknown(target);
    runs.expire(origin + 5s);
    std::vector<std::pair<WorkKey, TargetEnd>> ends = runs.noteEnded(target, origin + 5s);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].second.at, origin + 1s) << "the end has the time of the broken connection";

    RunTable::Id old = runs.begin({ 2, 2 }, { 8, "llm", "v1" }, origin);
    EXPECT_EQ(runs.noteConnectionLost(old, origin + 1s), RunTable::BreakAction::Probe);
    runs.expire(origin + 20s);
    EXPECT_TRUE(runs.noteEnded(8, origin + 20s).empty()) << "an end much later has another cause";
}

// Guards against a broken connection to a target restarted under the same id being attributed to the previous end.
TEST(RunTable, RunThatBeganAfterAnEndNeedsANewProbe)
{
    RunTable runs;
    EXPECT_TRUE(runs.noteEnded(target, origin).empty());
    RunTable::Id run = runs.begin({ 1, 1 }, suspectTarget(), origin + 1s);
    EXPECT_EQ(runs.noteConnectionLost(run, origin + 2s), RunTable::BreakAction::Probe);
    EXPECT_EQ(runs.noteEnded(target, origin + 2s).size(), 1U);
}

TEST(RunTable, ReturnsTargetsWithOtherOpenRuns)
{
    RunTable runs;
    runs.begin({ 1, 1 }, suspectTarget(), origin);
    runs.begin({ 2, 2 }, { 8, "llm", "v1" }, origin);
    std::set<std::uint64_t> targets = runs.targetsWithOthers({ 1, 1 }, [](WorkKey const&) { return true; });
    EXPECT_EQ(targets, std::set<std::uint64_t> { 8 });
    EXPECT_TRUE(runs.targetsWithOthers({ 1, 1 }, [](WorkKey const&) { return false; }).empty());
    EXPECT_TRUE(runs.isOpen({ 1, 1 }));
    EXPECT_FALSE(runs.isOpen({ 3, 3 }));
}
