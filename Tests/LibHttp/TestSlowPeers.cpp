// Peers whose host acknowledges what arrives while they do not read, and peers whose host has gone silent.

#include "ServerClosingFixture.h"
#include "SocketPeers.h"

#include <LibHttp/Client.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace {

using namespace ServerClosingTest;

constexpr std::chrono::milliseconds silenceLimit { 300 };
constexpr std::chrono::milliseconds pauseOfReader { 2'500 }; // Several times the limit, and behind several window probes.
constexpr int smallBuffer { 8'192 };

Http::Handler answeringWith(std::size_t size)
{
    return [size](Http::Request&, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        Http::Response response;
        response.body = std::string(size, 'a');
        std::ignore = co_await writer.send(std::move(response));
    };
}

class SlowCallers : public ServerClosing {
protected:
    void startWith(Http::Handler handler, Http::ServerSettings settings = {})
    {
        settings.liveness.unacknowledged = silenceLimit;
        start(std::move(handler), settings);
    }
};

/// A peer that takes connections with a small receive buffer, and a client, on one event loop.
class SlowTargets : public testing::Test {
protected:
    SlowTargets()
    {
        m_acceptor.set_option(Asio::socket_base::receive_buffer_size(smallBuffer));
        Http::ClientSettings settings;
        settings.liveness.unacknowledged = silenceLimit;
        settings.writeTimeout = silenceLimit;
        m_client = Http::Client::create(m_context, settings);
    }

    /// Sends a request with a body of this size, and returns its status or how it failed.
    Core::Result<Http::Response> fetch(std::size_t bodySize)
    {
        std::optional<Core::Result<Http::Response>> result;
        Asio::co_spawn(
            m_context, [&]() -> Asio::awaitable<void> {
                Http::Request request;
                request.method = "POST";
                request.body = std::string(bodySize, 'x');
                result.emplace(co_await m_client->fetch(m_endpoint, std::move(request)));
                m_context.stop();
            },
            Asio::detached);
        m_context.run();
        return *result;
    }

    Asio::io_context m_context;
    Tcp::acceptor m_acceptor { m_context, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0) };
    Tcp::endpoint m_endpoint { m_acceptor.local_endpoint() };
    std::unique_ptr<Http::Client> m_client;
};

}

// Guards against answers that a caller loses because it pauses before it reads, although its host acknowledges each window probe.
TEST_F(SlowCallers, ACallerThatPausesBeforeItReadsGetsItsWholeAnswer)
{
    for (std::size_t size : { std::size_t(60'000), std::size_t(300'000), std::size_t(4'000'000) }) {
        startWith(answeringWith(size));
        Caller caller(m_endpoint, smallBuffer);
        caller.write(headOf("slow"));
        std::this_thread::sleep_for(pauseOfReader);
        EXPECT_TRUE(caller.readAnswer()) << size << " bytes";
        end();
    }
}

