#include "Fleet.h"

#include <LibPlatform/Json.h>
#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>
#include <limits>
#include <optional>
#include <string_view>
#include <thread>

using namespace Processes;
using Platform::numberOf;
using Platform::stringOf;

namespace {

boost::json::object lease(Fleet const& fleet, std::size_t n)
{
    boost::json::object now = fleet.status(n);
    boost::json::array const* rows = Platform::arrayOf(now, "leases");
    return rows && !rows->empty() ? rows->front().get_object() : boost::json::object();
}

bool isHolding(Fleet const& fleet, std::size_t n)
{
    return stringOf(lease(fleet, n), "here") == "holding";
}

// Returns the daemon that holds the lease, other than `former`.
std::optional<std::size_t> findHolder(Fleet const& fleet, std::optional<std::size_t> former = std::nullopt)
{
    std::optional<std::size_t> holder;
    waitFor([&] {
        for (std::size_t n = 0; n < daemonCount && !holder; ++n) {
            if (n != former && isHolding(fleet, n))
                holder = n;
        }
        return holder.has_value();
    });
    return holder;
}

// Returns how many engines are blocked for this reason, as a daemon tells.
std::size_t blockedFor(Fleet const& fleet, std::size_t n, std::string_view reason)
{
    boost::json::object now = fleet.status(n);
    boost::json::array const* rows = Platform::arrayOf(now, "blocked");
    return rows ? static_cast<std::size_t>(std::count_if(rows->begin(), rows->end(), [&](boost::json::value const& it) { return stringOf(it.get_object(), "why").starts_with(reason); })) : 0;
}

struct EngineView {
    std::string version;
    std::string phase;
    std::uint64_t changes { 0 };

    bool operator==(EngineView const&) const = default;
};

std::vector<EngineView> engines(Fleet const& fleet)
{
    std::vector<EngineView> views;
    for (std::size_t n = 0; n < engineCount; ++n) {
        boost::json::object state = getObject(fleet.engine(n), "/control/state");
        views.push_back({ stringOf(state, "version"), stringOf(state, "phase"), numberOf(getObject(fleet.engine(n), "/admin/requests"), "changes") });
    }
    return views;
}

std::vector<EngineView> allAt(std::string const& version, std::uint64_t changes)
{
    return std::vector<EngineView>(engineCount, EngineView { version, "serving", changes });
}

std::uint64_t lowestFencing(Fleet const& fleet)
{
    std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
    for (std::size_t n = 0; n < engineCount; ++n)
        lowest = std::min(lowest, numberOf(getObject(fleet.engine(n), "/control/state"), "fencing"));
    return lowest;
}

// A long stream on every engine holds back a change that has begun, so that its holder still has it in hand.
class LongStreams {
public:
    LongStreams(Fleet const& fleet, std::size_t tokens)
    {
        for (std::size_t n = 0; n < engineCount; ++n) {
            m_threads.emplace_back([&fleet, n, tokens] {
                Http::Fields fields { { "Content-Type", "application/json" }, { "X-Request-Id", "long-" + std::to_string(n) } };
                fetch(fleet.engine(n), { "POST", "/v1/completions", fields, R"({"model":"pension-reasoning","prompt":"long","max_tokens":)" + std::to_string(tokens) + "}" });
            });
        }
    }
    ~LongStreams()
    {
        for (std::thread& it : m_threads)
            it.join();
    }

private:
    std::vector<std::thread> m_threads;
};

// 30 s at 100 tokens/s: far longer than until the holder is paused.
constexpr std::size_t longTokens = 3000;
// A change that was held back is tried again after a while, one engine after the other.
constexpr std::chrono::seconds changeBound { 120 };

}

TEST(Lease, WhoseHolderWasPausedOrdersNothingWhenItWakes)
{
    FleetSettings settings;
    settings.streamTokensPerSecond = 100;
    Fleet fleet(settings);
    std::optional<std::size_t> holder = findHolder(fleet);
    ASSERT_TRUE(holder);
    std::size_t other = (*holder + 1) % daemonCount;
    std::uint64_t formerFencing = numberOf(lease(fleet, *holder), "fencing");
    {
        LongStreams streams(fleet, longTokens);
        ASSERT_TRUE(waitFor([&] { return numberOf(getObject(fleet.engine(0), "/control/state"), "running") > 0; }));
        ASSERT_TRUE(fleet.changeVersion(*holder, "2"));
        // It has begun to change one engine, and waits for that one's request.
        ASSERT_TRUE(waitFor([&] { return blockedFor(fleet, *holder, "requests-running") > 0; }));
        fleet.daemon(*holder).send(SIGSTOP);
        ASSERT_TRUE(fleet.changeVersion(other, "3"));
    }
    std::optional<std::size_t> successor = findHolder(fleet, holder);
    ASSERT_TRUE(successor);
    std::uint64_t fencing = numberOf(lease(fleet, *successor), "fencing");
    EXPECT_GT(fencing, formerFencing);
    EXPECT_TRUE(waitFor([&] { return lowestFencing(fleet) == fencing; })) << "all engines refuse the former holder";
    // The paused daemon may still hold requests for the engines, so its successor changes none before it wakes.
    EXPECT_TRUE(waitFor([&] { return blockedFor(fleet, *successor, "routers-unreachable " + Fleet::daemonName(*holder)) > 0; }));
    EXPECT_EQ(engines(fleet), allAt("1", 0));
    fleet.daemon(*holder).send(SIGCONT);
    // An order with the old number would show as version 2, or as one change more.
    EXPECT_TRUE(waitFor([&] { return engines(fleet) == allAt("3", 1); }, changeBound));
    EXPECT_TRUE(waitFor([&] { return stringOf(lease(fleet, *holder), "holder") == Fleet::daemonName(*successor); }));
    EXPECT_FALSE(isHolding(fleet, *holder));
    // Authority works still: a further change goes through, once on each engine.
    ASSERT_TRUE(fleet.changeVersion(*holder, "4"));
    EXPECT_TRUE(waitFor([&] { return engines(fleet) == allAt("4", 2); }, changeBound));
    EXPECT_EQ(fleet.logLines(Fleet::daemonName(*holder), "version=4").size(), 0U);
}

TEST(Lease, WhoseHolderMayWakeHoldsBackOrdersToEnginesThatDoNotCheck)
{
    FleetSettings settings;
    settings.checksFencing = false;
    Fleet fleet(settings);
    std::optional<std::size_t> holder = findHolder(fleet);
    ASSERT_TRUE(holder);
    std::size_t other = (*holder + 1) % daemonCount;
    fleet.daemon(*holder).send(SIGSTOP);
    ASSERT_TRUE(fleet.changeVersion(other, "2"));
    std::optional<std::size_t> successor = findHolder(fleet, holder);
    ASSERT_TRUE(successor);
    EXPECT_TRUE(waitFor([&] { return blockedFor(fleet, *successor, "former-holder") == engineCount; }));
    // Nothing that is seen in many looks may show an order.
    int looks = 0;
    EXPECT_TRUE(waitFor([&] { return ++looks > 100 || engines(fleet) != allAt("1", 0); }));
    EXPECT_EQ(engines(fleet), allAt("1", 0));
    EXPECT_EQ(fleet.logLines(Fleet::daemonName(*successor), "name=order-sent").size(), 0U);
    fleet.daemon(*holder).kill();
    fleet.startDaemon(*holder);
    EXPECT_TRUE(waitFor([&] { return engines(fleet) == allAt("2", 1); }));
}
