#include <LibHttp/CancelableTimer.h>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <thread>

// Guards against the hook of a timer that had expired, and was queued behind what canceled it.
TEST(CancelableTimer, CallsNoHookBehindACancelWhenBothHadExpired)
{
    boost::asio::io_context context;
    Http::CancelableTimer earlier(context.get_executor());
    Http::CancelableTimer later(context.get_executor());
    bool isEarlierCalled = false;
    bool isLaterCalled = false;
    later.start(std::chrono::milliseconds(2), [&] { isLaterCalled = true; });
    earlier.start(std::chrono::milliseconds(1), [&] {
        isEarlierCalled = true;
        later.cancel();
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    context.run();
    EXPECT_TRUE(isEarlierCalled);
    EXPECT_FALSE(isLaterCalled);
}

TEST(CancelableTimer, CallsOnlyTheHookOfTheLastStart)
{
    boost::asio::io_context context;
    Http::CancelableTimer timer(context.get_executor());
    int former = 0;
    int last = 0;
    timer.start(std::chrono::milliseconds(1), [&] { ++former; });
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    timer.start(std::chrono::milliseconds(1), [&] { ++last; });
    context.run();
    EXPECT_EQ(former, 0);
    EXPECT_EQ(last, 1);
}
