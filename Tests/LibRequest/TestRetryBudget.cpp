#include <LibRequest/RetryBudget.h>
#include <gtest/gtest.h>
#include <thread>
#include <vector>

namespace {

using namespace std::chrono_literals;

int takeAll(Request::RetryBudget& budget, Request::TimePoint now)
{
    int n = 0;
    while (budget.take(now))
        ++n;
    return n;
}

}

TEST(RetryBudget, ATenthOfTheLoadAndAFloorAreEarned)
{
    Request::RetryBudget budget({ .ratio = 0.1, .burst = 20, .floorPerSecond = 0.5 });
    Request::TimePoint now(1s);
    EXPECT_EQ(takeAll(budget, now), 20);
    for (int i = 0; i < 100; ++i)
        budget.earn();
    EXPECT_EQ(takeAll(budget, now), 10);
    EXPECT_EQ(takeAll(budget, now + 4s), 2);
    EXPECT_EQ(takeAll(budget, now + 1h), 20) << "no more than the burst is saved";
}

TEST(RetryBudget, IsSharedByThreads)
{
    Request::RetryBudget budget({ .ratio = 0.5, .burst = 1000, .floorPerSecond = 0 });
    std::vector<std::thread> threads;
    std::array<int, 4> taken {};
    for (int& n : taken) {
        threads.emplace_back([&budget, &n] {
            for (int i = 0; i < 2000; ++i) {
                budget.earn();
                n += budget.take(Request::TimePoint(1s)) ? 1 : 0;
            }
        });
    }
    for (std::thread& it : threads)
        it.join();
    int sum = taken[0] + taken[1] + taken[2] + taken[3];
    EXPECT_GE(sum, 4000);
    EXPECT_LE(sum, 5000);
}
