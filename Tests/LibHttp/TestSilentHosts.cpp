// Hosts that fall silent for a while, as short as one lost probe, and connections that are lost although their host answers.

#include "ServerClosingFixture.h"
#include "SocketPeers.h"

#include <LibHttp/Client.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <list>

namespace {

using namespace ServerClosingTest;

constexpr std::chrono::milliseconds silenceLimit { 300 };
constexpr std::chrono::seconds probeInterval { 1 };
constexpr std::chrono::milliseconds untilSilent { 500 };
constexpr std::chrono::milliseconds silence { 1'300 }; // Several times the limit, and one probe or two.
constexpr std::chrono::milliseconds untilAnswer { 1'500 }; // So that the next probe comes before the answer.
constexpr std::size_t bodyLimit { 1'000 };
constexpr std::string_view okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

Http::SocketLiveness liveness()
{
    return { silenceLimit, probeInterval, 3 };
}

/// Callers of a server whose own host falls silent.
class SilentCallers : public ServerClosing {
protected:
    void startWith(Http::Handler handler)
    {
        Http::ServerSettings settings;
        settings.liveness = liveness();
        start(std::move(handler), settings);
    }
};

/// A target that one coroutine plays, and a client, on one event loop.
class SilentTargets : public testing::Test {
protected:
    SilentTargets()
    {
        Http::ClientSettings settings;
        settings.liveness = liveness();
        settings.connectTimeout = 250ms;
        m_client = Http::Client::create(m_context, settings);
    }

    Asio::awaitable<void> sleep(std::chrono::milliseconds time)
    {
        Asio::steady_timer timer(m_context, time);
        co_await timer.async_wait(Asio::use_awaitable);
    }

    /// Lets the target's host be silent for a while, to new connections too.
    Asio::awaitable<void> beSilent(Tcp::socket& socket, std::chrono::milliseconds time)
    {
        SocketPeers::goSilent(m_acceptor);
        SocketPeers::goSilent(socket);
        co_await sleep(time);
        SocketPeers::hearAgain(socket);
        SocketPeers::hearAgain(m_acceptor);
    }

    Asio::awaitable<void> readBytes(Tcp::socket& socket, std::size_t size)
    {
        std::string bytes;
        while (bytes.size() < size)
            co_await Asio::async_read(socket, Asio::dynamic_buffer(bytes), Asio::transfer_at_least(1), Asio::use_awaitable);
    }

    void play(std::function<Asio::awaitable<void>()> target)
    {
        Asio::co_spawn(m_context, std::move(target), [](std::exception_ptr const&) { });
    }

    /// Sends a request with a body of this size, and returns its response or how it failed.
    Core::Result<Http::Response> fetch(std::size_t bodySize)
    {
        std::optional<Core::Result<Http::Response>> result;
        Asio::co_spawn(
            m_context, [&]() -> Asio::awaitable<void> {
                Http::Request request;
                request.method = "POST";
                request.body = std::string(bodySize, 'x');
                result.emplace(co_await exchange(std::move(request)));
                m_context.stop();
            },
            Asio::detached);
        m_context.run();
        return *result;
    }

    Asio::awaitable<Core::Result<Http::Response>> exchange(Http::Request request)
    {
        Core::Result<std::unique_ptr<Http::Exchange>> connected = co_await m_client->connect(m_endpoint, Http::ConnectionChoice::Kept);
        if (connected.has_error())
            co_return Core::Result<Http::Response>(connected.error());
        connected.value()->setOnSilence(m_onSilence);
        Core::Result<void> started = co_await connected.value()->start(request);
        if (started.has_error())
            co_return Core::Result<Http::Response>(started.error());
        co_return co_await Http::readWhole(*connected.value(), bodyLimit);
    }

    Http::OnSilence m_onSilence { Http::OnSilence::Wait };
    Asio::io_context m_context;
    Tcp::acceptor m_acceptor { m_context, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0) };
    Tcp::endpoint m_endpoint { m_acceptor.local_endpoint() };
    std::unique_ptr<Http::Client> m_client;
};

}

// Guards against requests that fail because one probe of their connection had no answer while the target worked.
TEST_F(SilentTargets, ARequestIsAnsweredWhoseTargetsHostWasSilentWhileItWorked)
{
    play([this]() -> Asio::awaitable<void> {
        Tcp::socket socket = co_await m_acceptor.async_accept(Asio::use_awaitable);
        co_await readBytes(socket, 1);
        co_await sleep(untilSilent);
        co_await beSilent(socket, silence);
        co_await sleep(untilAnswer);
        co_await Asio::async_write(socket, Asio::buffer(okAnswer), Asio::use_awaitable);
    });
    Core::Result<Http::Response> answer = fetch(10);
    ASSERT_TRUE(answer.has_value()) << answer.error().message;
    EXPECT_EQ(answer.value().body, "ok");
}

// Guards against requests that fail because their target's host acknowledged none of their bytes for a second.
TEST_F(SilentTargets, ARequestIsAnsweredWhoseTargetsHostWasSilentWhenItArrived)
{
    constexpr std::size_t bodySize = 4'000'000; // More than the kernel takes at once.
    play([this]() -> Asio::awaitable<void> {
        Tcp::socket socket = co_await m_acceptor.async_accept(Asio::use_awaitable);
        co_await beSilent(socket, silence);
        co_await readBytes(socket, bodySize);
        co_await Asio::async_write(socket, Asio::buffer(okAnswer), Asio::use_awaitable);
    });
    Core::Result<Http::Response> answer = fetch(bodySize);
    ASSERT_TRUE(answer.has_value()) << answer.error().message;
    EXPECT_EQ(answer.value().body, "ok");
}

// Guards against streams that are cut because one probe of their connection had no answer between two events.
TEST_F(SilentTargets, AResponseGoesOnWhoseTargetsHostWasSilentInTheMiddle)
{
    play([this]() -> Asio::awaitable<void> {
        Tcp::socket socket = co_await m_acceptor.async_accept(Asio::use_awaitable);
        co_await readBytes(socket, 1);
        co_await Asio::async_write(socket, Asio::buffer(okAnswer.substr(0, okAnswer.size() - 1)), Asio::use_awaitable);
        co_await sleep(untilSilent);
        co_await beSilent(socket, silence);
        co_await sleep(untilAnswer);
        co_await Asio::async_write(socket, Asio::buffer(okAnswer.substr(okAnswer.size() - 1)), Asio::use_awaitable);
    });
    Core::Result<Http::Response> answer = fetch(10);
    ASSERT_TRUE(answer.has_value()) << answer.error().message;
    EXPECT_EQ(answer.value().body, "ok");
}

// Guards against requests that wait until their deadline on a connection that is lost for good while its target's host answers.
TEST_F(SilentTargets, AConnectionThatIsLostFailsItsRequest)
{
    constexpr std::chrono::seconds bound { 10 }; // Two probes, new connections, and two probes again.
    std::optional<Tcp::socket> socket;
    play([&]() -> Asio::awaitable<void> {
        socket.emplace(co_await m_acceptor.async_accept(Asio::use_awaitable));
        co_await readBytes(*socket, 1);
        SocketPeers::goSilent(*socket);
    });
    std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    Core::Result<Http::Response> answer = fetch(10);
    ASSERT_TRUE(answer.has_error());
    EXPECT_EQ(answer.error().code, Core::ErrorCode::Unavailable);
    EXPECT_EQ(answer.error().verdict, Core::Verdict::MayHaveRun);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, bound);
}

// Guards against requests that wait for a silent host although they may be sent elsewhere.
TEST_F(SilentTargets, ARequestThatMayBeSentElsewhereFailsAfterTheLimit)
{
    constexpr std::chrono::seconds bound { 2 };
    m_onSilence = Http::OnSilence::Fail;
    std::optional<Tcp::socket> socket;
    play([&]() -> Asio::awaitable<void> {
        socket.emplace(co_await m_acceptor.async_accept(Asio::use_awaitable));
        SocketPeers::goSilent(m_acceptor);
        SocketPeers::goSilent(*socket);
    });
    std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    Core::Result<Http::Response> answer = fetch(4'000'000);
    ASSERT_TRUE(answer.has_error());
    EXPECT_EQ(answer.error().verdict, Core::Verdict::MayHaveRun);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, bound);
}

