// A prompt's stage that a target refused, failed or lost: the request goes on as far as its route's attempts and the retry budget allow.

#include <LibRequest/RequestMachine.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace Request;
using namespace std::chrono_literals;

constexpr TimePoint start { 1s };

RequestProfile profileOf(std::uint32_t attempts)
{
    RequestProfile profile;
    profile.maxAttempts = attempts;
    profile.mayRunWhole = true;
    profile.deadline = start + 10s;
    return profile;
}

}

TEST(PromptStage, ARouteOfOneAttemptRunsWholeAfterItsFirstPromptFailed)
{
    for (PromptEnd end : { PromptEnd::Failed, PromptEnd::Lost, PromptEnd::Refused }) {
        RetryBudget budget { { .ratio = 0, .burst = 1, .floorPerSecond = 0 } };
        RequestMachine machine(profileOf(1), budget);
        machine.handle(Admitted(), start);
        machine.handle(TargetPicked { 1, "prefill-1" }, start);
        RequestActions actions = machine.handle(PromptFailed { { 1, 1 }, end }, start);
        EXPECT_EQ(machine.verdict(), Core::Verdict::NotRun);
        if (end == PromptEnd::Refused) {
            EXPECT_TRUE(machine.isFinished()) << "a refused prompt is an attempt";
            continue;
        }
        ASSERT_EQ(actions.size(), 1U);
        EXPECT_TRUE(std::get<Dispatch>(actions.front()).isWhole);
        EXPECT_EQ(std::get<Dispatch>(actions.front()).excluded, std::vector<std::string> { "prefill-1" });
        EXPECT_EQ(machine.attemptsUsed(), 1U);
        EXPECT_EQ(budget.take(start), end == PromptEnd::Failed) << "what was lost may have been a refusal";
        machine.handle(TargetPicked { 2, "decode-1" }, start);
        machine.handle(Connected { { 2, 1 }, {} }, start);
        machine.handle(TargetRefused { { 2, 1 } }, start);
        EXPECT_TRUE(machine.isFinished()) << "no second run";
        EXPECT_EQ(machine.verdict(), Core::Verdict::NotRun);
    }
}

TEST(PromptStage, ATargetThatTakesNoPromptsIsNotSentOne)
{
    RetryBudget budget { {} };
    RequestProfile profile = profileOf(1);
    profile.mayRunWhole = false;
    RequestMachine machine(profile, budget);
    machine.handle(Admitted(), start);
    machine.handle(PromptFailed { { 1, 1 }, PromptEnd::Failed }, start);
    EXPECT_TRUE(machine.isFinished());
}

// Attempts are the runs, the prompts that a target refused and all but the first that one took; repeats are the sends beyond the first.
RC_GTEST_PROP(PromptStage, PromptsThatFailNeitherPassTheAttemptsNorTheBudget, ())
{
    std::uint32_t attempts = *rc::gen::inRange<std::uint32_t>(1, 5);
    std::uint32_t burst = *rc::gen::inRange<std::uint32_t>(0, 5);
    RetryBudget budget { { .ratio = 0, .burst = static_cast<double>(burst), .floorPerSecond = 0 } };
    RequestMachine machine(profileOf(attempts), budget);
    RequestActions actions = machine.handle(Admitted(), start);
    std::uint32_t counted = 0;
    bool hasTaken = false;
    while (!machine.isFinished()) {
        std::uint32_t attempt = machine.attempt();
        bool isWhole = std::get<Dispatch>(actions.front()).isWhole;
        machine.handle(TargetPicked { attempt, "target-" + std::to_string(attempt) }, start);
        if (isWhole) {
            ++counted;
            machine.handle(Connected { { attempt, 1 }, {} }, start);
            actions = machine.handle(TargetRefused { { attempt, 1 } }, start);
            continue;
        }
        PromptEnd end = *rc::gen::element(PromptEnd::Refused, PromptEnd::Failed, PromptEnd::Lost);
        bool isFree = end != PromptEnd::Refused && !std::exchange(hasTaken, true);
        counted += isFree ? 0 : 1;
        actions = machine.handle(PromptFailed { { attempt, 1 }, end }, start);
    }
    RC_ASSERT(counted <= attempts);
    RC_ASSERT(counted <= burst + 1);
    RC_ASSERT(machine.verdict() == Core::Verdict::NotRun);
}
