#include <LibRouting/PathVote.h>
#include <gtest/gtest.h>
#include <numeric>

namespace {

using namespace Routing;
using namespace std::chrono_literals;

constexpr PathVote::Time start { 100s };
constexpr std::chrono::milliseconds settle { 100 };

/// A site whose daemons report on the targets of one service.
struct VotingSite {
    explicit VotingSite(std::uint64_t targets)
    {
        for (std::uint64_t n = 1; n <= targets; ++n)
            services[n] = "llm";
        table.setTargets(services);
    }

    std::set<std::uint64_t> decide(PathVote::Time now = start) { return vote.decide(reports, reports.size(), table, services, settle, now); }

    /// Adds daemons that fail to reach all of `tried` and reach `reached` other targets.
    void add(std::size_t daemons, std::vector<std::uint64_t> const& tried, std::uint32_t reached)
    {
        for (std::size_t n = 0; n < daemons; ++n)
            reports.push_back({ tried, { { "llm", reached, static_cast<std::uint32_t>(tried.size()) } } });
    }

    std::map<std::uint64_t, std::string> services;
    std::vector<PathReport> reports;
    PathTable table;
    PathVote vote;
};

std::vector<std::uint64_t> firstTargets(std::uint64_t count)
{
    std::vector<std::uint64_t> targets(count);
    std::iota(targets.begin(), targets.end(), 1);
    return targets;
}

}

// Guards against daemons that are cut off and have the targets closed for those that are not.
TEST(PathVote, DaemonsThatReachNothingCloseNoTarget)
{
    for (std::size_t daemons : { 6, 90, 295 }) {
        for (std::size_t cutOff : { daemons / 3, daemons / 2, daemons - 1 }) {
            VotingSite site(9);
            site.add(cutOff, firstTargets(9), 0);
            site.add(daemons - cutOff, {}, 9);
            EXPECT_TRUE(site.decide().empty()) << cutOff << " of " << daemons;
        }
    }
}

TEST(PathVote, ATargetThatDaemonsInTouchCannotReachIsClosed)
{
    for (std::size_t daemons : { 6, 90, 295 }) {
        VotingSite site(9);
        site.add(daemons / 2, firstTargets(9), 0);
        site.add(daemons - daemons / 2, { 4 }, 8);
        EXPECT_EQ(site.decide(), std::set<std::uint64_t> { 4 }) << daemons;
    }
}

// Guards against a fleet that lost most of its targets and goes on sending to them.
TEST(PathVote, WhereAllDaemonsAreCutOffTheirVotesCount)
{
    VotingSite site(9);
    site.add(6, { 1, 2, 3, 4, 5 }, 4);
    EXPECT_EQ(site.decide(), (std::set<std::uint64_t> { 1, 2, 3, 4, 5 }));
}

TEST(PathVote, OneDaemonAloneClosesNothing)
{
    VotingSite site(9);
    site.add(1, { 4 }, 8);
    site.add(2, {}, 9);
    EXPECT_TRUE(site.decide().empty());
}

// Guards against a cut between areas: those on the other side still reach the targets.
TEST(PathVote, ATargetThatAnswersOthersStaysOpen)
{
    VotingSite site(9);
    site.add(3, { 4, 5 }, 7);
    site.add(3, {}, 9);
    EXPECT_EQ(site.decide(), (std::set<std::uint64_t> { 4, 5 }));
    site.vote.noteAnswered(4, start + settle);
    EXPECT_EQ(site.decide(start + settle), (std::set<std::uint64_t> { 4, 5 })) << "the answer may be older than the votes";
    site.vote.noteAnswered(4, start + settle + 1ms);
    EXPECT_EQ(site.decide(start + 200ms), std::set<std::uint64_t> { 5 });
}
