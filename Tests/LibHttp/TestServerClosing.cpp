// How a server's connections end: with the stop of the server, with their idle time, and behind a last answer.

#include "ServerClosingFixture.h"

using namespace ServerClosingTest;

// Guards against requests that are handled although the stop of the server has closed their connection.
TEST_F(ServerClosing, NoRequestIsHandledWithoutAnAnswerWhenTheServerStops)
{
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(countUnansweredAroundStop(0), 0U) << "round " << round;
        EXPECT_EQ(countUnansweredAroundStop(100), 0U) << "round " << round << ", the body in a segment of its own";
    }
}

// Guards against last answers that the close of their connection destroys because the caller has sent more than one request.
TEST_F(ServerClosing, BytesBehindARequestDoNotCutTheLastAnswerShort)
{
    constexpr std::size_t answerSize = 60'000;
    constexpr int smallBuffer = 2'048;
    std::vector<std::string> trailers { "", "\r\n", headOf("second") };
    for (std::string const& trailer : trailers) {
        start([](Http::Request&, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
            Http::Response response;
            response.body = std::string(answerSize, 'a');
            std::ignore = co_await writer.send(std::move(response));
        });
        post([this] { m_server->beginDraining(); });
        std::size_t whole = 0;
        for (int n = 0; n < 40; ++n) {
            Caller caller(m_endpoint, smallBuffer);
            caller.write(headOf("first"));
            std::this_thread::sleep_for(1ms);
            caller.write(trailer);
            std::this_thread::sleep_for(5ms);
            whole += caller.readAnswer() ? 1 : 0;
        }
        EXPECT_EQ(whole, 40U) << "behind it: \"" << trailer << "\"";
        end();
    }
}

// Guards against connections that wait to be accepted, with a whole request, and are reset when the server stops.
TEST_F(ServerClosing, ConnectionsThatWaitToBeAcceptedAreAnsweredWhenTheServerStops)
{
    constexpr std::size_t callersOfRound = 50;
    for (int round = 0; round < 5; ++round) {
        start(answeringLater());
        keepBusy(100ms);
        std::vector<std::unique_ptr<Caller>> callers;
        for (std::size_t n = 0; n < callersOfRound; ++n) {
            callers.push_back(std::make_unique<Caller>(m_endpoint));
            callers.back()->write(headOf("new-" + std::to_string(n)));
        }
        post([this] { m_server->stop(); });
        std::size_t answered = 0;
        for (std::unique_ptr<Caller> const& caller : callers)
            answered += caller->readAnswer() ? 1 : 0;
        EXPECT_EQ(answered, callersOfRound);
        end();
    }
}

// Guards against a connection that closes without a word after an answer that promised to keep it.
TEST_F(ServerClosing, AConnectionThatWasPromisedToStayAnswersTheNextRequest)
{
    std::promise<void> hasBegun;
    std::promise<void> mayEnd;
    start([&](Http::Request& request, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        if (request.target == "/second") {
            std::ignore = co_await writer.send(Http::Response());
            co_return;
        }
        EXPECT_TRUE((co_await writer.begin(Http::ResponseHead())).has_value());
        hasBegun.set_value();
        Asio::steady_timer timer(m_context);
        for (std::future<void> end = mayEnd.get_future(); end.wait_for(0s) != std::future_status::ready;) {
            timer.expires_after(1ms);
            co_await timer.async_wait(Asio::use_awaitable);
        }
        EXPECT_TRUE((co_await writer.finish()).has_value());
    });
    Caller caller(m_endpoint);
    caller.write(headOf("first"));
    hasBegun.get_future().wait();
    std::promise<void> isStopped;
    post([&] {
        m_server->stop();
        isStopped.set_value();
    });
    isStopped.get_future().wait();
    mayEnd.set_value();
    ASSERT_TRUE(caller.readUntil("0\r\n\r\n"));
    caller.write(headOf("second"));
    std::optional<std::string> answer = caller.readAnswer();
    ASSERT_TRUE(answer);
    EXPECT_NE(answer->find("Connection: close"), std::string::npos);
}

// Guards against a server that callers keep from ending because they hold idle connections.
TEST_F(ServerClosing, IdleConnectionsEndSoonAfterTheServerStops)
{
    start(answeringLater());
    std::vector<std::unique_ptr<Caller>> callers = keptConnections(20);
    post([this] { m_server->stop(); });
    std::size_t open = callersAtOnce;
    for (int n = 0; n < 500 && open > 0; ++n) {
        open = countOpen();
        std::this_thread::sleep_for(10ms);
    }
    // The callers still hold their side.
    EXPECT_EQ(open, 0U);
    for (std::unique_ptr<Caller> const& caller : callers)
        EXPECT_FALSE(caller->readAnswer());
}

// Guards against a connection that stays open for ever because an empty line came when its idle time was over.
TEST_F(ServerClosing, AnEmptyLineBehindTheIdleTimeDoesNotKeepAConnectionOpen)
{
    Http::ServerSettings settings;
    settings.idleTimeout = 100ms;
    start(answeringLater(), settings);
    std::vector<std::unique_ptr<Caller>> callers = keptConnections(5);
    keepBusy(300ms);
    for (std::unique_ptr<Caller> const& caller : callers)
        caller->write("\r\n");
    std::size_t open = callersAtOnce;
    for (int n = 0; n < 500 && open > 0; ++n) {
        open = countOpen();
        std::this_thread::sleep_for(10ms);
    }
    EXPECT_EQ(open, 0U);
}