// Guards against requests that are written on a kept connection whose host does not answer its probes.
TEST_F(SilentTargets, AKeptConnectionWithAProbeWithoutAnAnswerIsNotUsed)
{
    std::list<Tcp::socket> sockets;
    play([&]() -> Asio::awaitable<void> {
        while (true) {
            Tcp::socket& socket = sockets.emplace_back(co_await m_acceptor.async_accept(Asio::use_awaitable));
            co_await readBytes(socket, 1);
            co_await Asio::async_write(socket, Asio::buffer(okAnswer), Asio::use_awaitable);
        }
    });
    ASSERT_TRUE(fetch(10).has_value());
    SocketPeers::goSilent(sockets.front());
    m_context.restart();
    m_context.run_for(untilSilent + silence); // One probe, and not yet the end of the connection.
    m_context.restart();
    EXPECT_TRUE(fetch(10).has_value());
    EXPECT_EQ(sockets.size(), 2U);
}

// Guards against callers that lose their answer because one probe of their connection had no answer while they waited.
TEST_F(SilentCallers, ACallerWhoseHostWasSilentWhileItWaitedGetsItsAnswer)
{
    startWith([this](Http::Request&, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        Asio::steady_timer timer(m_context, untilSilent + silence + untilAnswer);
        co_await timer.async_wait(Asio::use_awaitable);
        Http::Response response;
        response.body = "ok";
        std::ignore = co_await writer.send(std::move(response));
    });
    Asio::io_context context;
    Tcp::socket socket(context);
    socket.connect(m_endpoint);
    Asio::write(socket, Asio::buffer(headOf("waiting")));
    std::this_thread::sleep_for(untilSilent);
    SocketPeers::goSilent(socket);
    std::this_thread::sleep_for(silence);
    SocketPeers::hearAgain(socket);
    std::string bytes;
    boost::system::error_code ec;
    Asio::read_until(socket, Asio::dynamic_buffer(bytes), "ok", ec);
    EXPECT_FALSE(ec) << ec.message();
}

// Guards against connections that stay open for their idle time although the host of their caller is gone.
TEST_F(SilentCallers, AnIdleConnectionWhoseCallersHostIsGoneEnds)
{
    constexpr std::chrono::seconds bound { 10 }; // Four probes.
    startWith(answeringLater());
    Asio::io_context context;
    Tcp::socket socket(context);
    socket.connect(m_endpoint);
    Asio::write(socket, Asio::buffer(headOf("first")));
    std::string bytes;
    Asio::read_until(socket, Asio::dynamic_buffer(bytes), "/first");
    SocketPeers::goSilent(socket);
    std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    while (countOpen() > 0 && std::chrono::steady_clock::now() - begin < bound)
        std::this_thread::sleep_for(20ms);
    EXPECT_EQ(countOpen(), 0U);
}
