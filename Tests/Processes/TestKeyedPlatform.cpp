// Three daemons on a platform with a keyed store: the store, engines and plain services are stand-ins that speak the
// users' protocol. Settings come from deploy/entry.ini, as on the platform.

#include "KeyedSite.h"

#include <LibHttp/Client.h>
#include <csignal>
#include <functional>
#include <gtest/gtest.h>
#include <set>

namespace {

using namespace Processes;

class KeyedPlatform : public testing::Test, protected KeyedSite {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(waitUntilServing());
    }
};

}

TEST_F(KeyedPlatform, ServesStreamsAndCallsAndKeepsItsPromises)
{
    // A stream: prompt and output apart, whole, with its target's seal and id.
    Http::Response stream = ask(1, "POST", "/h/1?x=y", "stream-1");
    EXPECT_EQ(stream.status, 200);
    EXPECT_EQ(stream.body, wholeStream(10));
    EXPECT_TRUE(stream.fields.find("X-Server-Seal"));
    EXPECT_EQ(stream.fields.find("X-Request-Id"), "stream-1");
    EXPECT_EQ(runs(engines(), "stream-1"), 1U);

    // A stream that is cut at one target after the other goes on elsewhere, without a gap or a repeat.
    for (Endpoint const& engine : engines())
        post(engine, "/admin/faults", R"({"cut_after_events":4})");
    Http::Response resumed = ask(2, "POST", "/h/2", "stream-2");
    EXPECT_EQ(resumed.body, wholeStream(10));
    EXPECT_GE(runs(engines(), "stream-2"), 2U);
    for (Endpoint const& engine : engines())
        post(engine, "/admin/faults", R"({"cut_after_events":0})");

    // A call that may not be repeated and whose answer is lost: told so, and never run again.
    Http::Response confirmed = ask(0, "POST", "/c/1", "confirm-1");
    EXPECT_EQ(confirmed.status, 200);
    EXPECT_EQ(confirmed.body, "POST /c/1 body");
    for (Endpoint const& app : apps())
        post(app, "/admin/faults", R"({"lose_replies":1})");
    EXPECT_EQ(ask(0, "POST", "/c/2", "confirm-2").status, 502);
    EXPECT_EQ(runs(apps(), "confirm-2"), 1U);
    // One that may be repeated is.
    EXPECT_EQ(ask(0, "GET", "/s/1", "look-up-1").status, 200);

    EXPECT_EQ(ask(0, "GET", "/unknown/", "unknown-1").status, 404);
    Http::Response refused = ask(0, "POST", "/h/1", "");
    EXPECT_EQ(refused.status, 400);
}

TEST_F(KeyedPlatform, AChangedConfigurationIsInForceEverywhereAndOutlivesTheStore)
{
    configure(7, "none");
    for (std::size_t n = 0; n < daemonCount(); ++n)
        EXPECT_TRUE(waitFor([&] { return ask(n, "POST", "/c/1", "after-7").status == 503; })) << n;
    // An older version that is written later changes nothing.
    configure(3, "app");
    configure(9, "app");
    for (std::size_t n = 0; n < daemonCount(); ++n)
        EXPECT_TRUE(waitFor([&] { return ask(n, "POST", "/c/1", "after-9").status == 200; })) << n;
    post(store(), "/admin/faults", R"({"down":true})");
    for (std::size_t n = 0; n < daemonCount(); ++n) {
        EXPECT_EQ(ask(n, "POST", "/c/1", "store-down").status, 200);
        EXPECT_EQ(ask(n, "POST", "/h/1", "store-down").status, 200);
    }
}

TEST_F(KeyedPlatform, AStoppedDaemonLeavesTheListsAndCutsNothing)
{
    // A killed daemon is not heard any more, and another process takes its name.
    process("front-1").kill();
    EXPECT_TRUE(waitFor([&] { return listed(0).size() == daemonCount() - 1 && listed(2).size() == daemonCount() - 1; }));
    startDaemon(1);
    EXPECT_TRUE(waitFor([&] { return isReady(1) && listed(0).size() == daemonCount() && listed(1).size() == daemonCount(); }));

    process("front-2").send(SIGTERM);
    EXPECT_TRUE(waitFor([&] { return !isReady(2) && listed(0).size() == daemonCount() - 1 && listed(1).size() == daemonCount() - 1; }));
    // Callers that still have its address are served.
    EXPECT_EQ(ask(2, "POST", "/h/1", "late").body, wholeStream(10));
    EXPECT_TRUE(waitFor([&] { return process("front-2").status().has_value(); }));
    EXPECT_EQ(process("front-2").status(), 0);
}

TEST_F(KeyedPlatform, AKilledEngineIsFoundOutByRequests)
{
    // The store keeps its entry; nothing but its silence tells.
    process("engine-1").kill();
    std::size_t served = 0;
    for (int n = 0; n < 20; ++n)
        served += ask(static_cast<std::size_t>(n) % daemonCount(), "POST", "/h/1", "killed-" + std::to_string(n)).status == 200 ? 1 : 0;
    EXPECT_GE(served, 18U);
}

