// Three daemons on a platform with a keyed store: the store, engines and plain services are stand-ins that speak the
// users' protocol. Settings come from deploy/entry.ini, as on the platform.

#include "Fleet.h"
#include "Process.h"

#include <LibHttp/Client.h>
#include <LibPlatform/Json.h>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <platform/Store.h>
#include <sstream>

namespace {

using namespace Processes;
using namespace std::chrono_literals;
using Platform::arrayOf;
using Platform::numberOf;
using Platform::stringOf;

constexpr std::size_t daemons = 3;

/// A store, four engines of which three decode at first, two plain services and three daemons.
class KeyedPlatform : public testing::Test {
protected:
    struct Addresses {
        Endpoint front;
        Endpoint directory;
        Endpoint ready;
        Endpoint operators;
        Endpoint peers;
    };

    KeyedPlatform()
        : m_folder(std::filesystem::temp_directory_path() / ("currantvale-keyed-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_folder);
        m_store = standIn("store", { "keyed-store" });
        for (std::string_view role : { "prefill", "decode", "decode", "decode" })
            m_engines.push_back(standIn("engine-" + std::to_string(m_engines.size()), { "runner", "--service", "llm", "--role", std::string(role), "--store", Http::toString(m_store) }));
        for (std::string_view name : { "app-0", "app-1" })
            m_apps.push_back(standIn(std::string(name), { "runner", "--service", "app", "--store", Http::toString(m_store) }));
        configure(1, "app");
        for (std::size_t n = 0; n < daemons; ++n)
            m_daemons.push_back({ freeEndpoint(), freeEndpoint(), freeEndpoint(), freeEndpoint(), freeEndpoint() });
        for (std::size_t n = 0; n < daemons; ++n)
            startDaemon(n);
    }

    ~KeyedPlatform() override
    {
        m_processes.clear();
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }

    void SetUp() override
    {
        for (std::size_t n = 0; n < daemons; ++n)
            ASSERT_TRUE(waitFor([&] { return isReady(n) && listed(n).size() == daemons; })) << n;
        // The split of roles comes before the first request, and the list shows it.
        ASSERT_TRUE(waitFor([&] { return engines("prefill") == 2; }));
        ASSERT_TRUE(waitFor([&] { return ask(0, "POST", "/h/1", "warm-up").status == 200; }));
    }

    static std::string program(std::string const& name) { return std::string(CURRANTVALE_BINARY_DIR "/") + name; }

    void spawn(std::string const& name, std::vector<std::string> const& arguments)
    {
        m_processes[name] = std::make_unique<Process>(arguments, (m_folder / (name + ".out")).string(), (m_folder / (name + ".log")).string());
    }

    Endpoint standIn(std::string const& name, std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), program("currantvale-standin"));
        arguments.insert(arguments.begin() + 2, { "--listen", "127.0.0.1:0" });
        spawn(name, arguments);
        std::string line;
        EXPECT_TRUE(waitFor([&] {
            std::ifstream file(m_folder / (name + ".out"));
            return std::getline(file, line) && line.starts_with("listening ") && !file.eof();
        }));
        return Http::parseEndpoint(line.substr(line.find(' ') + 1)).value();
    }

    // Fills deploy/entry.ini in, as the platform does.
    void startDaemon(std::size_t n)
    {
        Addresses const& at = m_daemons[n];
        std::map<std::string, std::string> values { { "node", "front-" + std::to_string(n) }, { "zone", "zone-a" }, { "region", "region-a" }, { "bounds.grace_s", "30" }, { "bounds.lease_ms", "300" },
            { "bounds.retry_budget_ratio", "0.2" }, { "bounds.budget_extra", "50" }, { "bounds.budget_window_s", "10" }, { "provider.addr", Http::toString(m_store) },
            { "listen.front", Http::toString(at.front) }, { "listen.directory", Http::toString(at.directory) }, { "listen.ready", Http::toString(at.ready) },
            { "ip", "127.0.0.1" }, { "port_range.0", std::to_string(at.peers.port()) }, { "port_range.1", std::to_string(at.operators.port()) } };
        std::ifstream file(CURRANTVALE_SOURCE_DIR "/deploy/entry.ini");
        std::ostringstream text;
        text << file.rdbuf();
        std::string settings = text.str();
        for (std::pair<std::string const, std::string> const& it : values) {
            std::string placeholder = "{{" + it.first + "}}";
            for (std::size_t found = settings.find(placeholder); found != std::string::npos; found = settings.find(placeholder))
                settings.replace(found, placeholder.size(), it.second);
        }
        // A leaving daemon accepts for longer here, so that a slow machine has time to ask it.
        std::string const hold = "leave_hold_ms = 3000";
        settings.replace(settings.find(hold), hold.size(), "leave_hold_ms = 8000");
        std::string name = (m_folder / ("front-" + std::to_string(n) + ".ini")).string();
        std::ofstream(name) << settings;
        spawn("front-" + std::to_string(n), { program("currantvaled"), "--settings", name });
    }

