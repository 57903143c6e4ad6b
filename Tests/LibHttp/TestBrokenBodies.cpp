// Bodies that end with their connection, while the request is still being written: only the sender's close makes one whole.

#include "ClientConnectionsFixture.h"
#include <boost/asio/steady_timer.hpp>
#include <rapidcheck/gtest.h>

using namespace ClientPeers;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t uploadSize = 8'000'000; ///< More than the kernel takes while the peer does not read.
constexpr std::string_view unframedHead = "HTTP/1.1 200 OK\r\n\r\n";

class BrokenBodies : public ClientConnections {
protected:
    static Asio::awaitable<void> wait(Asio::steady_timer::duration time)
    {
        Asio::steady_timer timer(co_await Asio::this_coro::executor, time);
        co_await timer.async_wait(Asio::use_awaitable);
    }

    static void reset(Tcp::socket& socket)
    {
        socket.set_option(Asio::socket_base::linger(true, 0));
        socket.close();
    }

    Asio::awaitable<Core::Result<Http::Response>> upload(std::size_t size = uploadSize)
    {
        Http::Request request { "POST", "/", {}, std::string(size, 'u') };
        co_return co_await m_client->fetch(m_endpoint, std::move(request));
    }

    void expectBroken()
    {
        run([this]() -> Asio::awaitable<void> {
            Core::Result<Http::Response> response = co_await upload();
            if (response.has_value()) {
                ADD_FAILURE() << "a whole response of " << response.value().body.size() << " bytes";
                co_return;
            }
            EXPECT_EQ(response.error().code, Core::ErrorCode::Unavailable);
            EXPECT_EQ(response.error().verdict, Core::Verdict::MayHaveRun);
        });
    }

    void expectWhole(std::string body)
    {
        run([this, body]() -> Asio::awaitable<void> {
            Core::Result<Http::Response> response = co_await upload();
            if (response.has_error()) {
                ADD_FAILURE() << response.error().message;
                co_return;
            }
            EXPECT_EQ(response.value().body, body);
        });
    }
};

/// What a random peer does while the client writes its request.
struct Course {
    std::size_t uploadSize { 0 };
    std::size_t partSize { 0 };
    int readsBefore { 0 };
    bool isClosed { false }; ///< FIN comes in front of the reset.
    bool isReset { false };
    bool waitsBeforeEnd { false };
    bool waitsBeforeReset { false };

    bool isWhole() const { return isClosed; }
};

std::ostream& operator<<(std::ostream& stream, Course const& course)
{
    return stream << "upload " << course.uploadSize << ", part " << course.partSize << ", reads " << course.readsBefore << ", close " << course.isClosed << ", reset " << course.isReset << ", waits " << course.waitsBeforeEnd << course.waitsBeforeReset;
}

}

// Guards against a part of a body that passes for all of it, because the write took the error of the reset.
TEST_F(BrokenBodies, AResetDuringTheUploadIsNoEndOfTheBody)
{
    serve([](std::shared_ptr<Tcp::socket> socket) -> Asio::awaitable<void> {
        co_await readHead(*socket);
        co_await answer(*socket, std::string(unframedHead) + std::string(20'000, 'p'));
        reset(*socket);
    });
    expectBroken();
}

// Guards against the same where the part was read before the reset came.
TEST_F(BrokenBodies, ALateResetDuringTheUploadIsNoEndOfTheBody)
{
    serve([](std::shared_ptr<Tcp::socket> socket) -> Asio::awaitable<void> {
        co_await readHead(*socket);
        co_await answer(*socket, std::string(unframedHead) + "part");
        co_await wait(50ms);
        reset(*socket);
    });
    expectBroken();
}

// Guards against an early answer that counts as broken because its sender resets what still comes after it has closed.
TEST_F(BrokenBodies, AResetBehindTheSendersCloseLeavesTheBodyWhole)
{
    serve([](std::shared_ptr<Tcp::socket> socket) -> Asio::awaitable<void> {
        co_await readHead(*socket);
        co_await answer(*socket, std::string(unframedHead) + "whole");
        socket->shutdown(Tcp::socket::shutdown_send);
        co_await wait(20ms);
        reset(*socket);
    });
    expectWhole("whole");
}

// Guards against an early answer that is held until the rest of the request is written.
TEST_F(BrokenBodies, ASendersCloseEndsTheBodyWhileTheUploadWaits)
{
    serve([](std::shared_ptr<Tcp::socket> socket) -> Asio::awaitable<void> {
        co_await readHead(*socket);
        co_await answer(*socket, std::string(unframedHead) + "whole");
        socket->shutdown(Tcp::socket::shutdown_send);
        co_await wait(1h);
    });
    expectWhole("whole");
}

// Guards against any order of reads, writes, close and reset in which a part passes for the whole, or the whole for a part.
RC_GTEST_FIXTURE_PROP(BrokenBodies, OnlyTheSendersCloseEndsABody, ())
{
    Course course;
    course.uploadSize = *rc::gen::element<std::size_t>(0, 1'000, 200'000, 3'900'000);
    // A part that fits in the receive window leaves before a reset discards what waits to be sent.
    course.partSize = *rc::gen::element<std::size_t>(0, 1, 500, 20'000);
    course.readsBefore = *rc::gen::inRange(0, 4);
    course.isClosed = *rc::gen::arbitrary<bool>();
    course.isReset = !course.isClosed || *rc::gen::arbitrary<bool>();
    course.waitsBeforeEnd = *rc::gen::arbitrary<bool>();
    course.waitsBeforeReset = *rc::gen::arbitrary<bool>();
    RC_LOG() << course << std::endl;
    std::string part(course.partSize, 'p');
    serve([&course, &part](std::shared_ptr<Tcp::socket> socket) -> Asio::awaitable<void> {
        std::string bytes(16'384, '\0');
        co_await socket->async_read_some(Asio::buffer(bytes), Asio::use_awaitable);
        for (int n = 0; n < course.readsBefore && socket->available() > 0; ++n)
            co_await socket->async_read_some(Asio::buffer(bytes), Asio::use_awaitable);
        co_await answer(*socket, std::string(unframedHead) + part);
        if (course.waitsBeforeEnd)
            co_await wait(2ms);
        if (course.isClosed)
            socket->shutdown(Tcp::socket::shutdown_send);
        if (course.waitsBeforeReset)
            co_await wait(2ms);
        if (course.isReset)
            reset(*socket);
        else
            co_await wait(1h);
    });
    std::optional<Core::Result<Http::Response>> response;
    run([&]() -> Asio::awaitable<void> { response = co_await upload(course.uploadSize); });
    RC_ASSERT((response->has_value() == course.isWhole()));
    if (response->has_value())
        RC_ASSERT((response->value().body == part));
}
