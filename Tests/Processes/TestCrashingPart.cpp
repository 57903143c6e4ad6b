// Prompts of which one part ends whatever engine begins to answer them, on three daemons before four engines.

#include "KeyedSite.h"

#include <gtest/gtest.h>
#include <thread>

namespace {

using namespace Processes;
using namespace std::chrono_literals;

constexpr std::string_view crashingPart = "bad1";
constexpr std::size_t mostEnds = 5; ///< That the part may cause before all daemons refuse it.
constexpr std::chrono::milliseconds refusedWithin = 3s; ///< Of that end.

class CrashingPart : public testing::Test, protected KeyedSite {
protected:
    CrashingPart()
        : KeyedSite({ .crashPart = std::string(crashingPart) })
    {
    }

    void SetUp() override { ASSERT_TRUE(waitUntilServing()); }

    // Starts each target again that has ended since the last call.
    void restartEnded()
    {
        for (std::string const& name : targetNames()) {
            if (process(name).status()) {
                startTarget(name);
                ++m_ends;
            }
        }
    }

    /// Sends a request like no other, whose prompt has these shared parts.
    Http::Response send(std::size_t daemon, std::string const& parts)
    {
        std::string number = std::to_string(++m_sent);
        Http::Request request = KeyedSite::request("POST", "/h/" + number, "sent-" + number);
        request.fields.set("X-Prompt-Prefix", parts + ",f" + number + ":20");
        request.body = "body " + number;
        return fetch(front(daemon), request);
    }

    // Has the part end engines, at all daemons in turn and beside sound requests with the same first part.
    void sendUntilItHasEnded(std::size_t ends)
    {
        constexpr int mostTries = 30;
        for (int n = 0; n < mostTries && m_ends < ends; ++n) {
            send(static_cast<std::size_t>(n) % daemonCount(), "a:60," + std::string(crashingPart) + ":20");
            send(static_cast<std::size_t>(n + 1) % daemonCount(), "a:60,c" + std::to_string(n % 3) + ":20");
            std::this_thread::sleep_for(200ms);
            restartEnded();
            ASSERT_TRUE(waitFor([&] { return countEngines("decode") >= 1; }));
        }
    }

    std::size_t m_ends { 0 };
    std::size_t m_sent { 0 };
};

}

// Guards against a prompt's part that ends one engine after the other because no two requests with it are alike.
TEST_F(CrashingPart, IsRefusedEverywhereWhateverElseTheRequestHolds)
{
    sendUntilItHasEnded(mostEnds);
    EXPECT_LE(m_ends, mostEnds);
    std::this_thread::sleep_for(refusedWithin);
    restartEnded();
    std::size_t before = m_ends;
    for (std::size_t n = 0; n < 3 * daemonCount(); ++n) {
        std::string others = n % 2 == 0 ? "a:60,c1:20," : "d" + std::to_string(n) + ":30,";
        Http::Response answer = send(n % daemonCount(), others + std::string(crashingPart) + ":20");
        EXPECT_EQ(answer.status, 503) << n;
        EXPECT_TRUE(answer.fields.find("Retry-After")) << n;
    }
    std::this_thread::sleep_for(200ms);
    restartEnded();
    EXPECT_EQ(m_ends, before);
    // Sound requests share the first part, the route and the caller.
    for (std::size_t n = 0; n < daemonCount(); ++n) {
        EXPECT_TRUE(waitFor([&] { return send(n, "a:60,c1:20").status == 200; }, 20s)) << n;
        EXPECT_TRUE(waitFor([&] { return send(n, "a:60,c2:20").status == 200; }, 20s)) << n;
    }
}

// The last part is the request's own, even where it has the id of a part that ends engines.
TEST_F(CrashingPart, AsTheLastPartOfAPromptIsNoReasonToRefuseIt)
{
    sendUntilItHasEnded(3);
    std::this_thread::sleep_for(refusedWithin);
    restartEnded();
    for (std::size_t n = 0; n < daemonCount(); ++n) {
        EXPECT_TRUE(waitFor([&] {
            std::string number = std::to_string(++m_sent);
            Http::Request request = KeyedSite::request("POST", "/h/own-" + number, "own-" + number);
            request.fields.set("X-Prompt-Prefix", "a:60," + std::string(crashingPart) + ":40");
            return fetch(front(n), request).status == 200;
        },
            20s))
            << n;
    }
}
