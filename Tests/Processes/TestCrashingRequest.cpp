// A request that ends whatever target begins to run it, on three daemons before four engines and two plain services.

#include "KeyedSite.h"
#include "RawCaller.h"

#include <csignal>
#include <gtest/gtest.h>
#include <iostream>
#include <thread>

namespace {

using namespace Processes;
using namespace std::chrono_literals;

// How soon after the third end all daemons are to refuse the request.
constexpr std::chrono::milliseconds refusedWithin = 3s;
constexpr std::size_t endsToRefuse = 3;

class CrashingRequest : public testing::Test, protected KeyedSite {
protected:
    CrashingRequest()
        : KeyedSite({ .crashPath = "crash" })
    {
    }

    void SetUp() override
    {
        ASSERT_TRUE(waitUntilServing());
    }

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

    Http::Response send(std::size_t daemon, std::string const& path)
    {
        return ask(daemon, "POST", path, "sent-" + std::to_string(++m_sent));
    }

    // Has the request end targets until it has ended three, as a caller does that sends it again and again.
    void sendUntilItHasEndedThree(std::string const& path)
    {
        constexpr int mostTries = 20;
        for (int n = 0; n < mostTries && m_ends < endsToRefuse; ++n) {
            send(static_cast<std::size_t>(n) % daemonCount(), path);
            std::this_thread::sleep_for(200ms);
            restartEnded();
            ASSERT_TRUE(waitFor([&] { return countEngines("decode") >= 1; }));
        }
        ASSERT_GE(m_ends, endsToRefuse);
    }

    bool waitUntilBack()
    {
        for (std::size_t n = 0; n < daemonCount(); ++n) {
            if (!waitFor([&] { return isReady(n) && listed(n).size() == daemonCount(); }))
                return false;
        }
        return waitFor([&] { return send(0, "/h/1").status == 200; });
    }

    void expectRefused(std::size_t daemon, std::string const& path)
    {
        std::size_t before = m_ends;
        Http::Response answer = send(daemon, path);
        EXPECT_EQ(answer.status, 503) << daemon;
        EXPECT_TRUE(answer.fields.find("Retry-After")) << daemon;
        std::this_thread::sleep_for(100ms);
        restartEnded();
        EXPECT_EQ(m_ends, before) << daemon;
        if (HasFailure())
            std::cerr << whatItKnew(daemon);
    }

    // What the daemon's log says of how it learnt of suspects.
    std::string whatItKnew(std::size_t daemon) const
    {
        std::string text;
        for (char const* what : { "name=process-started", "stream=suspects", "name=target-probed", "name=target-ended", "name=target-added", "name=suspects-unknown", "name=request-suspected", "name=request-quarantined", "name=request-cleared" }) {
            for (std::string const& line : logLines(daemonName(daemon), what))
                text += line + "\n";
        }
        return text;
    }

    std::size_t m_ends { 0 };
    std::size_t m_sent { 0 };
};

}

// Guards against a request that ends one target after the other because each daemon, and each try, takes it for the first.
TEST_F(CrashingRequest, EndsThreeTargetsAndIsThenRefusedEverywhere)
{
    sendUntilItHasEndedThree("/h/crash");
    std::this_thread::sleep_for(refusedWithin);
    restartEnded();
    for (std::size_t n = 0; n < 2 * daemonCount(); ++n)
        expectRefused(n % daemonCount(), "/h/crash");
    // Others are served at the targets that have started again.
    for (std::size_t n = 0; n < daemonCount(); ++n)
        EXPECT_TRUE(waitFor([&] { return send(n, "/h/1").status == 200; })) << n;
}

// Guards against plain services that one call after the other ends.
TEST_F(CrashingRequest, IsRefusedAtPlainServicesToo)
{
    sendUntilItHasEndedThree("/c/crash");
    std::this_thread::sleep_for(refusedWithin);
    restartEnded();
    for (std::size_t n = 0; n < daemonCount(); ++n)
        expectRefused(n, "/c/crash");
    EXPECT_TRUE(waitFor([&] { return send(0, "/c/1").status == 200; }));
}

