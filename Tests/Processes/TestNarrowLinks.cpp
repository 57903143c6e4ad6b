// Daemons that reach the targets over links too narrow for what is sent: requests wait in the daemons' sockets.

#include "KeyedSite.h"
#include "RawCaller.h"

#include <LibPlatform/Json.h>
#include <gtest/gtest.h>
#include <list>
#include <utility>

namespace {

using namespace Processes;

constexpr std::uint64_t narrowBytesPerSecond = 10'000; // A request of this test takes half a minute at it.
constexpr std::size_t bodyBytes = 300'000; // More than a socket of the link takes in.
/// The method and path of a safe and an unsafe request and of a stream.
std::vector<std::pair<std::string, std::string>> const kinds { { "GET", "/s/1" }, { "POST", "/c/1" }, { "POST", "/h/1" } };

constexpr std::size_t callersOfEach = 4; // Every other one resets its connection.
constexpr std::chrono::milliseconds bound { 500 }; // A request may reach its target this long after its caller has left.

class NarrowLinks : public testing::Test, protected KeyedSite {
protected:
    NarrowLinks()
        : KeyedSite([] {
            KeyedSiteSettings settings;
            settings.hasForwarders = true;
            return settings;
        }())
    {
    }

    void SetUp() override { ASSERT_TRUE(waitUntilServing()); }

    // 0: unlimited.
    void setRate(std::uint64_t bytesPerSecond)
    {
        for (std::string const& name : targetNames())
            EXPECT_EQ(post(forwarderAdmin(targetForwarder(name)), "/rate", R"({"bytes_per_s":)" + std::to_string(bytesPerSecond) + "}"), 200);
    }

    std::uint64_t ofLinks(std::string const& field) const
    {
        std::uint64_t sum = 0;
        for (std::string const& name : targetNames())
            sum += Platform::numberOf(getObject(forwarderAdmin(targetForwarder(name)), "/state"), field);
        return sum;
    }

    std::uint64_t allArrivals() const
    {
        std::uint64_t sum = 0;
        for (std::string const& name : targetNames())
            sum += arrivals(name);
        return sum;
    }

    // Returns whether the first daemon has so many requests without their final answer.
    bool hasOpen(std::size_t requests) const { return metric(0, R"(currantvale_state{of="open_requests"})") == static_cast<double>(requests); }
};

}

// Guards against requests that lie in a daemon's socket while their callers leave and reach their targets when the link has room:
// a connection that is closed in the ordinary way still delivers what was written to it.
TEST_F(NarrowLinks, RequestsThatWaitInASocketReachNoTargetOnceTheirCallersHaveLeft)
{
    setRate(narrowBytesPerSecond);
    std::list<RawCaller> callers;
    for (std::pair<std::string, std::string> const& kind : kinds) {
        for (std::size_t n = 0; n < callersOfEach; ++n) {
            Http::Request large = request(kind.first, kind.second, "leaving-" + std::to_string(callers.size()));
            large.body = std::string(bodyBytes, 'x');
            callers.emplace_back(front(0)).write(RawCaller::bytesOf(large));
        }
    }
    ASSERT_TRUE(waitFor([&] { return hasOpen(callers.size()) && ofLinks("waiting_forward") >= callers.size(); })) << "the test needs requests that wait in sockets";
    bool resets = false;
    for (RawCaller& it : callers)
        it.close(std::exchange(resets, !resets) ? RawCaller::Closing::Reset : RawCaller::Closing::Normal);
    std::chrono::steady_clock::time_point left = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitFor([&] { return std::chrono::steady_clock::now() - left > bound && hasOpen(0); }));
    std::uint64_t before = allArrivals();
    setRate(0);
    // The daemons' connections end with them, and a link's last one ends once all that was written to it has arrived.
    for (std::size_t n = 0; n < daemonCount(); ++n)
        process(daemonName(n)).kill();
    EXPECT_TRUE(waitFor([&] { return ofLinks("connections") == 0; }));
    EXPECT_EQ(allArrivals() - before, 0U) << "requests of " << callers.size() << " callers who had left over half a second before";
}