// Guards against streams that end because their caller pauses in the middle, whose events still fit into the sender's buffer.
TEST_F(SlowCallers, ACallerThatPausesInAStreamGetsAllOfIt)
{
    startWith([this](Http::Request&, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        std::ignore = co_await writer.begin(Http::ResponseHead());
        Asio::steady_timer timer(m_context);
        for (int n = 0; n < 100; ++n) {
            std::ignore = co_await writer.write(std::string(1'000, 'e'));
            timer.expires_after(10ms);
            co_await timer.async_wait(Asio::use_awaitable);
        }
        std::ignore = co_await writer.finish();
    });
    Caller caller(m_endpoint, smallBuffer);
    caller.write(headOf("stream"));
    std::this_thread::sleep_for(pauseOfReader);
    EXPECT_TRUE(caller.readUntil("0\r\n\r\n"));
}

// Guards against connections that stay open although the caller's host has gone silent.
TEST_F(SlowCallers, ACallerWhoseHostGoesSilentIsNoticed)
{
    constexpr std::chrono::seconds bound { 5 };
    startWith([](Http::Request&, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        std::ignore = co_await writer.begin(Http::ResponseHead());
        while (!writer.isCallerGone()) {
            std::ignore = co_await writer.write("event");
            Asio::steady_timer timer(co_await Asio::this_coro::executor, 20ms);
            co_await timer.async_wait(Asio::use_awaitable);
        }
    });
    Tcp::socket socket(m_context);
    socket.connect(m_endpoint);
    Asio::write(socket, Asio::buffer(headOf("stream")));
    std::array<char, 1> byte {};
    Asio::read(socket, Asio::buffer(byte));
    SocketPeers::goSilent(socket);
    std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    while (countOpen() > 0 && std::chrono::steady_clock::now() - begin < bound)
        std::this_thread::sleep_for(20ms);
    EXPECT_EQ(countOpen(), 0U);
    EXPECT_GE(std::chrono::steady_clock::now() - begin, silenceLimit);
}

// Guards against connections that stay open although the host of a caller that does not read has gone silent.
TEST_F(SlowCallers, ACallerThatDoesNotReadAndWhoseHostGoesSilentIsNoticed)
{
    constexpr std::chrono::seconds bound { 10 };
    startWith(answeringWith(4'000'000));
    Tcp::socket socket(m_context);
    socket.open(m_endpoint.protocol());
    socket.set_option(Asio::socket_base::receive_buffer_size(smallBuffer));
    socket.connect(m_endpoint);
    Asio::write(socket, Asio::buffer(headOf("silent")));
    std::this_thread::sleep_for(500ms);
    ASSERT_EQ(countOpen(), 1U);
    SocketPeers::goSilent(socket);
    std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    while (countOpen() > 0 && std::chrono::steady_clock::now() - begin < bound)
        std::this_thread::sleep_for(20ms);
    EXPECT_EQ(countOpen(), 0U);
}

// Guards against an answer that ends with its connection and looks complete although its caller took too long to read it.
TEST_F(SlowCallers, AnAnswerWithoutALengthThatIsGivenUpIsReset)
{
    Http::ServerSettings settings;
    settings.writeTimeout = 500ms;
    startWith([](Http::Request&, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        std::ignore = co_await writer.begin(Http::ResponseHead());
        Core::Result<void> written = co_await writer.write(std::string(8'000'000, 'a'));
        if (written.has_value())
            std::ignore = co_await writer.finish();
    },
        settings);
    Tcp::socket socket(m_context);
    socket.open(m_endpoint.protocol());
    socket.set_option(Asio::socket_base::receive_buffer_size(smallBuffer));
    socket.connect(m_endpoint);
    Asio::write(socket, Asio::buffer(std::string_view("GET /old HTTP/1.0\r\n\r\n")));
    std::this_thread::sleep_for(1'500ms);
    std::string bytes;
    boost::system::error_code ec;
    Asio::read(socket, Asio::dynamic_buffer(bytes), ec);
    EXPECT_LT(bytes.size(), 8'000'000U);
    EXPECT_EQ(ec, Asio::error::connection_reset);
}

// Guards against an answer that ends with its connection and looks complete although its target's host has gone silent.
TEST_F(SlowTargets, AnAnswerWithoutALengthIsNotWholeWhenItsHostGoesSilent)
{
    std::optional<Tcp::socket> socket;
    Asio::co_spawn(
        m_context, [&]() -> Asio::awaitable<void> {
            socket.emplace(co_await m_acceptor.async_accept(Asio::use_awaitable));
            co_await Asio::async_write(*socket, Asio::buffer(std::string_view("HTTP/1.1 200 OK\r\n\r\nthe first part")), Asio::use_awaitable);
            SocketPeers::goSilent(*socket); },
        [](std::exception_ptr const&) {});
    // The rest of the body waits for the target.
    Core::Result<Http::Response> answer = fetch(400'000);
    ASSERT_TRUE(answer.has_error());
    EXPECT_EQ(answer.error().verdict, Core::Verdict::MayHaveRun);
}

// Guards against requests that fail because their target reads the body late, although its host acknowledges each window probe.
TEST_F(SlowTargets, ATargetThatReadsTheBodyLateAnswers)
{
    constexpr std::size_t bodySize = 400'000;
    Asio::co_spawn(
        m_context, [&]() -> Asio::awaitable<void> {
            Tcp::socket socket = co_await m_acceptor.async_accept(Asio::use_awaitable);
            Asio::steady_timer pause(m_context, pauseOfReader);
            co_await pause.async_wait(Asio::use_awaitable);
            std::string bytes;
            while (bytes.size() < bodySize)
                co_await Asio::async_read(socket, Asio::dynamic_buffer(bytes), Asio::transfer_at_least(1), Asio::use_awaitable);
            co_await Asio::async_write(socket, Asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")), Asio::use_awaitable); },
        [](std::exception_ptr const&) {});
    Core::Result<Http::Response> answer = fetch(bodySize);
    ASSERT_TRUE(answer.has_value()) << answer.error().message;
    EXPECT_EQ(answer.value().body, "ok");
}

// Guards against requests that wait for a target whose host has gone silent.
TEST_F(SlowTargets, ATargetWhoseHostGoesSilentFailsTheRequest)
{
    constexpr std::chrono::seconds bound { 5 };
    std::optional<Tcp::socket> socket;
    Asio::co_spawn(
        m_context, [&]() -> Asio::awaitable<void> {
            socket.emplace(co_await m_acceptor.async_accept(Asio::use_awaitable));
            SocketPeers::goSilent(*socket); },
        [](std::exception_ptr const&) {});
    std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    Core::Result<Http::Response> answer = fetch(400'000);
    ASSERT_TRUE(answer.has_error());
    EXPECT_EQ(answer.error().code, Core::ErrorCode::Unavailable);
    EXPECT_EQ(answer.error().verdict, Core::Verdict::MayHaveRun);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, bound);
}
