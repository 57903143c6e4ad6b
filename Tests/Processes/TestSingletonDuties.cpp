// The duties of one daemon at a time, on three daemons before four engines and two plain services: usage is reported once and right,
// whoever dies.

#include "KeyedSite.h"

#include <LibHttp/Client.h>
#include <LibPlatform/Json.h>
#include <algorithm>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <filesystem>
#include <gtest/gtest.h>
#include <map>
#include <thread>

namespace {

using namespace Processes;
using namespace std::chrono_literals;

constexpr char const* keys = R"([{"name":"org-a","api_keys":["secret-a"]},{"name":"org-b","api_keys":["secret-b"]}])";
// As deploy/entry.ini is filled in.
constexpr std::chrono::milliseconds window = 2s;
constexpr std::chrono::milliseconds due = 6s;

class SingletonDuties : public testing::Test, protected KeyedSite {
protected:
    SingletonDuties()
        : KeyedSite(settings())
    {
    }

    void SetUp() override
    {
        ASSERT_TRUE(waitUntilServing());
        setOrganisations(keys);
        configure(2, "app");
        // Until the organisations are known at a daemon its requests count for none.
        for (std::size_t n = 0; n < daemonCount(); ++n)
            ASSERT_TRUE(waitFor([&] { return ask(n, "POST", "/c/1", "keyless-" + std::to_string(++m_sent)).status == 401; }));
    }

    static KeyedSiteSettings settings()
    {
        KeyedSiteSettings settings;
        settings.hasDuties = true;
        return settings;
    }

    bool send(std::size_t daemon, std::string const& key)
    {
        Http::Request request = KeyedSite::request("POST", "/c/1", "duty-" + std::to_string(++m_sent));
        request.fields.add("Api-Key", key);
        if (fetch(front(daemon), request).status != 200)
            return false;
        ++m_served[key == "secret-a" ? "org-a" : "org-b"];
        return true;
    }

    boost::json::array reports() const
    {
        return getObject(dutyService(), "/admin/duties").at("reports").as_array();
    }

    // What is reported in all, each window once. No two reports of one window differ.
    std::map<std::string, std::uint64_t> reported() const
    {
        std::map<std::uint64_t, boost::json::value> counts;
        for (boost::json::value const& it : reports()) {
            std::uint64_t number = it.at("window").to_number<std::uint64_t>();
            std::pair<std::map<std::uint64_t, boost::json::value>::iterator, bool> added = counts.emplace(number, it.at("counts"));
            EXPECT_EQ(added.first->second, it.at("counts")) << "window " << number;
        }
        std::map<std::string, std::uint64_t> sum;
        for (std::pair<std::uint64_t const, boost::json::value> const& it : counts) {
            for (boost::json::key_value_pair const& count : it.second.as_object())
                sum[std::string(count.key())] += count.value().to_number<std::uint64_t>();
        }
        return sum;
    }

    // The daemon that has sent the last report.
    std::size_t holder() const
    {
        boost::json::array all = reports();
        std::string name = all.empty() ? std::string() : std::string(all.back().at("holder").as_string());
        for (std::size_t n = 0; n < daemonCount(); ++n) {
            if (name == daemonName(n))
                return n;
        }
        return daemonCount();
    }

    // How often each daemon has claimed the lease on the duties.
    std::vector<std::size_t> claims() const
    {
        std::vector<std::size_t> counts;
        for (std::size_t n = 0; n < daemonCount(); ++n) {
            std::vector<std::string> lines = logLines(daemonName(n), "lease-gained");
            counts.push_back(static_cast<std::size_t>(std::count_if(lines.begin(), lines.end(), [](std::string const& line) { return line.find("duties") != std::string::npos; })));
        }
        return counts;
    }

    std::size_t countClaimersSince(std::vector<std::size_t> const& before) const
    {
        std::vector<std::size_t> now = claims();
        std::size_t count = 0;
        for (std::size_t n = 0; n < daemonCount(); ++n)
            count += now[n] > before[n] ? 1 : 0;
        return count;
    }

    std::map<std::string, std::uint64_t> m_served;

private:
    std::uint64_t m_sent { 0 };
};

}

// Guards against requests that are reported twice, by two daemons, or not at all.
TEST_F(SingletonDuties, AllThatBeganIsReportedOnce)
{
    for (int n = 0; n < 60; ++n)
        ASSERT_TRUE(send(static_cast<std::size_t>(n) % daemonCount(), n % 3 == 0 ? "secret-b" : "secret-a"));
    EXPECT_TRUE(waitFor([&] { return reported() == m_served; })) << boost::json::serialize(reports());
    std::this_thread::sleep_for(window);
    EXPECT_EQ(reported(), m_served);
}

