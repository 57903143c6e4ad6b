#include <LibRequest/RetryBudgets.h>
#include <gtest/gtest.h>
#include <vector>

namespace {

using namespace Request;
using namespace std::chrono_literals;

}

// Whatever each daemon does, all together stay within the allowance of any window.
TEST(RetryBudgets, DaemonsTogetherStayWithinTheSharedAllowance)
{
    constexpr std::size_t daemons = 6;
    SharedAllowance allowance { 0.2, 52, 10s };
    std::vector<std::unique_ptr<RetryBudgets>> budgets;
    for (std::size_t n = 0; n < daemons; ++n) {
        budgets.push_back(std::make_unique<RetryBudgets>(allowance));
        budgets.back()->setDaemons(daemons);
    }
    TimePoint now { 100s };
    std::size_t taken = 0;
    std::size_t requests = 0;
    for (int step = 0; step < 1'000; ++step, now += 10ms) {
        for (std::unique_ptr<RetryBudgets> const& daemon : budgets) {
            RetryBudget& budget = daemon->of("records");
            if (step % 10 == 0) {
                budget.earn();
                ++requests;
            }
            while (budget.take(now))
                ++taken;
        }
    }
    EXPECT_LE(static_cast<double>(taken), 0.2 * static_cast<double>(requests) + 52);
    EXPECT_GE(static_cast<double>(taken), 0.8 * (0.2 * static_cast<double>(requests) + 52));
}

TEST(RetryBudgets, EachServiceHasItsOwn)
{
    RetryBudgets budgets({ 0.0, 2, 10s });
    TimePoint now { 100s };
    while (budgets.of("a").take(now)) { }
    EXPECT_TRUE(budgets.of("b").take(now));
}

TEST(RetryBudgets, FewerDaemonsMeanALargerPart)
{
    RetryBudgets budgets({ 0.0, 100, 10s });
    budgets.setDaemons(10);
    TimePoint now { 100s };
    std::size_t first = 0;
    while (budgets.of("a").take(now))
        ++first;
    EXPECT_EQ(first, 4U);
    budgets.setDaemons(1);
    now += 10s;
    std::size_t second = 0;
    while (budgets.of("a").take(now))
        ++second;
    EXPECT_EQ(second, 45U);
}
