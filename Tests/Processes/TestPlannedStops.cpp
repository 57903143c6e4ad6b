// Daemons that are asked to stop while their callers' requests wait and run.

#include "ConnectionLoad.h"
#include "KeyedSite.h"
#include "RawCaller.h"
#include "UnansweredReport.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <future>
#include <gtest/gtest.h>
#include <map>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace Processes;
using namespace std::chrono_literals;

/// Threads that keep cores busy until they are stopped, or this object ends.
class BusyThreads {
public:
    explicit BusyThreads(std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n)
            m_threads.emplace_back([this] { while (!m_isOver) { } });
    }

    ~BusyThreads() { stop(); }
    BusyThreads(BusyThreads const&) = delete;
    BusyThreads& operator=(BusyThreads const&) = delete;

    void stop()
    {
        m_isOver = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

private:
    std::atomic<bool> m_isOver { false };
    std::vector<std::thread> m_threads;
};

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

    /// Asks one daemon after the other to stop, and starts it again, while callers go on using it. Before each stop the
    /// configuration changes and the daemon is told to read its settings. Expects that no request is lost.
    void expectStopsToLoseNothing(ConnectionLoadSettings const& settings, int stops, std::size_t busyThreads)
    {
        constexpr std::chrono::milliseconds bound { 200 }; // For a request that was not passed on.
        start(5s);
        BusyThreads busy(busyThreads);
        ConnectionLoad load(*m_site, settings);
        std::vector<SentSignal> signals;
        for (int n = 0; n < stops; ++n) {
            std::size_t daemon = static_cast<std::size_t>(n) % KeyedSite::daemonCount();
            Process& process = m_site->process(KeyedSite::daemonName(daemon));
            std::this_thread::sleep_for(500ms);
            m_site->configure(static_cast<std::uint64_t>(n) + 2, "app");
            for (int signal : { SIGHUP, SIGTERM }) {
                signals.push_back({ KeyedSite::daemonName(daemon), signal, std::chrono::steady_clock::now() });
                process.send(signal);
            }
            ASSERT_TRUE(waitFor([&] { return process.status().has_value(); }));
            EXPECT_EQ(process.status(), 0);
            m_site->startDaemon(daemon);
            ASSERT_TRUE(waitFor([&] { return m_site->isReady(daemon); }));
        }
        load.stop();
        busy.stop();
        std::vector<Unanswered> unanswered = load.unanswered();
        std::cout << load.sent() << " requests, " << unanswered.size() << " without an answer" << std::endl;
        printReport(unanswered, std::move(signals));
        for (Unanswered const& it : unanswered) {
            std::uint64_t runs = m_site->runs(m_site->apps(), it.id);
            EXPECT_EQ(runs, 0U) << it.id << " ran, and got no answer: " << it.answer.error;
            EXPECT_LE(it.answer.sinceSent(), bound) << it.id << " got no answer: " << it.answer.error;
            if (testing::Test::HasFailure())
                break;
        }
    }

    void printReport(std::vector<Unanswered> const& unanswered, std::vector<SentSignal> signals) const
    {
        constexpr std::size_t mostPrinted = 50;
        UnansweredReport report(*m_site, std::move(signals));
        for (std::size_t n = 0; n < std::min(unanswered.size(), mostPrinted); ++n)
            std::cout << "without an answer: " << report.text(unanswered[n], m_site->runs(m_site->apps(), unanswered[n].id)) << std::endl;
    }

    std::optional<KeyedSite> m_site;
};

}

// Guards against a daemon that does not end in its time, or not cleanly, because a caller takes no more of its answer.
TEST_F(PlannedStops, ACallerWhoReadsNothingDoesNotKeepItsDaemonFromEnding)
{
    // Together more than the sockets' buffers hold.
    constexpr std::size_t answerSize = 3'500 * 1024;
    constexpr int requests = 3;
    start(2s);
    RawCaller caller(m_site->front(0));
    for (int n = 0; n < requests; ++n) {
        Http::Request request = KeyedSite::request("POST", "/c/1", "unread-" + std::to_string(n));
        request.body = std::string(answerSize, 'x');
        caller.write(RawCaller::bytesOf(request));
        ASSERT_TRUE(n + 1 == requests || waitFor([&] { return m_site->runs(m_site->apps(), "unread-" + std::to_string(n)) == 1; }));
    }
    Process& process = m_site->process(KeyedSite::daemonName(0));
    process.send(SIGTERM);
    EXPECT_TRUE(waitFor([&] { return process.status().has_value(); }));
    EXPECT_EQ(process.status(), 0);
    EXPECT_FALSE(m_site->logLines(KeyedSite::daemonName(0), "reason=thread_ended").empty());
}

// Guards against requests of kept connections that end without an answer when their daemon stops, on a busy machine too.
TEST_F(PlannedStops, CallersWhoGoOnUsingADaemonLoseNoRequest)
{
    ConnectionLoadSettings settings;
    settings.callers = 400;
    settings.longestPause = 200ms;
    expectStopsToLoseNothing(settings, 4, 0);
}

