#include <LibRequest/RetryBudgets.h>
#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>
#include <tuple>
#include <vector>

namespace {

using namespace Request;
using namespace std::chrono_literals;

std::size_t takeAll(RetryBudgets& budgets, TimePoint now)
{
    std::size_t n = 0;
    while (budgets.of("a").take(now))
        ++n;
    return n;
}

std::size_t sumOf(std::vector<std::size_t> const& counts, std::size_t first, std::size_t size)
{
    return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(first), counts.begin() + static_cast<std::ptrdiff_t>(first + size), std::size_t { 0 });
}

}

// The daemons together never exceed the allowance of a window.
TEST(RetryBudgets, DaemonsTogetherStayWithinTheSharedAllowance)
{
    constexpr std::size_t daemons = 6;
    SharedAllowance allowance { 0.2, 52, 10s };
    std::vector<std::unique_ptr<RetryBudgets>> budgets;
    for (std::size_t n = 0; n < daemons; ++n) {
        budgets.push_back(std::make_unique<RetryBudgets>(allowance));
        budgets.back()->setDaemons(daemons, TimePoint { 100s });
    }
    // Every daemon starts empty, so the first window earns the burst.
    TimePoint now { 100s };
    std::size_t taken = 0;
    std::size_t requests = 0;
    for (int step = 0; step < 2'000; ++step, now += 10ms) {
        bool isCounted = step >= 1'000;
        for (std::unique_ptr<RetryBudgets> const& daemon : budgets) {
            RetryBudget& budget = daemon->of("records");
            if (step % 10 == 0) {
                budget.earn();
                requests += isCounted ? 1 : 0;
            }
            while (isCounted && budget.take(now))
                ++taken;
        }
    }
    EXPECT_LE(static_cast<double>(taken), 0.2 * static_cast<double>(requests) + 52);
    EXPECT_GE(static_cast<double>(taken), 0.8 * (0.2 * static_cast<double>(requests) + 52));
}

TEST(RetryBudgets, EachServiceHasItsOwn)
{
    RetryBudgets budgets({ 0.0, 4, 10s });
    TimePoint now { 100s };
    budgets.setDaemons(1, now);
    for (char const* service : { "a", "b" })
        EXPECT_FALSE(budgets.of(service).take(now));
    now += 10s;
    while (budgets.of("a").take(now)) { }
    EXPECT_TRUE(budgets.of("b").take(now));
}

// A daemon that is no longer heard may still serve: its share is redistributed only when it can have none left.
TEST(RetryBudgets, FewerDaemonsMeanALargerPartAfterTwoWindows)
{
    RetryBudgets budgets({ 0.0, 100, 10s });
    TimePoint now { 100s };
    budgets.setDaemons(10, now);
    EXPECT_EQ(takeAll(budgets, now), 0U) << "a daemon that was killed and starts again has spent its part before";
    now += 10s;
    budgets.setDaemons(10, now);
    EXPECT_EQ(takeAll(budgets, now), 4U);
    for (int n = 0; n < 20; ++n)
        budgets.setDaemons(1, now += 1s);
    EXPECT_EQ(takeAll(budgets, now), 4U);
    budgets.setDaemons(1, now += 1s);
    EXPECT_EQ(takeAll(budgets, now += 10s), 45U);
}

TEST(RetryBudgets, NothingExtraIsSpentBeforeTheNumberOfDaemonsIsKnown)
{
    RetryBudgets budgets({ 0.2, 100, 10s });
    TimePoint now { 100s };
    std::ignore = budgets.of("a");
    EXPECT_EQ(takeAll(budgets, now += 30s), 0U);
    for (int n = 0; n < 20; ++n)
        budgets.of("a").earn();
    EXPECT_EQ(takeAll(budgets, now), 1U) << "what its own requests earn is its own, as much as it may save";
}

// Load: targets refuse everything, so that every daemon spends its budget at once; daemons are killed and restarted, are
// unreachable, and their number is temporarily misjudged; the request rate jumps between windows.
RC_GTEST_PROP(RetryBudgets, NoWindowExceedsTheAllowanceWhateverDaemonsKnowOfEachOther, ())
{
    constexpr std::chrono::milliseconds step { 100 };
    constexpr std::size_t steps = 500;
    constexpr std::size_t stepsOfWindow = 100;
    std::size_t daemons = *rc::gen::inRange<std::size_t>(2, 9);
    SharedAllowance allowance { 0.2, 52, 10s };
    std::vector<std::unique_ptr<RetryBudgets>> budgets(daemons);
    std::vector<std::size_t> requests(steps);
    std::vector<std::size_t> extras(steps);
    TimePoint now { 100s };
    std::size_t rate = 0;
    for (std::size_t n = 0; n < steps; ++n, now += step) {
        if (n % 50 == 0)
            rate = *rc::gen::inRange<std::size_t>(0, 40);
        for (std::unique_ptr<RetryBudgets>& it : budgets) {
            bool isStarting = !it || *rc::gen::inRange(0, 100) == 0;
            if (isStarting)
                it = std::make_unique<RetryBudgets>(allowance);
            // All daemons are known for two windows from the last beacon on; a new daemon reads them from the store.
            bool isHeard = isStarting || *rc::gen::inRange(0, 20) > 0;
            it->setDaemons(isHeard ? daemons : *rc::gen::inRange<std::size_t>(1, daemons + 1), now);
            RetryBudget& budget = it->of("llm");
            for (std::size_t k = 0; k < rate / daemons; ++k, ++requests[n])
                budget.earn();
            while (budget.take(now, 2))
                extras[n] += 2;
            while (budget.take(now))
                ++extras[n];
        }
    }
    for (std::size_t first = 0; first + stepsOfWindow <= steps; ++first) {
        std::size_t spent = sumOf(extras, first, stepsOfWindow);
        std::size_t own = sumOf(requests, first, stepsOfWindow);
        std::size_t before = first >= stepsOfWindow ? sumOf(requests, first - stepsOfWindow, stepsOfWindow) : 0;
        RC_ASSERT((static_cast<double>(spent) <= allowance.ratio * static_cast<double>(std::max(own, before)) + allowance.extra));
    }
}
