// Answers that callers have not read yet, bounded in bytes over a daemon: who is cut off when there is no room left, and who is not.

#include <LibDaemon/AnswerRoom.h>
#include <LibDaemon/AnswerSinks.h>
#include <LibHttp/Server.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace {

using namespace std::chrono_literals;
using Daemon::AnswerRoom;
namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

constexpr std::size_t pieceSize = 256U * 1024;
constexpr int pieces = 24; ///< More than a connection takes into its buffers, which may be 4 MiB.
constexpr std::uint64_t roomBytes = 8 * pieceSize;
constexpr std::size_t slowReaders = 60;

AnswerRoom::Time at(int milliseconds)
{
    return AnswerRoom::Time(1s) + std::chrono::milliseconds(milliseconds);
}

// A server whose answers take more than the connections' buffers, and callers on the same thread.
class SlowReaders : public testing::Test {
protected:
    SlowReaders()
        : m_server(Http::Server::create(
              m_context, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0), {}, [this](Http::Request&, Http::ResponseWriter& writer) { return answer(writer); }, [](Http::Status status, std::string_view message) { return Http::Response { static_cast<std::uint16_t>(status), {}, std::string(message) }; })
                  .value())
    {
        m_server->start();
    }

    Asio::awaitable<void> answer(Http::ResponseWriter& writer)
    {
        Daemon::CallerSink sink(writer, m_protocol, "request", true);
        sink.limitBy(m_room, m_context.get_executor(), [this] { ++m_cuts; });
        Http::ResponseHead head { 200, { { "Content-Type", "application/octet-stream" } } };
        co_await sink.head(std::move(head));
        for (int n = 0; n < pieces && !sink.isAbandoned(); ++n) {
            std::string bytes(pieceSize, 'x');
            co_await sink.piece(static_cast<std::uint64_t>(n), std::move(bytes));
            m_mostHeld = std::max(m_mostHeld, m_room.heldBytes());
        }
        if (!sink.isAbandoned())
            co_await sink.finish({});
    }

    Asio::awaitable<std::unique_ptr<Tcp::socket>> ask(std::string version)
    {
        std::unique_ptr<Tcp::socket> socket = std::make_unique<Tcp::socket>(m_context, Tcp::v4());
        constexpr int receiveBuffer = 4'096;
        socket->set_option(Asio::socket_base::receive_buffer_size(receiveBuffer));
        Tcp::endpoint server(Asio::ip::address_v4::loopback(), m_server->port());
        co_await socket->async_connect(server, Asio::use_awaitable);
        std::string request = "GET / " + version + "\r\nHost: a\r\nConnection: close\r\n\r\n";
        co_await Asio::async_write(*socket, Asio::buffer(request), Asio::use_awaitable);
        co_return socket;
    }

    // Returns all that comes until the connection ends, and how it ends.
    static Asio::awaitable<std::pair<std::string, boost::system::error_code>> readAll(Tcp::socket& socket)
    {
        std::pair<std::string, boost::system::error_code> result;
        co_await Asio::async_read(socket, Asio::dynamic_buffer(result.first), Asio::redirect_error(Asio::use_awaitable, result.second));
        co_return result;
    }

    Asio::awaitable<void> wait(std::chrono::milliseconds time)
    {
        Asio::steady_timer timer(m_context, time);
        co_await timer.async_wait(Asio::use_awaitable);
    }

    void run(std::function<Asio::awaitable<void>()> body)
    {
        Asio::co_spawn(m_context, std::move(body), [this](std::exception_ptr const& problem) {
            EXPECT_FALSE(problem);
            m_context.stop();
        });
        m_context.run_for(60s);
    }

    AnswerRoom m_room { roomBytes }; ///< Outlives what the event loop holds.
    Asio::io_context m_context;
    Daemon::CallerProtocol m_protocol { Daemon::ownCallerProtocol() };
    std::unique_ptr<Http::Server> m_server;
    std::uint64_t m_mostHeld { 0 };
    std::size_t m_cuts { 0 };
};

}

