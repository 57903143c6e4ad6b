// Daemons that are asked to stop while their callers' requests wait and run.

#include "KeyedSite.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <future>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace Processes;
using namespace std::chrono_literals;

class PlannedStops : public testing::Test {
protected:
    /// Starts a site whose daemons have this long to stop.
    void start(std::chrono::seconds stopWithin)
    {
        KeyedSiteSettings settings;
        settings.stopWithinSeconds = static_cast<int>(stopWithin.count());
        settings.leaveHoldMs = 500;
        m_site.emplace(settings);
        ASSERT_TRUE(m_site->waitUntilServing());
    }

    void makeTargetsWork(std::chrono::milliseconds time)
    {
        for (std::string const& name : m_site->targetNames())
            post(m_site->target(name), "/admin/faults", "{\"work_ms\":" + std::to_string(time.count()) + "}");
    }

    std::optional<KeyedSite> m_site;
};

}

// Guards against requests whose connections end without a word because the time that their daemon has to stop is over.
TEST_F(PlannedStops, RequestsThatAreOpenWhenTheTimeEndsAreAnswered)
{
    constexpr std::size_t callersOfEach = 10;
    start(2s);
    makeTargetsWork(20s);
    std::vector<std::pair<std::string, std::string>> kinds { { "GET", "/s/1" }, { "POST", "/c/1" }, { "POST", "/h/1" } };
    std::vector<std::future<std::uint16_t>> statuses;
    for (std::pair<std::string, std::string> const& kind : kinds) {
        for (std::size_t n = 0; n < callersOfEach; ++n) {
            std::string id = "open" + kind.second.substr(1, 1) + std::to_string(n);
            statuses.push_back(std::async(std::launch::async, [this, kind, id] { return m_site->ask(0, kind.first, kind.second, id).status; }));
        }
    }
    // The routes give them three and six seconds.
    std::this_thread::sleep_for(200ms);
    m_site->process(KeyedSite::daemonName(0)).send(SIGTERM);
    for (std::future<std::uint16_t>& status : statuses)
        EXPECT_GE(status.get(), 500);
    EXPECT_TRUE(waitFor([&] { return m_site->process(KeyedSite::daemonName(0)).status().has_value(); }));
    EXPECT_EQ(m_site->process(KeyedSite::daemonName(0)).status(), 0);
}

// Guards against a daemon that a SIGHUP ends while it starts: here while it reads its settings.
TEST(Start, ASignalToReloadDoesNotEndADaemonThatStarts)
{
    std::filesystem::path folder = std::filesystem::temp_directory_path() / ("currantvale-start-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    std::string settings = folder / "settings.ini";
    ASSERT_EQ(mkfifo(settings.c_str(), 0600), 0);
    {
        Process daemon({ CURRANTVALE_BINARY_DIR "/currantvaled", "--settings", settings }, folder / "out", folder / "log");
        int writer = -1;
        // Succeeds once the daemon has opened the file.
        ASSERT_TRUE(waitFor([&] { return (writer = open(settings.c_str(), O_WRONLY | O_NONBLOCK)) >= 0; }));
        daemon.send(SIGHUP);
        std::this_thread::sleep_for(200ms);
        EXPECT_FALSE(daemon.status().has_value());
        close(writer);
    }
    std::filesystem::remove_all(folder);
}