TEST_F(PlannedStops, CallersWhoGoOnUsingADaemonLoseNoRequestOnABusyMachine)
{
    ConnectionLoadSettings settings;
    settings.callers = 400;
    settings.longestPause = 100ms;
    expectStopsToLoseNothing(settings, 4, std::thread::hardware_concurrency() + 4);
}

// Guards against requests whose connections end without a word because the time that their daemon has to stop is over.
TEST_F(PlannedStops, RequestsThatAreOpenWhenTheTimeEndsAreAnswered)
{
    constexpr std::size_t callersOfEach = 10;
    start(2s);
    makeTargetsWork(20s);
    std::vector<std::pair<std::string, std::string>> kinds { { "GET", "/s/1" }, { "POST", "/c/1" }, { "POST", "/h/1" } };
    std::map<std::string, std::future<std::uint16_t>> statuses;
    for (std::pair<std::string, std::string> const& kind : kinds) {
        for (std::size_t n = 0; n < callersOfEach; ++n) {
            std::string id = "open" + kind.second.substr(1, 1) + std::to_string(n);
            statuses[id] = std::async(std::launch::async, [this, kind, id] { return m_site->ask(0, kind.first, kind.second, id).status; });
        }
    }
    // The routes give them three and six seconds.
    std::this_thread::sleep_for(200ms);
    m_site->process(KeyedSite::daemonName(0)).send(SIGTERM);
    std::vector<Endpoint> targets = m_site->apps();
    for (Endpoint const& engine : m_site->engines())
        targets.push_back(engine);
    std::size_t ran = 0;
    for (std::pair<std::string const, std::future<std::uint16_t>>& it : statuses) {
        std::uint16_t status = it.second.get();
        bool hasRun = m_site->runs(targets, it.first) > 0;
        ran += hasRun ? 1 : 0;
        EXPECT_TRUE(status == 502 || status == 504 || (status == 503 && !hasRun)) << it.first << " got " << status << (hasRun ? " and ran" : " and did not run");
    }
    EXPECT_GT(ran, 0U);
    EXPECT_TRUE(waitFor([&] { return m_site->process(KeyedSite::daemonName(0)).status().has_value(); }));
    EXPECT_EQ(m_site->process(KeyedSite::daemonName(0)).status(), 0);
}

// Guards against requests that are sent to a target late in a stop, after a wait for a place, and interrupted by the end of the stop.
TEST_F(PlannedStops, RequestsThatWaitForAPlaceAreNotSentWhenTheExitWouldInterruptThem)
{
    constexpr std::size_t requests = 12;
    KeyedSiteSettings settings;
    settings.stopWithinSeconds = 5;
    settings.leaveHoldMs = 1'000;
    settings.isUneven = true; // One place each.
    m_site.emplace(settings);
    ASSERT_TRUE(m_site->waitUntilServing());
    m_site->writeConfiguration(R"({"version":2,"routes":[{"name":"confirm","host":"a.example","path_prefix":"/c/","kind":"unsafe","timeout_ms":15000,"goal_ms":300,"priority":2,"service":"app","max_attempts":2}],"services":[{"name":"app"}]})");
    ASSERT_TRUE(waitFor([&] { return m_site->ask(0, "GET", "/s/1", "gone").status == 404; }));
    makeTargetsWork(2'500ms);
    std::vector<std::future<std::uint16_t>> statuses;
    for (std::size_t n = 0; n < requests; ++n) {
        statuses.push_back(std::async(std::launch::async, [this, n] {
            Http::Request request = KeyedSite::request("POST", "/c/1", "waits-" + std::to_string(n));
            request.fields.set("X-Deadline-Ms", "15000");
            return fetch(m_site->front(0), request).status;
        }));
    }
    std::this_thread::sleep_for(300ms);
    m_site->process(KeyedSite::daemonName(0)).send(SIGTERM);
    std::size_t served = 0;
    for (std::size_t n = 0; n < requests; ++n) {
        std::uint16_t status = statuses[n].get();
        std::uint64_t runs = m_site->runs(m_site->apps(), "waits-" + std::to_string(n));
        served += status == 200 ? 1 : 0;
        EXPECT_TRUE(status == 200 || (status == 503 && runs == 0)) << "waits-" << n << " got " << status << ", runs: " << runs;
    }
    EXPECT_GT(served, 0U);
}

// Guards against a daemon that a SIGHUP ends in the last moments of its stop, so that it seems to have failed.
TEST_F(PlannedStops, ASignalToReloadDoesNotEndADaemonThatEnds)
{
    start(5s);
    for (std::size_t n = 0; n < KeyedSite::daemonCount(); ++n) {
        Process& daemon = m_site->process(KeyedSite::daemonName(n));
        daemon.send(SIGTERM);
        std::optional<int> status;
        std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + 10s;
        while (!status && std::chrono::steady_clock::now() < end) {
            daemon.send(SIGHUP);
            std::this_thread::sleep_for(500us);
            status = daemon.status();
        }
        EXPECT_EQ(status, 0);
    }
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
