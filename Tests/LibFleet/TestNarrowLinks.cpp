// Guards against requests that reach a target long after their callers have left, and against updates that take effect too late,
// because a daemon's link is busy sending records to its peers. All daemons used to fetch a grown configuration from the one that
// announced it, at once, through that VM's narrow link.

#include "VirtualSite.h"

#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using namespace Fleet;

constexpr std::uint64_t bytesPerSecond = 1'250'000; // 10 Mbit/s
// A request may reach a target this long after its caller has left; it must not wait longer for the link.
constexpr std::chrono::milliseconds maxLinkQueue { 500 };
constexpr std::chrono::milliseconds newsWithin { 3'000 };
// A beacon's own way may take this long without a sign; more must not add up.
constexpr std::chrono::milliseconds maxBeaconTime { 200 };
constexpr std::chrono::milliseconds calmTime { 4'000 };

VirtualSite siteOf(std::size_t daemons, std::size_t recordBytes, std::uint64_t seed)
{
    VirtualSiteSettings settings;
    settings.daemons = daemons;
    settings.newsWithin = newsWithin;
    settings.linkBytesPerSecond = bytesPerSecond;
    settings.recordBytes = recordBytes;
    settings.seed = seed;
    return VirtualSite(settings);
}

// Changes a record of this size three times and checks when the daemons know, and how long their links were busy.
void expectInTime(std::size_t daemons, std::size_t recordBytes, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VirtualSite site = siteOf(daemons, recordBytes, seed);
        Time start = site.now();
        for (std::chrono::seconds at : { 6s, 13s, 20s })
            site.change(start + at);
        site.run(start + 26s);
        EXPECT_LE(site.longestLinkQueue(), maxLinkQueue) << daemons << " daemons, " << recordBytes << " bytes, seed " << seed;
        std::vector<VirtualSite::Breach> breaches = site.breaches(newsWithin, calmTime);
        EXPECT_EQ(breaches.size(), 0U) << daemons << " daemons, " << recordBytes << " bytes, seed " << seed << ", the last one after " << site.worstDelay(calmTime).count() << " ms";
    }
}

}

// Guards against a daemon that takes its copy for current although it lacks a change: each beacon that passed an age on left out
// the time that it had waited for the link, so that among daemons that lacked the same change their copies hardly aged.
TEST(NarrowLinks, LetNoCopyCountAsYoungerThanItIs)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        VirtualSite site = siteOf(90, 450'000, seed);
        Time start = site.now();
        site.change(start + 6s);
        site.run(start + 12s);
        EXPECT_LE(site.worstAgeError(), maxBeaconTime) << "seed " << seed;
    }
}

TEST(NarrowLinks, CarryACompressedConfigurationToSevenDaemons) { expectInTime(7, 40'000, 5); }
TEST(NarrowLinks, CarryACompressedConfigurationToNinetyDaemons) { expectInTime(90, 40'000, 5); }
TEST(NarrowLinks, CarryACompressedConfigurationToThreeHundredDaemons) { expectInTime(295, 40'000, 3); }
TEST(NarrowLinks, CarryALargeConfigurationToSevenDaemons) { expectInTime(7, 450'000, 5); }
TEST(NarrowLinks, CarryALargeConfigurationToNinetyDaemons) { expectInTime(90, 450'000, 3); }
TEST(NarrowLinks, CarryALargeConfigurationToThreeHundredDaemons) { expectInTime(295, 450'000, 1); }