// Guards against a daemon that has started since, or all of them, and sends the request on once more.
TEST_F(CrashingRequest, IsRefusedByDaemonsThatHaveStartedSince)
{
    sendUntilItHasEndedThree("/h/crash");
    std::this_thread::sleep_for(refusedWithin);
    restartEnded();
    process(daemonName(1)).kill();
    startDaemon(1);
    ASSERT_TRUE(waitUntilBack());
    expectRefused(1, "/h/crash");

    for (std::size_t n = 0; n < daemonCount(); ++n)
        process(daemonName(n)).kill();
    for (std::size_t n = 0; n < daemonCount(); ++n)
        startDaemon(n);
    ASSERT_TRUE(waitUntilBack());
    for (std::size_t n = 0; n < daemonCount(); ++n)
        expectRefused(n, "/h/crash");
}

// Guards against a daemon that starts while the store is away and finds nobody who tells it.
TEST_F(CrashingRequest, IsRefusedByADaemonThatStartsWhileTheStoreIsAway)
{
    sendUntilItHasEndedThree("/h/crash");
    std::this_thread::sleep_for(refusedWithin);
    restartEnded();
    post(store(), "/admin/faults", R"({"down":true})");
    process(daemonName(1)).kill();
    startDaemon(1);
    ASSERT_TRUE(waitFor([&] { return isReady(1) && send(1, "/h/1").status == 200; }));
    expectRefused(1, "/h/crash");
}

// Guards against ends that count for nothing because the target's next process listens at its address before the daemon looks.
TEST_F(CrashingRequest, IsRefusedWhenItsTargetsAreBackBeforeTheirEndIsSeen)
{
    for (std::size_t n = 0; n < endsToRefuse; ++n) {
        std::string id = "unseen-" + std::to_string(n);
        for (std::string const& name : { std::string("app-0"), std::string("app-1") })
            process(name).send(SIGSTOP);
        RawCaller caller(front(n));
        caller.write(RawCaller::bytesOf(request("POST", "/c/unseen", id)));
        ASSERT_TRUE(waitFor([&] { return !logLines(daemonName(n), "name=route-decided request=" + id).empty(); }));
        std::this_thread::sleep_for(100ms);
        process(daemonName(n)).send(SIGSTOP);
        for (std::string const& name : { std::string("app-0"), std::string("app-1") }) {
            process(name).kill();
            startTarget(name);
        }
        process(daemonName(n)).send(SIGCONT);
        ASSERT_TRUE(waitFor([&] { return send(n, "/c/other").status == 200; }));
        // The former entry of a target that starts under another id stays listed; ends there that are closer count as one.
        std::this_thread::sleep_for(500ms);
    }
    std::this_thread::sleep_for(refusedWithin);
    for (std::size_t n = 0; n < daemonCount(); ++n)
        expectRefused(n, "/c/unseen");
    EXPECT_TRUE(waitFor([&] { return send(0, "/c/other").status == 200; }));
}

// Guards against a request that ends one target after the other unnoticed because its callers give it up each time.
TEST_F(CrashingRequest, IsRefusedAlsoWhenItsCallersLeave)
{
    constexpr int mostTries = 20;
    for (int n = 0; n < mostTries && m_ends < endsToRefuse; ++n) {
        RawCaller caller(front(static_cast<std::size_t>(n) % daemonCount()));
        caller.write(RawCaller::bytesOf(request("POST", "/h/crash", "given-up-" + std::to_string(n))));
        std::this_thread::sleep_for(100ms);
        caller.close(RawCaller::Closing::Normal);
        std::this_thread::sleep_for(100ms);
        restartEnded();
        ASSERT_TRUE(waitFor([&] { return countEngines("decode") >= 1; }));
    }
    ASSERT_GE(m_ends, endsToRefuse);
    std::this_thread::sleep_for(refusedWithin);
    restartEnded();
    for (std::size_t n = 0; n < daemonCount(); ++n)
        expectRefused(n, "/h/crash");
}
