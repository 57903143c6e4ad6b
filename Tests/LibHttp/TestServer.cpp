#include <LibHttp/Client.h>
#include <LibHttp/Server.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

Http::Response rejection(Http::Status status, std::string_view message)
{
    return Http::Response { static_cast<std::uint16_t>(status), {}, std::string(message) };
}

// A server and a client on one io_context, run until a coroutine of the test has ended.
class HttpServer : public testing::Test {
protected:
    Http::Server& start(Http::Handler handler, Http::ServerSettings settings = {})
    {
        m_server = Http::Server::create(m_context, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0), settings, std::move(handler), rejection).value();
        m_server->start();
        m_endpoint = Tcp::endpoint(Asio::ip::address_v4::loopback(), m_server->port());
        return *m_server;
    }

    void run(std::function<Asio::awaitable<void>()> body)
    {
        Asio::co_spawn(m_context, std::move(body), [this](std::exception_ptr const& problem) {
            EXPECT_FALSE(problem);
            m_context.stop();
        });
        m_context.run();
    }

    // Sends raw bytes from a thread of its own and returns all that comes back until the server closes.
    std::string exchangeRaw(std::string const& bytes)
    {
        std::string answer;
        std::thread sender([&] {
            Asio::io_context context;
            Tcp::socket socket(context);
            socket.connect(m_endpoint);
            boost::system::error_code ec;
            Asio::write(socket, Asio::buffer(bytes), ec);
            Asio::read(socket, Asio::dynamic_buffer(answer), ec);
            m_context.stop();
        });
        m_context.run();
        sender.join();
        return answer;
    }

    Asio::io_context m_context;
    std::unique_ptr<Http::Server> m_server;
    std::unique_ptr<Http::Client> m_client { Http::Client::create(m_context, {}) };
    Tcp::endpoint m_endpoint;
};

Http::Response echoOf(Http::Request const& request)
{
    return { 200, { { "X-Method", request.method } }, request.body.text() };
}

Asio::awaitable<void> echo(Http::Request& request, Http::ResponseWriter& writer)
{
    Core::Result<void> sent = co_await writer.send(echoOf(request));
    EXPECT_TRUE(sent.has_value());
}

}

