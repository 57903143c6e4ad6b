// Organisations' keys on three daemons before four engines and two plain services.

#include "KeyedSite.h"

#include <LibPlatform/Json.h>
#include <gtest/gtest.h>
#include <thread>

namespace {

using namespace Processes;
using namespace std::chrono_literals;

// As deploy/entry.ini is filled in: how soon after a change every daemon acts on it, and is strict.
constexpr std::chrono::milliseconds newsWithin = 2s;

constexpr char const* firstKeys = R"([{"name":"org-a","api_keys":["secret-a1","secret-a2"]},{"name":"org-b","api_keys":["secret-b"]}])";

class Keys : public testing::Test, protected KeyedSite {
protected:
    explicit Keys(bool isStrict = false)
        : KeyedSite(settingsOf(isStrict))
    {
    }

    void SetUp() override
    {
        ASSERT_TRUE(waitUntilServing());
        changeKeys(2, firstKeys);
    }

    static KeyedSiteSettings settingsOf(bool isStrict)
    {
        KeyedSiteSettings settings;
        settings.hasForwarders = true;
        settings.isStrict = isStrict;
        return settings;
    }

    void changeKeys(std::uint64_t version, std::string const& organisations)
    {
        setOrganisations(organisations);
        configure(version, "app");
        std::this_thread::sleep_for(newsWithin);
    }

    int send(std::size_t daemon, std::string const& path, std::string const& key, Http::Fields const& extra = {})
    {
        Http::Request request = KeyedSite::request("POST", path, m_lastId = "key-" + std::to_string(++m_sent));
        if (!key.empty())
            request.fields.add("Api-Key", key);
        for (Http::Fields::Entry const& entry : extra.entries())
            request.fields.add(entry.first, entry.second);
        return fetch(front(daemon), request).status;
    }

    // Leaves daemon 0 alone, without the store.
    void cutOff()
    {
        process(daemonName(1)).kill();
        process(daemonName(2)).kill();
        post(forwarderAdmin(storeForwarder(0)), "/pause", R"({"direction":"both"})");
    }

    std::string m_lastId;

private:
    std::uint64_t m_sent { 0 };
};

class StrictKeys : public Keys {
protected:
    StrictKeys()
        : Keys(true)
    {
    }
};

}

// Guards against a key that leaves the daemon: to a target, or into its log.
TEST_F(Keys, TargetsSeeTheOrganisationAndNobodyTheKey)
{
    std::vector<std::string> asked;
    for (std::string const& path : { std::string("/h/1"), std::string("/c/1"), std::string("/s/1") }) {
        EXPECT_EQ(send(0, path, "secret-a1", { { "X-Tenant", "org-b" } }), 200) << path;
        asked.push_back(m_lastId);
    }
    for (std::string const& name : targetNames()) {
        boost::json::object runs = getObject(target(name), "/admin/runs");
        EXPECT_EQ(runs.at("keys"), 0) << name;
        for (boost::json::key_value_pair const& it : runs.at("organisations").as_object())
            EXPECT_EQ(it.value(), boost::json::value(boost::json::array { "org-a" })) << it.key();
    }
    for (std::string const& id : asked)
        EXPECT_EQ(runs(engines(), id) + runs(apps(), id), 1U);
    EXPECT_EQ(send(1, "/c/1", "secret-none"), 401);
    EXPECT_EQ(send(1, "/c/1", ""), 401);
    EXPECT_EQ(send(1, "/o/1", ""), 200);
    for (std::size_t n = 0; n < daemonCount(); ++n)
        EXPECT_TRUE(logLines(daemonName(n), "secret-").empty());
}

// Guards against a key that outlives its end on a connection that was open before, and a new one that is denied.
TEST_F(Keys, AKeyEndsAndAnotherBeginsAtAllDaemons)
{
    EXPECT_EQ(send(0, "/c/1", "secret-a1"), 200);
    // First the new key beside the old one, then without it: callers who change in between are never refused.
    changeKeys(3, R"([{"name":"org-a","api_keys":["secret-a1","secret-a3"]},{"name":"org-b","api_keys":[]}])");
    for (std::size_t n = 0; n < daemonCount(); ++n) {
        EXPECT_EQ(send(n, "/c/1", "secret-a1"), 200);
        EXPECT_EQ(send(n, "/c/1", "secret-a3"), 200);
        EXPECT_EQ(send(n, "/c/1", "secret-a2"), 401);
        EXPECT_EQ(send(n, "/c/1", "secret-b"), 401);
    }
    changeKeys(4, R"([{"name":"org-a","api_keys":["secret-a3"]}])");
    for (std::size_t n = 0; n < daemonCount(); ++n) {
        EXPECT_EQ(send(n, "/c/1", "secret-a1"), 401);
        EXPECT_EQ(send(n, "/c/1", "secret-a3"), 200);
    }
    // A configuration that gives one key to two organisations changes nothing.
    changeKeys(5, R"([{"name":"org-a","api_keys":["secret-x"]},{"name":"org-b","api_keys":["secret-x"]}])");
    EXPECT_EQ(send(0, "/c/1", "secret-a3"), 200);
    EXPECT_EQ(send(0, "/c/1", "secret-x"), 401);
}

// Guards against a daemon that is cut off and denies a key which it cannot know.
TEST_F(Keys, ADaemonThatIsCutOffDeniesNoKey)
{
    cutOff();
    changeKeys(3, R"([{"name":"org-a","api_keys":["secret-new"]}])");
    std::this_thread::sleep_for(newsWithin);
    EXPECT_EQ(send(0, "/c/1", "secret-new"), 503);
    EXPECT_EQ(send(0, "/c/1", ""), 503);
    EXPECT_EQ(send(0, "/c/1", "secret-a1"), 200);
}

// Guards against a key that was taken away and lives on where operators asked for strictness.
TEST_F(StrictKeys, ADaemonThatIsCutOffServesNoKey)
{
    EXPECT_EQ(send(0, "/c/1", "secret-a1"), 200);
    cutOff();
    std::this_thread::sleep_for(2 * newsWithin);
    EXPECT_EQ(send(0, "/c/1", "secret-a1"), 503);
    EXPECT_EQ(send(0, "/o/1", ""), 200);
}
