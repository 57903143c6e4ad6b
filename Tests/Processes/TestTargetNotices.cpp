// What targets say of themselves in their answers, on three daemons before four engines and two plain services. The store knows nothing of it.

#include "KeyedSite.h"

#include <gtest/gtest.h>
#include <thread>

namespace {

using namespace Processes;
using namespace std::chrono_literals;

// How soon after a target's word no daemon is to send to it.
constexpr std::chrono::milliseconds leavingWithin = 2s;

class TargetNotices : public testing::Test, protected KeyedSite {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(waitUntilServing());
    }

    int send(std::size_t daemon, std::string const& method, std::string const& path)
    {
        return ask(daemon, method, path, "notice-" + std::to_string(++m_sent)).status;
    }

    // Sends to each daemon until each has had an answer of the target, or could have.
    void sendToAll(std::string const& method, std::string const& path)
    {
        for (int n = 0; n < 12; ++n)
            send(static_cast<std::size_t>(n) % daemonCount(), method, path);
    }

    // Nothing comes to the target any more, though all daemons get requests, and all of these are served elsewhere.
    void expectNothingMore(std::string const& name, std::string const& method, std::string const& path)
    {
        std::this_thread::sleep_for(leavingWithin);
        std::uint64_t before = arrivals(name);
        for (int n = 0; n < 18; ++n)
            EXPECT_EQ(send(static_cast<std::size_t>(n) % daemonCount(), method, path), 200) << n;
        EXPECT_EQ(arrivals(name), before);
    }

    std::size_t m_sent { 0 };
};

}

// Guards against requests to a plain service's target whose answers have said that it leaves.
TEST_F(TargetNotices, ATargetThatSaysItLeavesGetsNoMore)
{
    post(target("app-0"), "/admin/faults", R"({"say_leaving":true})");
    sendToAll("POST", "/c/1");
    expectNothingMore("app-0", "POST", "/c/1");
}

// Guards against the same at engines: one says so where it computes prompts, another where it makes outputs.
TEST_F(TargetNotices, EnginesThatSayTheyLeaveGetNoMore)
{
    sendToAll("POST", "/h/1");
    std::vector<std::string> leaving;
    for (std::string const& name : targetNames()) {
        if (!name.starts_with("engine-"))
            continue;
        boost::json::object runs = getObject(target(name), "/admin/runs");
        bool isTaken = std::any_of(leaving.begin(), leaving.end(), [&](std::string const& other) { return getObject(target(other), "/admin/runs").at("role") == runs.at("role"); });
        if (!isTaken)
            leaving.push_back(name);
    }
    ASSERT_EQ(leaving.size(), 2U);
    for (std::string const& name : leaving)
        post(target(name), "/admin/faults", R"({"say_leaving":true})");
    sendToAll("POST", "/h/1");
    for (std::string const& name : leaving)
        expectNothingMore(name, "POST", "/h/1");
}

// Guards against requests to a target that has turned one away and said for how long it wants none.
TEST_F(TargetNotices, ATargetThatTurnsRequestsAwayIsLeftInPeace)
{
    constexpr std::chrono::milliseconds pause = 4s;
    constexpr std::chrono::milliseconds underWay = 500ms;
    constexpr std::uint64_t mostMeanwhile = 2;
    post(target("app-0"), "/admin/faults", R"({"refuse":true,"turn_away_ms":4000})");
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    sendToAll("POST", "/c/1");
    std::this_thread::sleep_for(underWay);
    std::uint64_t before = arrivals("app-0");
    int sent = 0;
    while (std::chrono::steady_clock::now() < start + pause - underWay) {
        EXPECT_EQ(send(0, "POST", "/c/1"), 200);
        ++sent;
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_GE(sent, 20);
    EXPECT_LE(arrivals("app-0") - before, mostMeanwhile);
    // Then it is asked again.
    post(target("app-0"), "/admin/faults", R"({"refuse":false,"turn_away_ms":0})");
    EXPECT_TRUE(waitFor([&] {
        std::uint64_t runsBefore = arrivals("app-0");
        sendToAll("POST", "/c/1");
        return arrivals("app-0") > runsBefore;
    }));
}

// Guards against callers who are held up, or sent to targets that want nothing, where all of a service's targets have turned requests away.
TEST_F(TargetNotices, WhereAllTargetsTurnAwayCallersAreToldWhenToComeBack)
{
    for (std::string const& name : { std::string("app-0"), std::string("app-1") })
        post(target(name), "/admin/faults", R"({"refuse":true,"turn_away_ms":20000})");
    sendToAll("POST", "/c/1");
    std::uint64_t before = arrivals("app-0") + arrivals("app-1");
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    Http::Response refused = ask(0, "POST", "/c/1", "notice-refused");
    EXPECT_LT(std::chrono::steady_clock::now() - start, 200ms);
    EXPECT_EQ(refused.status, 503);
    ASSERT_TRUE(refused.fields.find("Retry-After"));
    EXPECT_GE(std::stod(std::string(*refused.fields.find("Retry-After"))), 10.0);
    EXPECT_EQ(arrivals("app-0") + arrivals("app-1"), before);
}