TEST_F(HttpServer, WholeAndKeptConnection)
{
    start(echo);
    run([this]() -> Asio::awaitable<void> {
        Http::Request request { "POST", "/a", {}, std::string(100'000, 'x') };
        for (int n = 0; n < 3; ++n) {
            Core::Result<Http::Response> response = co_await m_client->fetch(m_endpoint, request);
            EXPECT_EQ(response.value().status, 200);
            EXPECT_EQ(response.value().body.size(), 100'000U);
            EXPECT_EQ(response.value().fields.find("x-method"), "POST");
        }
    });
}

TEST_F(HttpServer, StreamArrivesInPieces)
{
    start([](Http::Request&, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        EXPECT_TRUE((co_await writer.begin(Http::ResponseHead())).has_value());
        std::vector<std::string> pieces(3, "piece ");
        for (std::string const& piece : pieces)
            EXPECT_TRUE((co_await writer.write(piece)).has_value());
        EXPECT_TRUE((co_await writer.finish()).has_value());
    });
    run([this]() -> Asio::awaitable<void> {
        Core::Result<Http::Response> response = co_await m_client->fetch(m_endpoint, Http::Request());
        EXPECT_EQ(response.value().body, "piece piece piece ");
    });
}

// Guards against a request that counts as active for ever, so that its server never becomes idle, because its handler has failed.
TEST_F(HttpServer, AHandlerThatThrowsEndsItsRequest)
{
    Http::Server& server = start([](Http::Request& request, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        if (request.target == "/throws")
            throw std::runtime_error("a fault of the handler");
        co_await echo(request, writer);
    });
    run([&]() -> Asio::awaitable<void> {
        Http::Request bad { "GET", "/throws", {}, {} };
        Core::Result<Http::Response> failed = co_await m_client->fetch(m_endpoint, bad);
        EXPECT_TRUE(failed.has_error());
        Core::Result<Http::Response> next = co_await m_client->fetch(m_endpoint, Http::Request());
        EXPECT_EQ(next.value().status, 200);
        EXPECT_EQ(server.activeRequests(), 0U);
    });
}

// Guards against trailers that a target takes for fields of the head, and that end or confuse the connection: RFC 9110, section 6.5.1.
TEST_F(HttpServer, TrailersAreNoFieldsOfTheRequest)
{
    start([](Http::Request& request, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        Http::Response response;
        response.body = "trailed: " + std::string(request.fields.find("X-Trailed").value_or("no"));
        std::ignore = co_await writer.send(std::move(response));
    });
    std::string head = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n";
    std::string body = "\r\n4\r\nbody\r\n0\r\nX-Trailed: yes\r\nHost: b\r\nConnection: close\r\n\r\n";
    std::string answers = exchangeRaw(head + body + head + "Connection: close\r\n" + body);
    EXPECT_EQ(answers.find("trailed: yes"), std::string::npos) << answers;
    std::size_t first = answers.find("trailed: no");
    EXPECT_NE(first, std::string::npos) << answers;
    EXPECT_NE(answers.find("trailed: no", first + 1), std::string::npos) << answers;
}

TEST_F(HttpServer, BrokenStreamIsAnErrorThatMayHaveRun)
{
    start([](Http::Request&, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        EXPECT_TRUE((co_await writer.begin(Http::ResponseHead())).has_value());
        EXPECT_TRUE((co_await writer.write("part")).has_value());
        // Returning without finish() must not look like an end.
    });
    run([this]() -> Asio::awaitable<void> {
        Core::Result<Http::Response> response = co_await m_client->fetch(m_endpoint, Http::Request());
        EXPECT_TRUE(response.has_error());
        EXPECT_EQ(response.error().verdict, Core::Verdict::MayHaveRun);
    });
}

TEST_F(HttpServer, RefusedConnectionDidNotRun)
{
    start(echo);
    m_server->stop();
    run([this]() -> Asio::awaitable<void> {
        Core::Result<Http::Response> response = co_await m_client->fetch(m_endpoint, Http::Request());
        EXPECT_TRUE(response.has_error());
        EXPECT_EQ(response.error().verdict, Core::Verdict::NotRun);
    });
}

TEST_F(HttpServer, CallerThatGoesAwayIsNoticed)
{
    bool isNoticed = false;
    start([&](Http::Request&, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        Asio::steady_timer timer(m_context, std::chrono::hours(1));
        writer.onCallerGone([&] {
            isNoticed = true;
            timer.cancel();
        });
        boost::system::error_code ec;
        co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
        m_context.stop();
    });
    std::thread caller([this] {
        Asio::io_context context;
        Tcp::socket socket(context);
        socket.connect(m_endpoint);
        Asio::write(socket, Asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    });
    m_context.run();
    caller.join();
    EXPECT_TRUE(isNoticed);
}

// Guards against a closed connection that goes unnoticed behind bytes that the caller had sent after its request.
TEST_F(HttpServer, CallerThatGoesAwayIsNoticedBehindPipelinedBytes)
{
    std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    for (std::string const& trailer : { std::string("\r\n"), std::string("GET"), request, std::string(100'000, 'x') }) {
        for (bool isTogether : { true, false }) {
            bool isNoticed = false;
            std::promise<void> isBegun;
            Asio::steady_timer giveUp(m_context, std::chrono::seconds(10));
            giveUp.async_wait([this](boost::system::error_code ec) {
                if (!ec)
                    m_context.stop();
            });
            start([&](Http::Request&, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
                Asio::steady_timer timer(m_context, std::chrono::hours(1));
                writer.onCallerGone([&] {
                    isNoticed = true;
                    timer.cancel();
                });
                isBegun.set_value();
                boost::system::error_code ec;
                co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
                EXPECT_TRUE(writer.isCallerGone());
                writer.abort();
                m_context.stop();
            });
            std::thread caller([&] {
                Asio::io_context context;
                Tcp::socket socket(context);
                socket.connect(m_endpoint);
                Asio::write(socket, Asio::buffer(isTogether ? request + trailer : request));
                isBegun.get_future().wait();
                if (!isTogether)
                    Asio::write(socket, Asio::buffer(trailer));
            });
            m_context.restart();
            m_context.run();
            caller.join();
            EXPECT_TRUE(isNoticed) << trailer.substr(0, 10) << (isTogether ? " with the request" : " after it");
        }
    }
}

// Guards against the close of a second request's caller that is missed because the watch of the first had not ended.
TEST_F(HttpServer, CallerThatGoesAwayIsNoticedDuringAPipelinedRequest)
{
    int served = 0;
    bool isNoticed = false;
    Asio::steady_timer giveUp(m_context, std::chrono::seconds(10));
    giveUp.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            m_context.stop();
    });
    std::promise<void> isSecondBegun;
    start([&](Http::Request&, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        Asio::steady_timer timer(m_context, std::chrono::hours(1));
        writer.onCallerGone([&] {
            isNoticed = true;
            timer.cancel();
        });
        if (++served == 1) {
            EXPECT_TRUE((co_await writer.send(Http::Response())).has_value());
            co_return;
        }
        isSecondBegun.set_value();
        boost::system::error_code ec;
        co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
        m_context.stop();
    });
    std::thread caller([&] {
        Asio::io_context context;
        Tcp::socket socket(context);
        socket.connect(m_endpoint);
        std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        Asio::write(socket, Asio::buffer(request + request));
        isSecondBegun.get_future().wait();
    });
    m_context.run();
    caller.join();
    EXPECT_TRUE(isNoticed);
}

TEST_F(HttpServer, BadInputIsRejected)
{
    struct Case {
        std::string input;
        std::string status;
    };
    std::vector<Case> cases {
        { "GARBAGE\r\n\r\n", "400" },
        { "GET / HTTP/1.1\r\n\r\n", "400" },
        { "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400" },
        { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400" },
        { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400" },
        { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", "400" },
        { "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", "400" },
        { "GET / HTTP/1.1\r\nHost: a\r\nX-A : b\r\n\r\n", "400" },
        { "GET / HTTP/1.1\r\nHost: a\r\nX-A: b\r\n folded\r\n\r\n", "400" },
        { "GET / HTTP/1.1\nHost: a\n\n", "400" },
        { "GET / HTTP/1.1\r\nHost: a\nX-A: b\r\n\r\n", "400" },
        { "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", "400" },
        { "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n", "400" },
        { "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n\r\n", "400" },
        { "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400" },
        { "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n", "400" },
        { "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(20'000, 'x') + "\r\n\r\n", "431" },
        { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'x'), "413" },
        { "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n" + std::string(100, 'x') + "\r\n0\r\n\r\n", "413" },
    };
    Http::ServerSettings settings;
    settings.bodyLimit = 50;
    start(echo, settings);
    for (Case const& it : cases) {
        m_context.restart();
        std::string answer = exchangeRaw(it.input);
        EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 " + it.status) << it.input.substr(0, 80);
    }
}

// Guards against a connection that closes without an answer where the head's limit leaves room for more than a field can hold.
TEST_F(HttpServer, AFieldThatNoMessageCanHoldIsRejected)
{
    Http::ServerSettings settings;
    settings.headLimit = 1'000'000;
    start(echo, settings);
    std::string answer = exchangeRaw("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(70'000, 'x') + "\r\n\r\n");
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 431");
}

// Guards against an answer that is lost for one field that no message can hold.
TEST_F(HttpServer, AFieldOfAnAnswerThatNoMessageCanHoldIsLeftOut)
{
    start([](Http::Request const&, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        Http::Response response = rejection(Http::Status::Ok, "body");
        response.fields.add("X-Long", std::string(70'000, 'x'));
        response.fields.add("X-Split", "a\r\nX-Other: b");
        response.fields.add("X-Kept", "c");
        EXPECT_TRUE((co_await writer.send(response)).has_value());
    });
    run([this]() -> Asio::awaitable<void> {
        Core::Result<Http::Response> response = co_await m_client->fetch(m_endpoint, Http::Request());
        EXPECT_EQ(response.value().body, "body");
        EXPECT_FALSE(response.value().fields.find("X-Long"));
        EXPECT_FALSE(response.value().fields.find("X-Split"));
        EXPECT_FALSE(response.value().fields.find("X-Other"));
        EXPECT_EQ(response.value().fields.find("X-Kept"), "c");
    });
}

// Guards against a caller whose chunk has an extension that does not end and fills the server's memory.
TEST_F(HttpServer, AChunkExtensionWithoutAnEndIsRejected)
{
    start(echo);
    std::string answer = exchangeRaw("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;a=" + std::string(4'000'000, 'x'));
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 400");
}

TEST_F(HttpServer, SlowSenderIsCutOff)
{
    Http::ServerSettings settings;
    settings.headTimeout = std::chrono::milliseconds(50);
    start(echo, settings);
    EXPECT_EQ(exchangeRaw("GET / HTTP/1.1\r\nHo").substr(0, 12), "HTTP/1.1 408");
}

// Guards against connections whose end leaves no trace although a request on them got no answer.
TEST_F(HttpServer, AnEndWithoutAnAnswerIsReportedWithItsReason)
{
    struct Case {
        std::string input;
        Http::ConnectionEndReason reason;
        bool isUnanswered;
    };
    std::vector<Case> cases {
        { "GET /abandoned HTTP/1.1\r\nHost: a\r\n\r\n", Http::ConnectionEndReason::NoAnswer, true },
        { "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", Http::ConnectionEndReason::LastAnswer, false },
        { "GET /\r\n\r\n", Http::ConnectionEndReason::Rejected, false },
    };
    for (Case const& it : cases) {
        std::vector<Http::ConnectionEnd> ends;
        start([](Http::Request& request, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
            if (request.target != "/abandoned")
                std::ignore = co_await writer.send(Http::Response());
        });
        m_server->onConnectionEnd([&](Http::ConnectionEnd const& end) { ends.push_back(end); });
        m_context.restart();
        exchangeRaw(it.input);
        // The server may still wait for the caller's end of the connection.
        m_context.restart();
        while (ends.empty() && m_context.run_one_for(std::chrono::seconds(5)) > 0) { }
        ASSERT_EQ(ends.size(), 1U) << it.input;
        EXPECT_EQ(ends.front().reason, it.reason) << it.input;
        EXPECT_EQ(ends.front().isUnanswered(), it.isUnanswered) << it.input;
    }
}
