// A server whose requests share a budget of memory, and callers that take it up.

#include "ServerClosingFixture.h"

#include <LibCore/MemoryBudget.h>

namespace {

using namespace ServerClosingTest;

constexpr std::size_t limit = 4'000'000;
constexpr std::size_t largeBody = 1'400'000; ///< Two fit beside the part for small requests, a third does not.

std::string statusLineOf(std::optional<std::string> const& answer)
{
    return answer ? answer->substr(0, answer->find("\r\n")) : "no answer";
}

// The server's thread is not the test's.
class RequestMemory : public testing::Test {
protected:
    RequestMemory()
    {
        Core::MemoryBudget::Settings settings;
        settings.limitBytes = limit;
        m_budget = Core::MemoryBudget::create(settings, [this] { return Core::MemoryBudget::Time(std::chrono::milliseconds(m_milliseconds)); });
        Http::Handler handler = [this](Http::Request& request, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
            m_kept = request;
            std::ignore = co_await writer.send(Http::Response());
        };
        m_server = Http::Server::create(m_context, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0), {}, std::move(handler), rejection).value();
        m_server->limitMemory(m_budget, [this](Http::MemoryRefusal const&) { ++m_refused; });
        m_server->start();
        m_endpoint = Tcp::endpoint(Asio::ip::address_v4::loopback(), m_server->port());
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~RequestMemory() override
    {
        Asio::post(m_context, [this] { m_server.reset(); });
        m_guard.reset();
        Asio::post(m_context, [this] { m_context.stop(); });
        m_thread.join();
    }

    // Of the request that was served last.
    Http::Body keptBody()
    {
        std::promise<Http::Body> body;
        Asio::post(m_context, [&] { body.set_value(m_kept.body); });
        return body.get_future().get();
    }

    // Waits until requests that are not whole hold so much.
    void waitForArriving(std::uint64_t bytes) const
    {
        while (m_budget->usage().arrivingBytes < bytes)
            std::this_thread::sleep_for(1ms);
    }

    Asio::io_context m_context { 1 };
    Asio::executor_work_guard<Asio::io_context::executor_type> m_guard { m_context.get_executor() };
    std::atomic<int> m_milliseconds { 1'000 };
    std::atomic<int> m_refused { 0 };
    std::shared_ptr<Core::MemoryBudget> m_budget;
    std::unique_ptr<Http::Server> m_server;
    Tcp::endpoint m_endpoint;
    Http::Request m_kept; ///< The last one that was served. Of the server's thread.
    std::thread m_thread;
};

}

// Guards against bodies that together hold more than the process may, and against a refusal that says they ran or must not come again.
TEST_F(RequestMemory, ABodyWithoutRoomIsRefusedAtItsHead)
{
    Caller first(m_endpoint);
    Caller second(m_endpoint);
    first.write(headOf("first", largeBody));
    second.write(headOf("second", largeBody));
    waitForArriving(2 * largeBody);
    Caller third(m_endpoint);
    third.write(headOf("third", largeBody));
    EXPECT_EQ(statusLineOf(third.readAnswer()), "HTTP/1.1 503 Service Unavailable");
    EXPECT_EQ(m_refused, 1);
    Caller small(m_endpoint);
    small.write(headOf("small", 4) + "body");
    EXPECT_EQ(statusLineOf(small.readAnswer()), "HTTP/1.1 200 OK");
    first.write(std::string(largeBody, 'x'));
    EXPECT_EQ(statusLineOf(first.readAnswer()), "HTTP/1.1 200 OK");
}

// Guards against bodies that stop short of their end and keep others out for as long as a body may take.
TEST_F(RequestMemory, AStalledBodyMakesRoom)
{
    Caller stalled(m_endpoint);
    Caller second(m_endpoint);
    stalled.write(headOf("stalled", largeBody));
    second.write(headOf("second", largeBody) + std::string(largeBody / 2, 'x'));
    waitForArriving(2 * largeBody);
    m_milliseconds += 1'000;
    Caller third(m_endpoint);
    third.write(headOf("third", largeBody) + std::string(largeBody, 'x'));
    EXPECT_EQ(statusLineOf(third.readAnswer()), "HTTP/1.1 200 OK");
    EXPECT_EQ(statusLineOf(stalled.readAnswer()), "HTTP/1.1 503 Service Unavailable");
    EXPECT_EQ(m_budget->usage().revocations, 1U);
}

// Guards against bodies without a length, whose memory nobody has asked for before it is used.
TEST_F(RequestMemory, AChunkedBodyIsRefusedWhenItOutgrowsTheRoom)
{
    Caller first(m_endpoint);
    Caller second(m_endpoint);
    first.write(headOf("first", largeBody));
    second.write(headOf("second", largeBody));
    waitForArriving(2 * largeBody);
    Caller third(m_endpoint);
    std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    std::string bytes = "POST /third HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t n = 0; n * chunk.size() < largeBody; ++n)
        bytes += chunk;
    third.write(bytes);
    EXPECT_EQ(statusLineOf(third.readAnswer()), "HTTP/1.1 503 Service Unavailable");
}

// Guards against a budget that forgets a body which its request still holds, or counts one that nobody holds any more.
TEST_F(RequestMemory, ABodyCountsAsLongAsItIsShared)
{
    Caller caller(m_endpoint);
    caller.write(headOf("kept", largeBody) + std::string(largeBody, 'x'));
    EXPECT_TRUE(caller.readAnswer().has_value());
    EXPECT_GE(m_budget->usage().wholeBytes, largeBody);
    Http::Body copy = keptBody();
    caller.write(headOf("next", 1) + "x");
    EXPECT_TRUE(caller.readAnswer().has_value());
    EXPECT_GE(m_budget->usage().wholeBytes, largeBody);
    copy = {};
    EXPECT_EQ(m_budget->usage().wholeBytes, 0U);
}