// A process that starts while the store is away knows nobody; the others still send it their beacons.
TEST_F(KeyedPlatform, ADaemonThatStartsWhileTheStoreIsAwayLearnsFromItsPeers)
{
    configure(7, "app");
    for (std::size_t n = 0; n < daemonCount(); ++n)
        EXPECT_TRUE(waitFor([&] { return ask(n, "POST", "/c/1", "before").status == 200; })) << n;
    post(store(), "/admin/faults", R"({"down":true})");
    process("front-1").kill();
    startDaemon(1);
    EXPECT_TRUE(waitFor([&] { return isReady(1); }));
    EXPECT_TRUE(waitFor([&] { return ask(1, "POST", "/c/1", "restarted").status == 200; }));
    EXPECT_EQ(ask(1, "POST", "/h/1", "restarted-stream").body, wholeStream(10));
    EXPECT_TRUE(waitFor([&] { return listed(0).size() == daemonCount() && listed(1).size() == daemonCount(); }));
}

// It holds nothing of what its former incarnation did, and counts its orders anew.
TEST_F(KeyedPlatform, AnEngineThatStartsAgainUnderItsIdServesAgain)
{
    for (int n = 0; n < 3; ++n) {
        process("engine-1").kill();
        startTarget("engine-1");
    }
    EXPECT_TRUE(waitFor([&] { return logLines("front-0", "name=target-added target=" + targetId("engine-1")).size() >= 2; }));
    EXPECT_TRUE(waitUntilServing());
    post(target("engine-1"), "/admin/faults", "{}");
    EXPECT_TRUE(waitFor([&] {
        std::string id = "reborn-" + std::to_string(std::chrono::steady_clock::now().time_since_epoch().count());
        return ask(0, "POST", "/h/1", id).status == 200 && ask(1, "POST", "/h/2", id + "b").status == 200;
    }));
}

TEST_F(KeyedPlatform, EntriesThatCannotBeUsedNameNoTargetAndDisturbNoOther)
{
    std::string const good = R"({"service":"app","addr":"127.0.0.1:1","zone":"zone-a","slots":6,"state":"ready","born":1})";
    std::vector<std::string> const entries { "", "no JSON", "[]", "{}", good.substr(0, 40), R"({"service":"app","addr":"127.0.0.1:1","zone":"zone-a","slots":6,"state":"asleep"})",
        R"({"service":"app","addr":7,"zone":"zone-a","slots":6,"state":"ready"})", R"({"service":"llm","addr":"127.0.0.1:1","zone":"zone-a","slots":6,"state":"ready","stage":"both"})",
        R"({"service":"llm","addr":"127.0.0.1:1","zone":"zone-a","slots":6,"state":"ready"})", R"({"service":"app","addr":"127.0.0.1:1","zone":"zone-a","state":"ready"})" };
    for (int round = 0; round < 2; ++round) {
        for (std::size_t n = 1; n < entries.size(); ++n)
            writeEntry("x-" + std::to_string(n), entries[n]);
    }
    EXPECT_TRUE(waitFor([&] { return !logLines("front-0", "target-entry-unusable target=x-7").empty(); }));
    for (int n = 0; n < 12; ++n) {
        EXPECT_EQ(ask(0, "POST", "/h/1", "stream-" + std::to_string(n)).body, wholeStream(10));
        EXPECT_EQ(ask(0, "POST", "/c/1", "call-" + std::to_string(n)).status, 200);
    }
    EXPECT_EQ(logLines("front-0", "target-entry-unusable target=x-7").size(), 1U) << "one line an entry, however often it is written";
    EXPECT_TRUE(logLines("front-0", "name=target-added target=x-").size() <= 1U) << "the engine without a role is listed and not used";
}

// Guards against requests, and a plan of roles, that count on a target whose entry remains after another process took its address.
TEST_F(KeyedPlatform, ATargetWhoseAddressAnotherHasTakenGetsNoRequests)
{
    std::string address = "address=" + Http::toString(target("app-0"));
    std::function<std::vector<std::string>()> added = [&] { return logLines(daemonName(0), "name=target-added"); };
    std::function<std::set<std::string>()> ids = [&] {
        std::set<std::string> found;
        for (std::string const& line : added()) {
            std::size_t at = line.find(" target=") + std::string_view(" target=").size();
            if (line.find(address) != std::string::npos)
                found.insert(line.substr(at, line.find(' ', at) - at));
        }
        return found;
    };
    ASSERT_EQ(ids().size(), 1U);
    std::string former = *ids().begin();
    process("app-0").send(SIGKILL);
    ASSERT_TRUE(waitFor([&] { return process("app-0").status().has_value(); }));
    startTarget("app-0");
    ASSERT_TRUE(waitFor([&] { return ids().size() == 2; }));
    std::size_t before = logLines(daemonName(0), "target=" + former + " ").size();
    for (int n = 0; n < 30; ++n)
        EXPECT_EQ(ask(0, "GET", "/s/1", "taken-" + std::to_string(n)).status, 200);
    EXPECT_EQ(logLines(daemonName(0), "target=" + former + " ").size(), before);
}
