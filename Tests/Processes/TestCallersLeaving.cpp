// Callers who close their connection while their request waits or runs, on three daemons before four engines and two plain services.

#include "KeyedSite.h"
#include "RawCaller.h"

#include <LibPlatform/Json.h>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace {

using namespace Processes;
using namespace std::chrono_literals;

/// A kind of request, as routes have them.
struct Kind {
    std::string name;
    std::string method;
    std::string path;
};

std::vector<Kind> const kinds { { "safe", "GET", "/s/1" }, { "unsafe", "POST", "/c/1" }, { "stream", "POST", "/h/1" } };

/// What follows a request on its connection before the caller closes it.
std::vector<std::string> const trailers { "", "\r\n", "GET /s/", "GET /s/2 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: pipelined\r\n\r\n" };

constexpr std::array<RawCaller::Closing, 2> closings { RawCaller::Closing::Normal, RawCaller::Closing::Reset };

class CallersLeaving : public testing::Test, protected KeyedSite {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(waitUntilServing());
    }

    std::string bytesOf(Kind const& kind)
    {
        return RawCaller::bytesOf(request(kind.method, kind.path, "leaving-" + std::to_string(++m_sent)));
    }

    std::uint64_t sum(std::string const& field) const
    {
        std::uint64_t sum = 0;
        for (std::string const& name : targetNames())
            sum += Platform::numberOf(getObject(target(name), "/admin/runs"), field);
        return sum;
    }

    void setFault(std::string const& fault)
    {
        for (std::string const& name : targetNames())
            post(target(name), "/admin/faults", fault);
    }

    std::size_t m_sent { 0 };
};

}

// Guards against requests that are sent to targets although their callers had closed the connection before the daemon read them.
TEST_F(CallersLeaving, RequestsOfCallersWhoLeftBeforeTheyWereReadReachNoTarget)
{
    constexpr int callersOfEach = 20;
    std::uint64_t before = sum("arrivals");
    process(daemonName(0)).send(SIGSTOP);
    for (Kind const& kind : kinds) {
        for (RawCaller::Closing closing : closings) {
            for (int n = 0; n < callersOfEach; ++n) {
                RawCaller caller(front(0));
                caller.write(bytesOf(kind));
                caller.close(closing);
            }
        }
    }
    process(daemonName(0)).send(SIGCONT);
    // Those that came before it have been read by then.
    EXPECT_EQ(ask(0, "GET", "/s/1", "after-all").status, 200);
    EXPECT_TRUE(waitFor([&] { return metric(0, R"(currantvale_state{of="open_requests"})") == 0; }));
    EXPECT_EQ(sum("arrivals") - before, 1U);
}

// Guards against targets that go on working because bytes behind the request hide that its caller has closed the connection.
TEST_F(CallersLeaving, BytesBehindARequestDoNotHideThatItsCallerLeft)
{
    constexpr std::chrono::seconds bound = 2s; // The daemon ends the work itself at the timeout of the route, after 3 s.
    setFault(R"({"work_ms":20000})");
    for (Kind const& kind : kinds) {
        for (std::string const& trailer : trailers) {
            for (RawCaller::Closing closing : closings) {
                RawCaller caller(front(0));
                caller.write(bytesOf(kind));
                EXPECT_TRUE(waitFor([&] { return sum("working") == 1; })) << kind.name;
                caller.write(trailer);
                caller.close(closing);
                EXPECT_TRUE(waitFor([&] { return sum("working") == 0; }, bound)) << kind.name << ", behind it \"" << trailer << "\"";
                if (HasFailure())
                    return;
            }
        }
    }
}

// Guards against an output that is made for nobody: the prompt has been computed, and the caller leaves before the first event.
TEST_F(CallersLeaving, ACallerWhoLeavesBeforeTheOutputBeginsEndsItsWork)
{
    constexpr std::chrono::seconds bound = 2s; // The daemon ends the work itself at the request's deadline, after 5 s.
    for (std::string const& name : targetNames()) {
        if (Platform::stringOf(getObject(target(name), "/admin/runs"), "role") == "decode")
            post(target(name), "/admin/faults", R"({"work_ms":20000})");
    }
    for (RawCaller::Closing closing : closings) {
        RawCaller caller(front(0));
        caller.write(bytesOf(kinds[2]));
        ASSERT_TRUE(waitFor([&] { return sum("working") == 1; }));
        std::uint64_t before = sum("abandoned");
        caller.close(closing);
        EXPECT_TRUE(waitFor([&] { return sum("working") == 0; }, bound));
        EXPECT_EQ(sum("abandoned"), before + 1);
    }
}