TEST(AnswerRoom, CutsTheOneThatHasReadNothingForLongest)
{
    AnswerRoom room(100);
    std::vector<int> cut;
    std::vector<std::unique_ptr<AnswerRoom::Share>> shares;
    for (int n = 0; n < 4; ++n)
        shares.push_back(room.add([&cut, n](std::uint64_t) { cut.push_back(n); }));
    shares[0]->hold(40, at(30));
    shares[1]->hold(40, at(10));
    shares[2]->hold(20, AnswerRoom::Time());
    EXPECT_TRUE(cut.empty());
    shares[3]->hold(30, at(40));
    EXPECT_EQ(cut, (std::vector<int> { 1 })) << "no more than needed";
    EXPECT_TRUE(shares[1]->isCut());
    EXPECT_EQ(room.heldBytes(), 90U);
    shares[1]->hold(500, at(1));
    EXPECT_EQ(room.heldBytes(), 90U) << "what is cut counts no more";
    shares[0].reset();
    EXPECT_EQ(room.heldBytes(), 50U);
}

RC_GTEST_PROP(AnswerRoom, HoldsNoMoreThanItsLimitWhileAnyCallerIsWaitedFor, ())
{
    std::uint64_t limit = *rc::gen::inRange<std::uint64_t>(1, 2'000);
    AnswerRoom room(limit);
    std::vector<std::unique_ptr<AnswerRoom::Share>> shares;
    std::vector<AnswerRoom::Time> waiting(20);
    std::size_t cuts = 0;
    for (std::size_t n = 0; n < waiting.size(); ++n)
        shares.push_back(room.add([&cuts](std::uint64_t) { ++cuts; }));
    for (int step = 0; step < 200; ++step) {
        std::size_t n = *rc::gen::inRange<std::size_t>(0, waiting.size());
        waiting[n] = *rc::gen::arbitrary<bool>() ? at(step) : AnswerRoom::Time();
        shares[n]->hold(*rc::gen::inRange<std::uint64_t>(1, 300), waiting[n]);
        bool isAnyWaiting = false;
        for (std::size_t it = 0; it < waiting.size(); ++it)
            isAnyWaiting = isAnyWaiting || (waiting[it] != AnswerRoom::Time() && !shares[it]->isCut());
        RC_ASSERT(!isAnyWaiting || room.heldBytes() <= limit);
    }
    RC_ASSERT(cuts == room.cutCount());
    shares.clear();
    RC_ASSERT(room.heldBytes() == 0U);
}

// Many callers that read nothing: the first are cut off so that nobody takes their answers for whole, the bytes held stay
// bounded, and a caller that reads gets its answer, also one of the slow that reads on.
TEST_F(SlowReaders, AreCutOffSlowestFirstAndTheOthersAreServed)
{
    run([this]() -> Asio::awaitable<void> {
        std::vector<std::unique_ptr<Tcp::socket>> slow;
        for (std::size_t n = 0; n < slowReaders; ++n) {
            std::string version = n % 2 == 0 ? "HTTP/1.1" : "HTTP/1.0";
            slow.push_back(co_await ask(version));
        }
        co_await wait(500ms);
        EXPECT_GE(m_cuts, slowReaders - roomBytes / pieceSize);
        EXPECT_LT(m_cuts, slowReaders) << "no more than needed";
        EXPECT_LE(m_mostHeld, roomBytes + 2 * pieceSize);
        std::unique_ptr<Tcp::socket> reader = co_await ask("HTTP/1.1");
        std::pair<std::string, boost::system::error_code> whole = co_await readAll(*reader);
        EXPECT_EQ(whole.second, Asio::error::eof);
        EXPECT_GE(whole.first.size(), pieces * pieceSize);
        EXPECT_TRUE(whole.first.ends_with("0\r\n\r\n"));
        for (std::size_t n : { std::size_t { 0 }, std::size_t { 1 } }) {
            std::pair<std::string, boost::system::error_code> broken = co_await readAll(*slow[n]);
            EXPECT_EQ(broken.second, Asio::error::connection_reset) << n;
            EXPECT_LT(broken.first.size(), pieces * pieceSize);
        }
        std::pair<std::string, boost::system::error_code> late = co_await readAll(*slow.back());
        EXPECT_EQ(late.second, Asio::error::eof);
        EXPECT_GE(late.first.size(), pieces * pieceSize);
    });
}
