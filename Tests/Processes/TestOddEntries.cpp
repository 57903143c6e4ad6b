// Entries and configurations that another writer leaves in the store: what is odd drops out alone, and no daemon ends.

#include "KeyedSite.h"

#include <LibHttp/Client.h>

#include <csignal>
#include <gtest/gtest.h>
#include <map>
#include <thread>

namespace {

using namespace Processes;

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// A sound entry of an engine, with one field replaced or added.
std::string entryWith(std::string const& field, std::string const& value)
{
    std::map<std::string, std::string> fields { { "service", R"("llm")" }, { "addr", R"("127.0.0.1:9")" }, { "zone", R"("zone-a")" }, { "slots", "8" }, { "state", R"("ready")" }, { "stage", R"("decode")" }, { "seq", "1" }, { "born", "1" } };
    fields[field] = value;
    std::string text;
    for (std::pair<std::string const, std::string> const& it : fields)
        text += (text.empty() ? "{" : ",") + ("\"" + it.first + "\":" + it.second);
    return text + "}";
}

std::vector<std::string> oddEntries()
{
    std::string const longText = "\"" + std::string(200'000, 'x') + "\"";
    std::vector<std::string> entries { "", "{", "[]", "null", nested(31), nested(33), nested(100'000), std::string(200'000, '{') };
    for (std::string_view address : { "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:-1", "127.0.0.1", "0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80", "" })
        entries.push_back(entryWith("addr", "\"" + std::string(address) + "\""));
    for (std::string_view number : { "1e400", "-1e400", "1e300", "18446744073709551616", "-9223372036854775809", "-1", "0", "0.5", "4294967296" }) {
        for (std::string_view field : { "slots", "born", "seq" })
            entries.push_back(entryWith(std::string(field), std::string(number)));
    }
    for (std::string_view field : { "service", "addr", "zone", "slots", "state", "stage", "version", "born", "other" }) {
        for (std::string const& value : { nested(28), nested(29), nested(64), longText, std::string(R"("\u0000\r\nX-Injected: 1")"), std::string(R"("\ud800")"), std::string("null"), std::string("{}") })
            entries.push_back(entryWith(std::string(field), value));
    }
    return entries;
}

class OddEntries : public testing::Test {
protected:
    static KeyedSiteSettings settings()
    {
        KeyedSiteSettings settings;
        settings.engines = { { "prefill" }, { "decode" }, { "decode" } };
        settings.hasFixedRoles = true;
        return settings;
    }

    void SetUp() override { ASSERT_TRUE(m_site.waitUntilServing()); }

    bool isServedByAll(std::string const& prefix, std::string const& path = "/h/1")
    {
        for (std::size_t n = 0; n < KeyedSite::daemonCount(); ++n) {
            bool isServed = waitFor([&] { return m_site.ask(n, "POST", path, prefix + std::to_string(m_asked++)).status == 200; });
            if (!isServed || m_site.process(KeyedSite::daemonName(n)).status())
                return false;
        }
        return true;
    }

    KeyedSite m_site { settings() };
    std::size_t m_asked { 0 };
};

}

// Guards against daemons that end, again and again, or stop following the list, because of one odd entry.
TEST_F(OddEntries, DropOutAloneAndTheListIsFollowed)
{
    std::vector<std::string> entries = oddEntries();
    for (std::size_t n = 0; n < entries.size(); ++n)
        m_site.writeEntry("i-odd-" + std::to_string(n), entries[n]);
    for (std::string const& key : { std::string(5'000, 'k'), std::string("\x01\xff\n"), std::string("i-\0-null", 8) })
        m_site.writeEntry(key, entryWith("slots", "8"));
    EXPECT_TRUE(isServedByAll("beside-"));
    // All that served until now is gone, so that only who follows the list can serve.
    for (std::string const& name : m_site.targetNames()) {
        m_site.process(name).kill();
        m_site.startTarget(name);
    }
    EXPECT_TRUE(isServedByAll("behind-"));
    // A daemon that starts now reads all of them at once.
    m_site.process(KeyedSite::daemonName(0)).kill();
    m_site.startDaemon(0);
    EXPECT_TRUE(waitFor([&] { return m_site.isReady(0); }));
    EXPECT_TRUE(isServedByAll("started-"));
    for (std::size_t n = 0; n < KeyedSite::daemonCount(); ++n)
        EXPECT_TRUE(m_site.logLines(KeyedSite::daemonName(n), "uncaught-exception").empty());
}

// Guards against requests that go round among daemons because an entry names the address of one of them as a target's.
TEST_F(OddEntries, ThatNameADaemonsOwnAddressDoNotKeepCallersFromTargets)
{
    for (std::size_t n = 0; n < KeyedSite::daemonCount(); ++n) {
        m_site.writeEntry("i-own-" + std::to_string(n), entryWith("addr", "\"" + Http::toString(m_site.front(n)) + "\""));
    }
    for (std::size_t n = 0; n < KeyedSite::daemonCount(); ++n)
        EXPECT_TRUE(waitFor([&] { return m_site.logLines(KeyedSite::daemonName(n), "a daemon listens at its address").size() >= KeyedSite::daemonCount(); }));
    std::size_t served = 0;
    constexpr std::size_t asked = 60;
    for (std::size_t n = 0; n < asked; ++n)
        served += m_site.ask(n % KeyedSite::daemonCount(), "POST", "/h/1", "own-address-" + std::to_string(n)).status == 200 ? 1 : 0;
    EXPECT_EQ(served, asked);
    EXPECT_TRUE(isServedByAll("later-"));
}

// Guards against an odd configuration that replaces a good one, or after which no good one is taken any more.
TEST_F(OddEntries, OfTheConfigurationLeaveTheLastGoodOneInForce)
{
    std::vector<std::string> odd { "", "{", nested(100'000), R"({"version":1e400,"routes":[],"services":[]})", R"({"version":2,"routes":[{}],"services":[]})",
        R"({"version":3,"routes":[{"name":"histories","host":"a.example","path_prefix":"/h/","kind":"stream","timeout_ms":1e300,"service":"llm","max_attempts":3}],"services":[{"name":"llm","engine":{"slots":8}}]})",
        R"({"version":4,"routes":[{"name":"histories","host":"a.example","path_prefix":"/h/","kind":"stream","timeout_ms":6000,"service":"llm","max_attempts":4294967296}],"services":[{"name":"llm","engine":{"slots":4294967296}}]})" };
    for (std::string const& value : odd) {
        m_site.writeConfiguration(value);
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        // They have no such route.
        EXPECT_TRUE(isServedByAll("odd-configuration-", "/c/1")) << value.substr(0, 200);
    }
    EXPECT_FALSE(m_site.logLines(KeyedSite::daemonName(0), "configuration-refused").empty());
    m_site.configure(9, "none");
    for (std::size_t n = 0; n < KeyedSite::daemonCount(); ++n)
        EXPECT_TRUE(waitFor([&] { return m_site.ask(n, "POST", "/c/1", "newest-" + std::to_string(m_asked++)).status == 503; }));
}
