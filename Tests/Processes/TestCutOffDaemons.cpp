// Daemons that cannot connect to any target, while callers, the store and their peers reach them.

#include "KeyedSite.h"

#include <csignal>
#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <thread>

namespace {

using namespace Processes;
using namespace std::chrono_literals;

/// The method and path of a safe and an unsafe request and of a stream.
std::vector<std::pair<std::string, std::string>> const kinds { { "GET", "/s/1" }, { "POST", "/c/1" }, { "POST", "/h/1" } };

class CutOffDaemons : public testing::Test, protected KeyedSite {
protected:
    void SetUp() override { ASSERT_TRUE(waitUntilServing()); }

    void cutOff(std::vector<std::size_t> const& daemons)
    {
        for (std::size_t daemon : daemons)
            restart(daemon, true);
    }

    void restart(std::size_t daemon, bool isCutOff)
    {
        process(daemonName(daemon)).send(SIGKILL);
        ASSERT_TRUE(waitFor([&] { return process(daemonName(daemon)).status().has_value(); }));
        setCutOff(daemon, isCutOff);
        startDaemon(daemon);
        ASSERT_TRUE(waitFor([&] { return isReady(daemon); }));
    }

    /// Asks all daemons side by side for so long. Returns how many requests each answered with success, of those that it was sent.
    std::map<std::size_t, std::pair<int, int>> askFor(std::chrono::seconds time, std::string const& prefix)
    {
        std::map<std::size_t, std::pair<int, int>> served;
        std::mutex mutex;
        std::vector<std::thread> callers;
        for (std::size_t daemon = 0; daemon < daemonCount(); ++daemon) {
            callers.emplace_back([&, daemon] {
                std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + time;
                for (std::size_t n = 0; std::chrono::steady_clock::now() < end; ++n) {
                    std::pair<std::string, std::string> const& kind = kinds[n % kinds.size()];
                    std::string id = prefix + "-" + std::to_string(n) + "-" + std::to_string(daemon);
                    bool isServed = ask(daemon, kind.first, kind.second, id).status == 200;
                    std::lock_guard lock(mutex);
                    served[daemon].first += isServed ? 1 : 0;
                    ++served[daemon].second;
                    if (kind.second.starts_with("/c/"))
                        m_unsafe[id] = isServed;
                }
            });
        }
        for (std::thread& caller : callers)
            caller.join();
        return served;
    }

    /// Expects that callers of all daemons are served nearly always, and no request ran more often than it may have.
    void expectAllServed(std::string const& prefix)
    {
        constexpr double leastServed = 0.9;
        std::ignore = askFor(3s, prefix + "-early");
        std::map<std::size_t, std::pair<int, int>> served = askFor(4s, prefix);
        for (std::pair<std::size_t const, std::pair<int, int>> const& it : served) {
            EXPECT_GE(it.second.first, leastServed * it.second.second) << daemonName(it.first) << " served " << it.second.first << " of " << it.second.second;
        }
        for (std::pair<std::string const, bool> const& it : m_unsafe) {
            std::uint64_t ran = runs(apps(), it.first);
            EXPECT_LE(ran, 1U) << it.first;
            EXPECT_TRUE(!it.second || ran == 1) << it.first << " was answered, and ran " << ran << " times";
        }
    }

    std::map<std::string, bool> m_unsafe; ///< Unsafe requests by id, and whether they were answered with success.
};

}

// Guards against a daemon that serves none of its callers because it reaches no target itself.
TEST_F(CutOffDaemons, OneServesItsCallersLikeTheOthers)
{
    cutOff({ 2 });
    expectAllServed("one");
}

// Guards against daemons that are cut off and have the targets closed for those that are not.
TEST_F(CutOffDaemons, MostOfThemTakeNoTargetFromTheRest)
{
    cutOff({ 1, 2 });
    expectAllServed("two");
}
