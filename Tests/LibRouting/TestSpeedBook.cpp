#include <LibRouting/SpeedBook.h>
#include <gtest/gtest.h>
#include <set>

namespace {

using namespace Routing;
using namespace std::chrono_literals;

constexpr SpeedBook::Time now { 100s };
constexpr PromptCost engine { 1.0 / 200'000, 0.0001, 0.001 };

void learn(SpeedBook& book, std::uint64_t target, double factor, int prompts)
{
    for (int n = 0; n < prompts; ++n) {
        std::uint64_t tokens = 500 + 300 * static_cast<std::uint64_t>(n % 10);
        book.notePrompt("llm", target, { tokens, tokens + 4'000, engine.seconds(tokens, tokens + 4'000) * factor });
    }
}

}

TEST(SpeedBook, ADaemonWithoutSamplesUsesTheEstimatesOfItsPeers)
{
    SpeedBook known;
    learn(known, 1, 1, 100);
    known.noteEventGap("llm", 1, 0.035);
    SpeedBook fresh;
    EXPECT_EQ(fresh.speed("llm", now).prompts, 0U);
    fresh.setPeer("llm", "front-1", known.own("llm"), now);
    EXPECT_EQ(fresh.speed("llm", now), known.own("llm"));
    EXPECT_EQ(fresh.own("llm").prompts, 0U) << "peers' estimates are not reported as its own";
    EXPECT_EQ(fresh.speed("llm", now + 31s).prompts, 0U) << "estimates of a silent peer expire";
    learn(fresh, 2, 3, 40);
    EXPECT_NEAR(fresh.speed("llm", now).promptCost.seconds(1'000, 5'000), 3 * engine.seconds(1'000, 5'000), 0.2 * engine.seconds(1'000, 5'000));
}

TEST(SpeedBook, LearnsThatATargetIsSlowerThanOthers)
{
    SpeedBook book;
    for (int n = 0; n < 60; ++n) {
        learn(book, 1, 1, 2);
        learn(book, 2, 1, 2);
        learn(book, 3, 1.4, 1);
        for (std::uint64_t target : { 1, 2 })
            book.noteEventGap("llm", target, 0.030);
        book.noteEventGap("llm", 3, 0.045);
    }
    EXPECT_NEAR(book.promptFactor(3) / book.promptFactor(1), 1.4, 0.15);
    EXPECT_NEAR(book.eventFactor(3) / book.eventFactor(1), 1.5, 0.15);
    EXPECT_EQ(book.promptFactor(9), 1) << "an unknown target has the default factor";
    book.keepTargets(std::set<std::uint64_t> { 1, 2 });
    EXPECT_EQ(book.eventFactor(3), 1);
}

TEST(SpeedBook, LearnsHowLongRequestsStayOpenByRole)
{
    SpeedBook book;
    EXPECT_EQ(book.openSeconds("llm", TargetRole::Decode), 0);
    book.noteOpenTime("llm", TargetRole::Decode, 2);
    for (int n = 0; n < 100; ++n)
        book.noteOpenTime("llm", TargetRole::Decode, 0.5);
    EXPECT_NEAR(book.openSeconds("llm", TargetRole::Decode), 0.5, 0.02);
    EXPECT_EQ(book.openSeconds("llm", TargetRole::Prefill), 0);
}

TEST(SpeedBook, ASinglePauseHasLittleEffect)
{
    SpeedBook book;
    for (int n = 0; n < 100; ++n)
        book.noteEventGap("llm", 1, 0.030);
    book.noteEventGap("llm", 1, 2);
    EXPECT_LT(book.own("llm").eventSeconds, 0.032);
    EXPECT_LT(book.eventFactor(1), 1.2);
}
