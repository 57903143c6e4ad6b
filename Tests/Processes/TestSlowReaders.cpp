// Callers that do not read for a while, and targets that stand still while a body comes: their hosts acknowledge all the time.

#include "KeyedSite.h"
#include "RawCaller.h"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace {

using namespace Processes;
using namespace std::chrono_literals;

constexpr int smallBuffer = 8'192;
constexpr std::chrono::seconds patience { 5 };

class SlowReaders : public testing::Test {
protected:
    SlowReaders() { EXPECT_TRUE(m_site.waitUntilServing()); }

    // The target's answer holds the body.
    static std::string request(std::string const& id, std::size_t bodySize)
    {
        Http::Request request = KeyedSite::request("POST", "/c/1", id);
        request.body = std::string(bodySize, 'x');
        return RawCaller::bytesOf(request);
    }

    void signalTargets(int signal)
    {
        for (std::string const& name : m_site.targetNames())
            m_site.process(name).send(signal);
    }

    KeyedSite m_site;
};

}

// Guards against answers that are cut because their caller pauses for longer than a silent connection lasts, well within its deadline.
TEST_F(SlowReaders, ACallerThatPausesBeforeItReadsGetsItsWholeAnswer)
{
    constexpr std::chrono::milliseconds pause { 5'000 };
    for (std::size_t size : { std::size_t(200'000), std::size_t(3'500'000) }) {
        RawCaller caller(m_site.front(0), smallBuffer);
        caller.write(request("paused-" + std::to_string(size), size));
        std::this_thread::sleep_for(pause);
        EXPECT_GE(caller.read(size, patience).size(), size);
    }
    EXPECT_TRUE(m_site.logLines(KeyedSite::daemonName(0), "connection-ended-unanswered").empty());
}

// Guards against requests that fail as ones that may have run because their target stands still while it is sent the body.
TEST_F(SlowReaders, ATargetThatStandsStillForAWhileAnswers)
{
    constexpr std::chrono::milliseconds stillTime { 1'500 };
    constexpr std::string_view ok = "HTTP/1.1 200";
    for (std::size_t size : { std::size_t(20'000), std::size_t(200'000), std::size_t(3'500'000) }) {
        std::string id = "late-" + std::to_string(size);
        signalTargets(SIGSTOP);
        RawCaller caller(m_site.front(0));
        caller.write(request(id, size));
        std::this_thread::sleep_for(stillTime);
        signalTargets(SIGCONT);
        EXPECT_EQ(caller.read(size, patience).substr(0, ok.size()), ok) << size << " bytes";
        EXPECT_EQ(m_site.runs(m_site.apps(), id), 1U) << size << " bytes";
        caller.close(RawCaller::Closing::Normal);
    }
}