    // Writes a whole configuration, as operators do. Calls below /c/ go to `service`.
    void configure(std::uint64_t version, std::string const& service)
    {
        std::string routes = R"({"name":"histories","host":"a.example","path_prefix":"/h/","kind":"stream","timeout_ms":6000,"goal_ms":600,"priority":2,"service":"llm","max_attempts":3,"resumable":true,"gap_target_ms":150},)"
                             R"({"name":"confirm","host":"a.example","path_prefix":"/c/","kind":"unsafe","timeout_ms":3000,"goal_ms":150,"priority":2,"service":")"
            + service + R"(","max_attempts":1},)"
                        R"({"name":"look-up","host":"a.example","path_prefix":"/s/","kind":"safe","timeout_ms":3000,"goal_ms":150,"priority":2,"service":"app","max_attempts":2})";
        std::string config = R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[{"name":"llm","engine":{"slots":8,"kv_cap_tokens":100000,"stage_switch_s":0.5,"kv_hold_s":5}},{"name":"app"},{"name":"none"}]})";
        Http::Request request { "POST", "/currantvale/log-append?topic=keyed.op&part=0", {}, UsersPlatform::encodeRecord("config", config) };
        EXPECT_EQ(fetch(m_store, request).status, 200);
    }

    Http::Response ask(std::size_t n, std::string const& method, std::string const& path, std::string const& id)
    {
        Http::Fields fields { { "Host", "a.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "5000" }, { "X-Token-Usage", "100,10" }, { "X-Prompt-Prefix", "a:60,b:40" } };
        return fetch(m_daemons[n].front, { method, path, std::move(fields), method == "GET" ? "" : "body" });
    }

    bool isReady(std::size_t n) const { return fetch(m_daemons[n].ready, Http::Request()).status == 200; }

    std::vector<std::string> listed(std::size_t n) const
    {
        Http::Request request { "GET", "/currantvale/resolve?name=a.example&region=region-a&zone=zone-a", {}, {} };
        boost::json::object body = getObject(m_daemons[n].directory, request.target);
        std::vector<std::string> addresses;
        if (boost::json::array const* list = arrayOf(body, "addrs")) {
            for (boost::json::value const& it : *list)
                addresses.emplace_back(it.as_string());
        }
        return addresses;
    }

    std::size_t engines(std::string const& role) const
    {
        std::size_t count = 0;
        for (Endpoint const& engine : m_engines)
            count += stringOf(getObject(engine, "/admin/runs"), "role") == role ? 1 : 0;
        return count;
    }

    // How often a request ran at any of these.
    std::uint64_t runs(std::vector<Endpoint> const& targets, std::string const& id) const
    {
        std::uint64_t sum = 0;
        for (Endpoint const& target : targets) {
            boost::json::object body = getObject(target, "/admin/runs");
            if (boost::json::value const* counts = body.if_contains("runs"))
                sum += numberOf(counts->get_object(), id);
        }
        return sum;
    }

    static std::string wholeStream(std::uint32_t pieces)
    {
        std::string text;
        for (std::uint32_t n = 1; n <= pieces; ++n)
            text += "id: " + std::to_string(n) + "\ndata: piece " + std::to_string(n) + "\n\n";
        return text;
    }

    std::filesystem::path m_folder;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    Endpoint m_store;
    std::vector<Endpoint> m_engines;
    std::vector<Endpoint> m_apps;
    std::vector<Addresses> m_daemons;
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
    EXPECT_EQ(runs(m_engines, "stream-1"), 1U);

    // A stream that is cut at one target after the other goes on elsewhere, without a gap or a repeat.
    for (Endpoint const& engine : m_engines)
        post(engine, "/admin/faults", R"({"cut_after_events":4})");
    Http::Response resumed = ask(2, "POST", "/h/2", "stream-2");
    EXPECT_EQ(resumed.body, wholeStream(10));
    EXPECT_GE(runs(m_engines, "stream-2"), 2U);
    for (Endpoint const& engine : m_engines)
        post(engine, "/admin/faults", R"({"cut_after_events":0})");

    // A call that may not be repeated and whose answer is lost: told so, and never run again.
    Http::Response confirmed = ask(0, "POST", "/c/1", "confirm-1");
    EXPECT_EQ(confirmed.status, 200);
    EXPECT_EQ(confirmed.body, "POST /c/1 body");
    for (Endpoint const& app : m_apps)
        post(app, "/admin/faults", R"({"lose_replies":1})");
    EXPECT_EQ(ask(0, "POST", "/c/2", "confirm-2").status, 502);
    EXPECT_EQ(runs(m_apps, "confirm-2"), 1U);
    // One that may be repeated is.
    EXPECT_EQ(ask(0, "GET", "/s/1", "look-up-1").status, 200);

    EXPECT_EQ(ask(0, "GET", "/unknown/", "unknown-1").status, 404);
    Http::Response refused = ask(0, "POST", "/h/1", "");
    EXPECT_EQ(refused.status, 400);
}

TEST_F(KeyedPlatform, AChangedConfigurationIsInForceEverywhereAndOutlivesTheStore)
{
    configure(7, "none");
    for (std::size_t n = 0; n < daemons; ++n)
        EXPECT_TRUE(waitFor([&] { return ask(n, "POST", "/c/1", "after-7").status == 503; })) << n;
    // An older version that is written later changes nothing.
    configure(3, "app");
    configure(9, "app");
    for (std::size_t n = 0; n < daemons; ++n)
        EXPECT_TRUE(waitFor([&] { return ask(n, "POST", "/c/1", "after-9").status == 200; })) << n;
    post(m_store, "/admin/faults", R"({"down":true})");
    for (std::size_t n = 0; n < daemons; ++n) {
        EXPECT_EQ(ask(n, "POST", "/c/1", "store-down").status, 200);
        EXPECT_EQ(ask(n, "POST", "/h/1", "store-down").status, 200);
    }
}

TEST_F(KeyedPlatform, AStoppedDaemonLeavesTheListsAndCutsNothing)
{
    // A killed daemon is not heard any more, and another process takes its name.
    m_processes.at("front-1")->kill();
    EXPECT_TRUE(waitFor([&] { return listed(0).size() == daemons - 1 && listed(2).size() == daemons - 1; }));
    startDaemon(1);
    EXPECT_TRUE(waitFor([&] { return isReady(1) && listed(0).size() == daemons && listed(1).size() == daemons; }));

    m_processes.at("front-2")->send(SIGTERM);
    EXPECT_TRUE(waitFor([&] { return !isReady(2) && listed(0).size() == daemons - 1 && listed(1).size() == daemons - 1; }));
    // Callers that still have its address are served.
    EXPECT_EQ(ask(2, "POST", "/h/1", "late").body, wholeStream(10));
    EXPECT_TRUE(waitFor([&] { return m_processes.at("front-2")->status().has_value(); }));
    EXPECT_EQ(m_processes.at("front-2")->status(), 0);
}

TEST_F(KeyedPlatform, AKilledEngineIsFoundOutByRequests)
{
    // The store keeps its entry; nothing but its silence tells.
    m_processes.at("engine-1")->kill();
    std::size_t served = 0;
    for (int n = 0; n < 20; ++n)
        served += ask(static_cast<std::size_t>(n) % daemons, "POST", "/h/1", "killed-" + std::to_string(n)).status == 200 ? 1 : 0;
    EXPECT_GE(served, 18U);
}

// A process that starts while the store is away knows nobody; the others still send it their beacons.
TEST_F(KeyedPlatform, ADaemonThatStartsWhileTheStoreIsAwayLearnsFromItsPeers)
{
    configure(7, "app");
    for (std::size_t n = 0; n < daemons; ++n)
        EXPECT_TRUE(waitFor([&] { return ask(n, "POST", "/c/1", "before").status == 200; })) << n;
    post(m_store, "/admin/faults", R"({"down":true})");
    m_processes.at("front-1")->kill();
    startDaemon(1);
    EXPECT_TRUE(waitFor([&] { return isReady(1); }));
    EXPECT_TRUE(waitFor([&] { return ask(1, "POST", "/c/1", "restarted").status == 200; }));
    EXPECT_EQ(ask(1, "POST", "/h/1", "restarted-stream").body, wholeStream(10));
    EXPECT_TRUE(waitFor([&] { return listed(0).size() == daemons && listed(1).size() == daemons; }));
}