// Guards against counts that go with the daemon that has them, and against a second, other report by whoever takes over.
TEST_F(SingletonDuties, WhatWasToldOutlivesTheHolder)
{
    ASSERT_TRUE(waitFor([&] { return holder() < daemonCount(); }));
    for (int n = 0; n < 30; ++n)
        ASSERT_TRUE(send(static_cast<std::size_t>(n) % daemonCount(), "secret-a"));
    // What it has counted it has told by then.
    std::this_thread::sleep_for(500ms);
    std::size_t former = holder();
    process(daemonName(former)).kill();
    EXPECT_TRUE(waitFor([&] { return holder() != former && reported() == m_served; })) << boost::json::serialize(reports());
    startDaemon(former);
    std::this_thread::sleep_for(due);
    EXPECT_EQ(reported(), m_served);
}

// Guards against duties that two daemons have in turn when all start together: each takes them before it hears of the other's start.
TEST_F(SingletonDuties, DaemonsThatStartTogetherLeaveTheDutiesToOne)
{
    constexpr int rounds = 4;
    std::vector<std::size_t> before(daemonCount());
    for (int round = 0; round < rounds; ++round) {
        ASSERT_TRUE(waitFor([&] { return countClaimersSince(before) > 0; }));
        std::this_thread::sleep_for(window);
        EXPECT_EQ(countClaimersSince(before), 1U) << "round " << round;
        for (std::size_t n = 0; n < daemonCount(); ++n)
            process(daemonName(n)).kill();
        before = claims();
        for (std::size_t n = 0; n < daemonCount(); ++n)
            startDaemon(n);
    }
}

// Guards against reports that are missed because the service is away for a while or does not answer, and against others in their place.
TEST_F(SingletonDuties, AServiceThatIsAwayOrDoesNotAnswerGetsTheSameReportLater)
{
    post(dutyService(), "/admin/faults", R"({"lose_replies":2})");
    for (int n = 0; n < 30; ++n)
        ASSERT_TRUE(send(static_cast<std::size_t>(n) % daemonCount(), "secret-b"));
    EXPECT_TRUE(waitFor([&] { return reported() == m_served; })) << boost::json::serialize(reports());
    post(dutyService(), "/admin/faults", R"({"down":true})");
    for (int n = 0; n < 30; ++n)
        ASSERT_TRUE(send(static_cast<std::size_t>(n) % daemonCount(), "secret-a"));
    std::this_thread::sleep_for(window + 1s);
    post(dutyService(), "/admin/faults", R"({"down":false})");
    EXPECT_TRUE(waitFor([&] { return reported() == m_served; })) << boost::json::serialize(reports());
}

// Guards against operators who cannot see who reports, and what was reported: by the tool without a token, and in metrics.
TEST_F(SingletonDuties, OperatorsSeeWhatBecameOfThem)
{
    ASSERT_TRUE(waitFor([&] { return holder() < daemonCount(); }));
    std::filesystem::path out = std::filesystem::path(testing::TempDir()) / ("duties-" + std::to_string(front(0).port()));
    for (std::string const& verb : { std::string("duties"), std::string("suspects") }) {
        Process tool({ CURRANTVALE_BINARY_DIR "/currantctl", verb, "--server", Http::toString(operators(holder())) }, out.string(), out.string() + ".err");
        ASSERT_TRUE(waitFor([&] { return tool.status().has_value(); }));
        EXPECT_EQ(tool.status(), 0) << verb;
        EXPECT_EQ(linesWith(out, verb == "duties" ? "holder: " + daemonName(holder()) : "suspects:").size(), 1U);
    }
    std::size_t holders = 0;
    for (std::size_t n = 0; n < daemonCount(); ++n)
        holders += fetch(operators(n), { "GET", "/metrics", {}, {} }).body.find("{of=\"has_duties\"} 1\n") != std::string::npos ? 1 : 0;
    EXPECT_LE(holders, 1U);
    EXPECT_NE(fetch(operators(holder()), { "GET", "/metrics", {}, {} }).body.find("usage_reports_accepted"), std::string::npos);
    std::filesystem::remove(out);
    std::filesystem::remove(out.string() + ".err");
}
