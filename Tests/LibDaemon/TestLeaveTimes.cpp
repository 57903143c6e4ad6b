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

// Guards against requests that wait for a place, and are sent to a target when the exit would interrupt them.
TEST(LeaveTimes, SendsWhatCanEndBeforeTheExit)
{
    EXPECT_TRUE(times.maySend(15s, 0s, start + 1s)) << "its duration is unknown, and callers still connect";
    EXPECT_FALSE(times.maySend(15s, 0s, start + 4s)) << "its duration is unknown, and it may take longer";
    EXPECT_TRUE(times.maySend(15s, 2s, start + 4s)) << "it has been accepted";
    EXPECT_FALSE(times.maySend(15s, 4s, start + 4s));
    EXPECT_TRUE(times.maySend(3s, 0s, start + 4s)) << "its time is over before";
}

TEST(LeaveTimes, AcceptsEverythingWithoutAProcessEnd)
{
    constexpr Daemon::LeaveTimes endless { start + 3s, Time::max() };
    EXPECT_TRUE(endless.accepts(600s, 500s, start + 100s));
    EXPECT_TRUE(endless.maySend(600s, 500s, start + 100s));
}
