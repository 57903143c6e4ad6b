#include <LibDaemon/LeaveTimes.h>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using Time = Daemon::LeaveTimes::Time;

constexpr Time start { 100s };
// A daemon that is killed 8 s after the stop signal, and whose callers keep its address for 3 s.
constexpr Daemon::LeaveTimes times { start + 3s, start + 7300ms };

}

// The load of a rolling restart: chats with a timeout of 15 s that last 5 s on average, and calls of 1.5 s.
TEST(LeaveTimes, RefusesChatsThatWouldBeInterruptedAndServesCalls)
{
    EXPECT_TRUE(times.accepts(15s, 5s, start + 1s));
    EXPECT_FALSE(times.accepts(15s, 12s, start + 1s)) << "it would be interrupted 5 s before its end";
    EXPECT_TRUE(times.accepts(15s, 0s, start + 1s)) << "its duration is unknown";
    EXPECT_TRUE(times.accepts(1500ms, 0s, start + 5s));
    EXPECT_FALSE(times.accepts(15s, 1s, start + 3300ms)) << "an estimate may be wrong, and its caller has other addresses";
    EXPECT_FALSE(times.accepts(1500ms, 0s, start + 6s));
}

TEST(LeaveTimes, AcceptsEverythingWithoutAProcessEnd)
{
    constexpr Daemon::LeaveTimes endless { start + 3s, Time::max() };
    EXPECT_TRUE(endless.accepts(600s, 500s, start + 100s));
}
