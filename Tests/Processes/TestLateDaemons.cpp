// Requests that wait in the kernel while their daemon does not run.

#include "KeyedSite.h"

#include <csignal>
#include <future>
#include <gtest/gtest.h>
#include <thread>

using namespace Processes;
using namespace std::chrono_literals;

// Guards against requests whose route's time is counted from when a late daemon reads them, so that their callers wait longer than that.
TEST(LateDaemons, ARequestThatWaitedUnreadEndsWithinItsRoutesTime)
{
    constexpr std::chrono::milliseconds routeTime { 3'000 };
    constexpr std::chrono::milliseconds lateBound { 500 }; // The users' bound.
    KeyedSite site;
    ASSERT_TRUE(site.waitUntilServing());
    for (std::string const& name : site.targetNames())
        post(site.target(name), "/admin/faults", R"({"work_ms":20000})");
    // Its connection is kept, or new: both wait in the kernel.
    Process& daemon = site.process(KeyedSite::daemonName(0));
    daemon.send(SIGSTOP);
    std::chrono::steady_clock::time_point sentAt = std::chrono::steady_clock::now();
    std::future<Http::Response> answer = std::async(std::launch::async, [&] { return site.ask(0, "POST", "/c/1", "unread"); });
    std::this_thread::sleep_for(1'500ms);
    daemon.send(SIGCONT);
    std::uint16_t status = answer.get().status;
    EXPECT_EQ(status, 504);
    EXPECT_LE(std::chrono::steady_clock::now() - sentAt, routeTime + lateBound);
}
