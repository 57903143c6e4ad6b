// More callers than a daemon has descriptors for.

#include "DescriptorLimit.h"
#include "KeyedSite.h"
#include "RawCaller.h"

#include <csignal>
#include <gtest/gtest.h>
#include <memory>

using namespace Processes;
using namespace std::chrono_literals;

namespace {

constexpr rlim_t descriptors = 300;

}

// Guards against idle callers who take all descriptors, so that nobody is served and those who wait are reset when their daemon stops.
TEST(DescriptorLimit, IdleCallersLeaveDescriptorsForTheRequestsOfOthers)
{
    constexpr std::chrono::milliseconds patience { 4'000 };
    KeyedSite site;
    ASSERT_TRUE(site.waitUntilServing());
    Process& daemon = site.process(KeyedSite::daemonName(0));
    daemon.send(SIGKILL);
    ASSERT_TRUE(waitFor([&] { return daemon.status().has_value(); }));
    {
        DescriptorLimit limit(descriptors);
        site.startDaemon(0);
    }
    ASSERT_TRUE(waitFor([&] { return site.isReady(0); }));
    std::vector<std::unique_ptr<RawCaller>> idle;
    for (rlim_t n = 0; n < descriptors; ++n)
        idle.push_back(std::make_unique<RawCaller>(site.front(0)));
    std::string bytes = RawCaller::bytesOf(KeyedSite::request("GET", "/s/1", "kept"));
    idle.front()->write(bytes);
    EXPECT_TRUE(idle.front()->read(1, patience).starts_with("H")) << "a kept connection got no answer";
    EXPECT_EQ(site.runs(site.apps(), "kept"), 1U);
    EXPECT_TRUE(site.isReady(0));
    // Those beyond the limit are told so, or find their connection closed: at once.
    RawCaller late(site.front(0));
    std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    late.write(RawCaller::bytesOf(KeyedSite::request("GET", "/s/1", "late")));
    std::string answer = late.read(1, patience);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 2s);
    EXPECT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 ")) << answer;
}
