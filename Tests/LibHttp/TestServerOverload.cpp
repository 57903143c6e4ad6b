// Which connections a server serves first when it has more to do than time.

#include "ServerClosingFixture.h"

namespace {

using namespace ServerClosingTest;

/// A server whose every request takes a while of its thread.
class ServerOverload : public ServerClosing {
protected:
    static constexpr std::chrono::microseconds workTime { 200 };

    Http::Handler working()
    {
        return [this](Http::Request& request, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
            std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + workTime;
            while (std::chrono::steady_clock::now() < end) { }
            if (request.target.starts_with("/new"))
                m_keptBeforeLastNew = m_kept.load();
            else {
                ++m_kept;
                m_openAtLastKept = m_server->openConnections();
            }
            std::ignore = co_await writer.send(Http::Response());
        };
    }

    std::vector<std::unique_ptr<Caller>> newCallers(std::size_t count)
    {
        std::vector<std::unique_ptr<Caller>> callers;
        for (std::size_t n = 0; n < count; ++n) {
            callers.push_back(std::make_unique<Caller>(m_endpoint));
            callers.back()->write(headOf("new-" + std::to_string(n)));
        }
        return callers;
    }

    std::atomic<std::size_t> m_kept { 0 }; ///< Requests of kept connections that were handled.
    std::atomic<std::size_t> m_keptBeforeLastNew { 0 };
    std::atomic<std::size_t> m_openAtLastKept { 0 }; ///< Connections.
};

}

// Guards against connections that wait to be accepted, with a whole request, while those that are open are served again and again.
TEST_F(ServerOverload, NewConnectionsAreServedBesideBusyKeptOnes)
{
    constexpr std::size_t kept = 40;
    constexpr std::size_t requestsOfEach = 200;
    constexpr std::size_t waiting = 100;
    constexpr std::size_t turns = 10; // Of each kept connection, before the last of the new ones has had its first.
    start(working());
    std::vector<std::unique_ptr<Caller>> callers = keptConnections(kept);
    std::string requests;
    for (std::size_t n = 0; n < requestsOfEach; ++n)
        requests += headOf("kept");
    std::vector<std::unique_ptr<Caller>> late;
    std::promise<void> isBusy;
    std::promise<void> mayGoOn;
    post([&] {
        isBusy.set_value();
        mayGoOn.get_future().wait();
        m_kept = 0;
    });
    isBusy.get_future().wait();
    for (std::unique_ptr<Caller> const& caller : callers)
        caller->write(requests);
    late = newCallers(waiting);
    mayGoOn.set_value();
    for (std::unique_ptr<Caller> const& caller : late)
        EXPECT_TRUE(caller->readAnswer());
    EXPECT_LE(m_keptBeforeLastNew, kept * turns);
}

// Guards against kept connections that are not served while many new ones come.
TEST_F(ServerOverload, KeptConnectionsAreServedBesideManyNewOnes)
{
    constexpr std::size_t waiting = 1'000;
    start(working());
    std::vector<std::unique_ptr<Caller>> callers = keptConnections(1);
    std::promise<void> isBusy;
    std::promise<void> mayGoOn;
    post([&] {
        isBusy.set_value();
        mayGoOn.get_future().wait();
        m_kept = 0;
    });
    isBusy.get_future().wait();
    std::vector<std::unique_ptr<Caller>> late = newCallers(waiting);
    callers.front()->write(headOf("kept"));
    mayGoOn.set_value();
    EXPECT_TRUE(callers.front()->readAnswer());
    EXPECT_LT(m_openAtLastKept, waiting / 2);
    for (std::unique_ptr<Caller> const& caller : late)
        EXPECT_TRUE(caller->readAnswer());
}

// Guards against requests whose age is not known, because they waited in the kernel while the server's thread was behind.
TEST_F(ServerOverload, ARequestKnowsHowLongItHasWaitedInTheKernel)
{
    constexpr std::chrono::milliseconds busyTime { 400 };
    constexpr std::chrono::milliseconds tolerance { 50 }; // The kernel's ticks.
    std::atomic<std::int64_t> waited { 0 };
    start([&](Http::Request& request, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        waited = request.waited.count();
        std::ignore = co_await writer.send(Http::Response());
    });
    Caller kept(m_endpoint);
    kept.write(headOf("at-once"));
    EXPECT_TRUE(kept.readAnswer());
    EXPECT_LT(waited, busyTime.count());
    for (bool isKept : { false, true }) {
        keepBusy(busyTime);
        std::optional<Caller> opened;
        Caller& caller = isKept ? kept : opened.emplace(m_endpoint);
        caller.write(headOf("late"));
        EXPECT_TRUE(caller.readAnswer());
        EXPECT_GE(waited, (busyTime - tolerance).count()) << (isKept ? "kept" : "new");
    }
}

// Guards against idle connections that keep new callers out of a listener with few connections, and against closing one that is served.
TEST_F(ServerOverload, TheOldestIdleConnectionYieldsToANewOne)
{
    constexpr std::size_t limit = 8;
    Http::ServerSettings settings;
    settings.connectionLimit = limit;
    settings.whenFull = Http::WhenFull::DropOldest;
    std::promise<void> isServed;
    Asio::steady_timer hold(m_context, Asio::steady_timer::time_point::max());
    start([&](Http::Request& request, Http::ResponseWriter& writer) -> Asio::awaitable<void> {
        boost::system::error_code ec;
        if (request.target == "/held") {
            isServed.set_value();
            co_await hold.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
        }
        std::ignore = co_await writer.send(Http::Response());
    },
        settings);
    Caller held(m_endpoint);
    held.write(headOf("held"));
    isServed.get_future().wait();
    std::vector<std::unique_ptr<Caller>> idle;
    for (std::size_t n = 0; n < 3 * limit; ++n)
        idle.push_back(std::make_unique<Caller>(m_endpoint));
    Caller late(m_endpoint);
    late.write(headOf("late"));
    EXPECT_TRUE(late.readAnswer());
    EXPECT_FALSE(idle.front()->readAnswer());
    EXPECT_LE(countOpen(), limit);
    post([&] { hold.cancel(); });
    EXPECT_TRUE(held.readAnswer());
}
