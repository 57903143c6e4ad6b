#include <LibQuarantine/CatchUp.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace {

using namespace Quarantine;
using namespace std::chrono_literals;

constexpr Time origin { 1'000s };

std::optional<std::string> ask(CatchUp& catchUp, std::uint64_t own, Time now)
{
    return catchUp.whomToAsk(own, 100ms, 1s, now);
}

}

TEST(CatchUp, ADaemonThatStartsAsksTheFirstThatKnowsOfAny)
{
    CatchUp catchUp(1);
    catchUp.hear("a", std::nullopt, 0, origin);
    EXPECT_FALSE(ask(catchUp, 0, origin));
    catchUp.hear("b", 5, 0, origin + 10ms);
    EXPECT_EQ(ask(catchUp, 0, origin + 10ms), "b");
    EXPECT_FALSE(ask(catchUp, 0, origin + 20ms)) << "one question at a time";
}

// Guards against a whole site that starts anew and asks the two daemons that have read the store, all at one moment.
TEST(CatchUp, DaemonsThatStartTogetherAskAtDifferentMoments)
{
    std::map<Time, int> questions;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CatchUp catchUp(seed);
        for (Time now = origin; now < origin + 3s; now += 100ms) {
            catchUp.hear("a", 5, 0, now);
            if (catchUp.whomToAsk(0, 1'500ms, 5s, now)) {
                ++questions[now];
                break;
            }
        }
    }
    int most = 0;
    for (std::pair<Time const, int> const& it : questions)
        most = std::max(most, it.second);
    EXPECT_LE(most, 40);
    EXPECT_LT(questions.rbegin()->first, origin + 1'600ms);
}

// Guards against three hundred questions at once for each word that is on its way anyhow.
TEST(CatchUp, WaitsForNewsThatIsOnItsWay)
{
    CatchUp catchUp(1);
    catchUp.noteAnswer(true, true, origin);
    catchUp.hear("a", 5, 0, origin + 1s);
    EXPECT_FALSE(ask(catchUp, 0, origin + 1s));
    EXPECT_FALSE(ask(catchUp, 0, origin + 1'200ms));
    EXPECT_FALSE(ask(catchUp, 5, origin + 1'250ms)) << "it has come";
    EXPECT_FALSE(ask(catchUp, 6, origin + 1'300ms)) << "another difference, another wait";
    catchUp.hear("a", 5, 6, origin + 1'500ms);
    EXPECT_EQ(ask(catchUp, 6, origin + 1'600ms), "a");
}

TEST(CatchUp, AsksSeldomWhereAnswersBringNothing)
{
    CatchUp catchUp(1);
    std::size_t questions = 0;
    for (Time now = origin; now < origin + 60s; now += 100ms) {
        catchUp.hear("a", 5, 0, now);
        if (ask(catchUp, 1, now)) {
            ++questions;
            catchUp.noteAnswer(true, false, now);
        }
    }
    EXPECT_GE(questions, 5U);
    EXPECT_LE(questions, 15U);
}

TEST(CatchUp, PassesOverWhoIsNotHeardAnyMore)
{
    CatchUp catchUp(1);
    catchUp.hear("a", 5, 0, origin);
    EXPECT_FALSE(ask(catchUp, 0, origin + 2s));
}

// Guards against a daemon that has just started, hears only others that have, and takes that for knowing all.
TEST(CatchUp, ADaemonHasCaughtUpByOneThatHas)
{
    CatchUp catchUp(1);
    catchUp.hear("a", std::nullopt, 0, origin);
    EXPECT_FALSE(catchUp.isCaughtUp());
    catchUp.hear("b", 5, 0, origin);
    EXPECT_FALSE(catchUp.isCaughtUp());
    EXPECT_EQ(ask(catchUp, 0, origin), "b");
    catchUp.noteAnswer(false, false, origin);
    EXPECT_FALSE(catchUp.isCaughtUp()) << "no answer";
    EXPECT_EQ(ask(catchUp, 0, origin + 700ms), "b");
    catchUp.noteAnswer(true, true, origin + 700ms);
    EXPECT_TRUE(catchUp.isCaughtUp());
}

TEST(CatchUp, ADaemonHasCaughtUpWhenAPeerKnowsTheSame)
{
    CatchUp catchUp(1);
    catchUp.hear("a", 0, 0, origin);
    EXPECT_TRUE(catchUp.isCaughtUp());
}

TEST(CatchUp, ADaemonThatHasReadTheStoreHasCaughtUp)
{
    CatchUp catchUp(1);
    catchUp.noteLoaded();
    EXPECT_TRUE(catchUp.isCaughtUp());
}