// Guards against a request that has arrived before its connection's idle time ends, and is closed with it while the thread is behind.
TEST_F(ServerClosing, ARequestThatArrivedBeforeTheIdleTimeEndedIsAnswered)
{
    Http::ServerSettings settings;
    settings.idleTimeout = 500ms;
    start(answeringLater(), settings);
    for (int round = 0; round < 5; ++round) {
        std::vector<std::unique_ptr<Caller>> callers = keptConnections(20);
        keepBusy(1'000ms);
        for (std::unique_ptr<Caller> const& caller : callers)
            caller->write(headOf("in-time"));
        std::size_t answered = 0;
        for (std::unique_ptr<Caller> const& caller : callers)
            answered += caller->readAnswer() ? 1 : 0;
        EXPECT_EQ(answered, callers.size()) << "round " << round;
    }
}

// Guards against a request that gets no answer because its caller has ended the sending side of the connection (RFC 9112, section 9.6).
TEST_F(ServerClosing, ACallerThatSendsNoMoreStillGetsItsAnswer)
{
    start(answeringLater());
    Caller caller(m_endpoint);
    caller.write(headOf("half-closed"));
    caller.endSending();
    EXPECT_TRUE(caller.readAnswer());
}

// Guards against a connection beyond the limit that is dropped without a word, with the request on it.
TEST_F(ServerClosing, AConnectionBeyondTheLimitIsToldSo)
{
    Http::ServerSettings settings;
    settings.connectionLimit = 2;
    start(answeringLater(), settings);
    std::vector<std::unique_ptr<Caller>> kept = keptConnections(settings.connectionLimit);
    for (std::string const& method : std::vector<std::string> { "POST", "HEAD" }) {
        Caller refused(m_endpoint);
        refused.write(method + " /beyond HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        EXPECT_TRUE(refused.readUntil("HTTP/1.1 503 ")) << method;
        EXPECT_TRUE(refused.readUntil("Connection: close\r\n")) << method;
        EXPECT_EQ(refused.readUntil("this listener has as many connections as it may"), method == "POST") << method;
    }
    for (std::unique_ptr<Caller> const& caller : kept) {
        caller->write(headOf("kept"));
        EXPECT_TRUE(caller->readAnswer());
    }
    end();
    EXPECT_TRUE(m_handled.contains("/kept"));
    EXPECT_FALSE(m_handled.contains("/beyond"));
}

// Guards against refused connections that take the room of others, and against refusals without a bound.
TEST_F(ServerClosing, RefusedConnectionsAreBoundedAndTakeNoRoom)
{
    constexpr std::size_t beyondAllBounds = 600;
    Http::ServerSettings settings;
    settings.connectionLimit = 2;
    std::atomic<std::size_t> dropped { 0 };
    start(answeringLater(), settings);
    post([&] {
        m_server->onConnectionEnd([&](Http::ConnectionEnd const& it) { dropped += it.reason == Http::ConnectionEndReason::ConnectionLimit ? 1 : 0; });
    });
    std::vector<std::unique_ptr<Caller>> kept = keptConnections(settings.connectionLimit);
    std::vector<std::unique_ptr<Caller>> beyond;
    for (std::size_t n = 0; n < beyondAllBounds; ++n)
        beyond.push_back(std::make_unique<Caller>(m_endpoint));
    std::size_t refused = 0;
    for (std::unique_ptr<Caller> const& caller : beyond) {
        caller->write(headOf("beyond"));
        std::optional<std::string> answer = caller->readAnswer();
        refused += answer && answer->starts_with("HTTP/1.1 503 ") ? 1 : 0;
    }
    EXPECT_GT(refused, 0U);
    EXPECT_GT(dropped, 0U);
    EXPECT_EQ(refused + dropped, beyondAllBounds);
    kept.clear();
    bool isServed = false;
    for (int n = 0; n < 500 && !isServed; ++n) {
        Caller caller(m_endpoint);
        caller.write(headOf("room"));
        std::optional<std::string> answer = caller.readAnswer();
        isServed = answer && answer->starts_with("HTTP/1.1 200 ");
        std::this_thread::sleep_for(2ms);
    }
    EXPECT_TRUE(isServed);
    end();
    EXPECT_FALSE(m_handled.contains("/beyond"));
}

// Guards against connections of waiting callers that fail without a trace of how: a reset looks like one that was closed.
TEST_F(ServerClosing, AConnectionThatFailsWhileItsCallerWaitsTellsHow)
{
    std::promise<void> isWaiting;
    std::promise<Http::ConnectionEnd> connectionEnd;
    start([&](Http::Request&, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        Asio::steady_timer timer(m_context, 20s);
        writer.onCallerGone([&timer] { timer.cancel(); });
        isWaiting.set_value();
        boost::system::error_code ec;
        co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
        writer.onCallerGone(nullptr);
    });
    post([&] { m_server->onConnectionEnd([&](Http::ConnectionEnd const& it) { connectionEnd.set_value(it); }); });
    Asio::io_context context;
    Tcp::socket socket(context);
    keepBusy(0ms);
    socket.connect(m_endpoint);
    Asio::write(socket, Asio::buffer(headOf("waiting")));
    isWaiting.get_future().wait();
    socket.set_option(Asio::socket_base::linger(true, 0));
    socket.close();
    std::future<Http::ConnectionEnd> ended = connectionEnd.get_future();
    ASSERT_EQ(ended.wait_for(20s), std::future_status::ready);
    Http::ConnectionEnd end = ended.get();
    EXPECT_EQ(end.reason, Http::ConnectionEndReason::NoAnswer);
    EXPECT_EQ(end.error, Asio::error::connection_reset);
}
