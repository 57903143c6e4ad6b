// Targets that name a rate limit in their answers, before three daemons: the limit is for all of them together.

#include "KeyedSite.h"

#include <LibPlatform/Json.h>
#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace {

using namespace Processes;
using namespace std::chrono_literals;

constexpr std::chrono::milliseconds settleTime = 3s; // Until a limit is to be kept after it was first named.
constexpr std::chrono::milliseconds loadTime = 7s;
constexpr std::chrono::milliseconds betweenRequests = 40ms; // At each of three daemons: 75 requests a second.

// In any four seconds, one and a half times what the limit allows, and 5.
std::uint64_t allowedIn4Seconds(double perSecond)
{
    return static_cast<std::uint64_t>(1.5 * 4 * perSecond) + 5;
}

class TargetLimits : public testing::Test, protected KeyedSite {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(waitUntilServing());
    }

    void setLimit(std::string const& name, double perSecond)
    {
        post(target(name), "/admin/faults", R"({"limit_per_1000_s":)" + std::to_string(static_cast<std::uint64_t>(perSecond * 1e3)) + "}");
    }

    std::uint64_t mostIn4Seconds(std::string const& name) const
    {
        return Platform::numberOf(getObject(target(name), "/admin/runs"), "most_in_4_s");
    }

    struct Counts {
        std::atomic<int> served { 0 };
        std::atomic<int> refused { 0 };
        std::atomic<int> other { 0 };
        std::atomic<int> slowRefusals { 0 };
        std::atomic<int> withoutRetryAfter { 0 };
    };

    // Sends through all daemons at once for so long.
    void load(std::string const& method, std::string const& path, std::chrono::milliseconds duration, Counts& counts)
    {
        constexpr std::chrono::milliseconds atOnce = 400ms; // A tenth of what the callers have left, on a busy machine, too.
        std::vector<std::thread> threads;
        std::string run = std::to_string(++m_runs);
        for (std::size_t daemon = 0; daemon < daemonCount(); ++daemon) {
            for (int lane = 0; lane < lanes; ++lane) {
                threads.emplace_back([&, daemon, lane] {
                    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + duration;
                    for (int n = 0; std::chrono::steady_clock::now() < end; ++n) {
                        std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
                        Http::Response response = ask(daemon, method, path, "limit-" + run + "-" + std::to_string(daemon) + "-" + std::to_string(lane) + "-" + std::to_string(n));
                        bool isSlow = std::chrono::steady_clock::now() - start > atOnce;
                        (response.status == 200 ? counts.served : response.status == 503 ? counts.refused
                                                                                         : counts.other)++;
                        counts.slowRefusals += response.status == 503 && isSlow ? 1 : 0;
                        counts.withoutRetryAfter += response.status == 503 && !response.fields.find("Retry-After") ? 1 : 0;
                        std::this_thread::sleep_until(start + betweenRequests * lanes);
                    }
                });
            }
        }
        for (std::thread& thread : threads)
            thread.join();
    }

    static constexpr int lanes = 4;
    int m_runs { 0 };
};

}

// Guards against a plain service's target that gets more than it has said it takes, and against callers who bear the cost while another target is free.
TEST_F(TargetLimits, ATargetGetsNoMoreThanItsLimitFromAllDaemonsTogether)
{
    constexpr double limit = 4.5;
    setLimit("app-0", limit);
    Counts settling;
    load("POST", "/c/1", settleTime, settling);
    setLimit("app-0", limit); // Starts the count anew.
    std::uint64_t before = arrivals("app-0");
    Counts counts;
    load("POST", "/c/1", loadTime, counts);
    EXPECT_LE(mostIn4Seconds("app-0"), allowedIn4Seconds(limit));
    EXPECT_GE(arrivals("app-0") - before, 7U) << "a limited target is slow, not dead";
    EXPECT_EQ(counts.refused + counts.other, 0);
    boost::json::object listed = getObject(operators(0), "/limits");
    ASSERT_EQ(listed.at("limits").as_array().size(), 1U);
    EXPECT_EQ(listed.at("limits").as_array().front().at("per_second").to_number<double>(), limit);
    // Once it names none, it gets its part again.
    setLimit("app-0", 0);
    EXPECT_TRUE(waitFor([&] {
        std::uint64_t before = arrivals("app-0");
        Counts more;
        load("POST", "/c/1", 1s, more);
        return arrivals("app-0") - before > 20;
    }));
}

// Guards against the same at an engine that computes prompts.
TEST_F(TargetLimits, AnEngineGetsNoMoreThanItsLimit)
{
    constexpr double limit = 4.5;
    std::string limited;
    for (std::string const& name : targetNames()) {
        if (limited.empty() && Platform::stringOf(getObject(target(name), "/admin/runs"), "role") == "prefill")
            limited = name;
    }
    ASSERT_FALSE(limited.empty());
    setLimit(limited, limit);
    Counts settling;
    load("POST", "/h/1", settleTime, settling);
    setLimit(limited, limit);
    Counts counts;
    load("POST", "/h/1", loadTime, counts);
    EXPECT_LE(mostIn4Seconds(limited), allowedIn4Seconds(limit));
    EXPECT_GT(counts.served, 0);
    EXPECT_EQ(counts.other, 0);
}

// Guards against callers who wait for, or are sent to, targets that are all at their limits.
TEST_F(TargetLimits, WhereAllTargetsAreAtTheirLimitsCallersAreRefusedAtOnce)
{
    constexpr double limit = 4.5;
    for (std::string const& name : { std::string("app-0"), std::string("app-1") })
        setLimit(name, limit);
    Counts settling;
    load("POST", "/c/1", settleTime, settling);
    for (std::string const& name : { std::string("app-0"), std::string("app-1") })
        setLimit(name, limit);
    std::uint64_t before = arrivals("app-0") + arrivals("app-1");
    Counts counts;
    load("POST", "/c/1", loadTime, counts);
    EXPECT_LE(mostIn4Seconds("app-0"), allowedIn4Seconds(limit));
    EXPECT_LE(mostIn4Seconds("app-1"), allowedIn4Seconds(limit));
    EXPECT_GE(arrivals("app-0") + arrivals("app-1") - before, 30U) << "half of what both allow";
    EXPECT_EQ(counts.other, 0);
    EXPECT_GT(counts.refused, 0);
    EXPECT_EQ(counts.withoutRetryAfter, 0);
    EXPECT_LE(counts.slowRefusals, counts.refused / 20);
}

// Guards against a daemon that takes a share of its own when it starts, or keeps that of one that has ended.
TEST_F(TargetLimits, ALimitHoldsWhileDaemonsEndAndStart)
{
    constexpr double limit = 4.5;
    setLimit("app-0", limit);
    Counts settling;
    load("POST", "/c/1", settleTime, settling);
    setLimit("app-0", limit);
    std::uint64_t before = arrivals("app-0");
    Counts counts;
    std::thread callers([&] { load("POST", "/c/1", 16s, counts); });
    std::this_thread::sleep_for(1s);
    process(daemonName(2)).kill();
    std::this_thread::sleep_for(1s);
    process(daemonName(1)).send(SIGSTOP);
    std::this_thread::sleep_for(2s);
    startDaemon(2);
    std::this_thread::sleep_for(1s);
    process(daemonName(1)).send(SIGCONT);
    process(daemonName(0)).kill();
    startDaemon(0);
    callers.join();
    EXPECT_LE(mostIn4Seconds("app-0"), allowedIn4Seconds(limit));
    EXPECT_GE(arrivals("app-0") - before, 16U) << "shares of daemons that have ended stay unused";
}
