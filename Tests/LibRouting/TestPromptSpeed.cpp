#include <LibRouting/PromptSpeed.h>
#include <array>
#include <cmath>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace {

using namespace Routing;

/// Generates prompts as one daemon receives them: shared parts are assumed to be cached.
class Prompts {
public:
    Prompts(PromptCost const& engine, std::uint32_t seed)
        : m_engine(engine)
        , m_random(seed)
    {
    }

    PromptTime next()
    {
        std::lognormal_distribution<double> own(std::log(1'500.0), 0.9);
        PromptTime prompt;
        prompt.newTokens = static_cast<std::uint64_t>(std::max(20.0, own(m_random)));
        prompt.allTokens = prompt.newTokens + (m_random() % 3) * 6'000;
        prompt.seconds = m_engine.seconds(prompt.newTokens, prompt.allTokens);
        // A few percent of noise from timers and the network.
        prompt.seconds *= std::normal_distribution<double>(1, 0.03)(m_random);
        // A third wait for a prompt that is unknown to the sender.
        if (m_random() % 3 == 0)
            prompt.seconds += std::exponential_distribution<double>(1 / prompt.seconds)(m_random);
        // For some, the engine has evicted the shared part.
        if (m_random() % 20 == 0)
            prompt.seconds *= 4;
        return prompt;
    }

private:
    PromptCost m_engine;
    std::mt19937 m_random;
};

struct Error {
    double worst { 0 };
    double mean { 0 };
};

/// Returns the relative errors of the estimates for prompts of nine lengths.
Error errorOf(PromptCost const& estimate, PromptCost const& engine)
{
    Error error;
    for (std::uint64_t newTokens : { 400, 1'500, 4'000 }) {
        for (std::uint64_t before : { 0, 6'000, 12'000 }) {
            double n = std::abs(estimate.seconds(newTokens, newTokens + before) / engine.seconds(newTokens, newTokens + before) - 1);
            error.worst = std::max(error.worst, n);
            error.mean += n / 9;
        }
    }
    return error;
}

PromptCost engineOf(double tokensPerSecond, double pairsShare, double setupShare)
{
    double perToken = 1 / tokensPerSecond;
    // Relative to the per-token cost of 10,000 tokens of context, and of a prompt of 1,000 tokens.
    return { perToken, pairsShare * perToken * 100, setupShare * perToken * 1'000 };
}

}

// Engine speeds from a fiftieth to ten times those configured so far; 150 prompts are a few seconds of traffic.
RC_GTEST_PROP(PromptSpeed, LearnsAnEnginesCostWithinTenPercentInAFewSecondsOfTraffic, (std::uint32_t seed))
{
    double tokensPerSecond = 1'000 * std::pow(1.1, *rc::gen::inRange(0, 60));
    PromptCost engine = engineOf(tokensPerSecond, *rc::gen::inRange(5, 60) / 100.0, *rc::gen::inRange(1, 50) / 100.0);
    Prompts prompts(engine, seed);
    PromptSpeed speed;
    for (int n = 0; n < 150; ++n)
        speed.add(prompts.next());
    RC_ASSERT(errorOf(speed.cost(), engine).mean < 0.15);
    for (int n = 0; n < 150; ++n)
        speed.add(prompts.next());
    RC_ASSERT(errorOf(speed.cost(), engine).mean < 0.10);
    RC_ASSERT(errorOf(speed.cost(), engine).worst < 0.25);
}

TEST(PromptSpeed, EqualsItsPriorBeforeTheFirstPrompt)
{
    PromptSpeed speed;
    EXPECT_EQ(speed.cost(), PromptCost());
    speed.add({ 0, 100, 0.1 });
    speed.add({ 100, 100, 0 });
    EXPECT_EQ(speed.prompts(), 0U);
    speed.add({ 1'000, 1'000, 2 * PromptCost().seconds(1'000, 1'000) });
    EXPECT_NEAR(speed.cost().secondsPerToken, 2 * PromptCost().secondsPerToken, 1e-9) << "the first prompt sets the scale";
}

TEST(PromptSpeed, RelearnsAfterEnginesChangeTheirSpeed)
{
    PromptCost before = engineOf(50'000, 0.3, 0.2);
    PromptCost after = engineOf(230'000, 0.3, 0.2);
    PromptSpeed speed;
    Prompts slow(before, 1);
    for (int n = 0; n < 300; ++n)
        speed.add(slow.next());
    Prompts fast(after, 2);
    for (int n = 0; n < 150; ++n)
        speed.add(fast.next());
    EXPECT_LT(errorOf(speed.cost(), after).mean, 0.15);
}
