// Measures LibPeer against a bare TCP echo in the same run: bench-peer [streams]
#include "Loopback.h"
#include <algorithm>
#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
constexpr std::size_t messageBytes = 256;

double threadSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double p50(std::vector<double>& values)
{
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2), values.end());
    return values[values.size() / 2];
}

/// Round trips of a message over a bare socket, in microseconds.
std::vector<double> measureBareEcho(int rounds)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, PeerTest::anyPort());
    std::thread server([&acceptor] {
        boost::asio::ip::tcp::socket socket = acceptor.accept();
        socket.set_option(boost::asio::ip::tcp::no_delay(true));
        std::array<char, messageBytes> buf {};
        boost::system::error_code ec;
        while (boost::asio::read(socket, boost::asio::buffer(buf), ec) == messageBytes)
            boost::asio::write(socket, boost::asio::buffer(buf), ec);
    });
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(acceptor.local_endpoint());
    socket.set_option(boost::asio::ip::tcp::no_delay(true));
    std::array<char, messageBytes> buf {};
    std::vector<double> times;
    for (int i = 0; i < rounds; ++i) {
        Clock::time_point const start = Clock::now();
        boost::asio::write(socket, boost::asio::buffer(buf));
        boost::asio::read(socket, boost::asio::buffer(buf));
        times.push_back(std::chrono::duration<double, std::micro>(Clock::now() - start).count());
    }
    socket.close();
    server.join();
    return times;
}

struct StreamFigures {
    std::vector<double> times;
    double wallSeconds { 0 };
    double clientSeconds { 0 };
    double serverSeconds { 0 };
};

/// Echoes over LibPeer, `concurrency` at a time; client and server have a thread each.
StreamFigures measureStreams(int rounds, int concurrency)
{
    boost::asio::io_context serverContext;
    std::shared_ptr<Peer::Server> server = Peer::Server::create(serverContext, PeerTest::anyPort(), {}, PeerTest::echo).value();
    StreamFigures figures;
    std::thread thread([&] {
        serverContext.run();
        figures.serverSeconds = threadSeconds();
    });
    boost::asio::io_context context;
    std::shared_ptr<Peer::Client> client = Peer::Client::create(context, server->localEndpoint(), {}).value();
    int opened = 0;
    std::function<void()> const openNext = [&] {
        if (opened == rounds)
            return;
        ++opened;
        Peer::StreamHooks hooks;
        hooks.onEnd = [&, start = Clock::now()](Core::Result<void> const& result) {
            if (result.has_value())
                figures.times.push_back(std::chrono::duration<double, std::micro>(Clock::now() - start).count());
            openNext();
        };
        client->open("/", std::string(messageBytes, 'x'), std::move(hooks));
    };
    Clock::time_point const start = Clock::now();
    double const cpuStart = threadSeconds();
    for (int i = 0; i < concurrency; ++i)
        openNext();
    while (client->openStreams() > 0)
        context.run_one();
    figures.wallSeconds = std::chrono::duration<double>(Clock::now() - start).count();
    figures.clientSeconds = threadSeconds() - cpuStart;
    client.reset();
    context.restart();
    context.run();
    serverContext.stop();
    thread.join();
    return figures;
}

/// Heap bytes for each stream that is open and waits, both ends together.
double measureMemory(int streams)
{
    std::vector<std::shared_ptr<Peer::ServerStream>> held;
    PeerTest::Loopback loopback([&held](Peer::Request const&, std::shared_ptr<Peer::ServerStream> stream) { held.push_back(std::move(stream)); }, {});
    held.reserve(static_cast<std::size_t>(streams));
    std::vector<std::shared_ptr<Peer::ClientStream>> open;
    open.reserve(static_cast<std::size_t>(streams));
    PeerTest::Outcome outcome;
    open.push_back(loopback.client->open("/", "x", outcome.hooks()));
    loopback.runUntil([&] { return held.size() == 1; });
    std::size_t const before = mallinfo2().uordblks;
    while (open.size() < static_cast<std::size_t>(streams))
        open.push_back(loopback.client->open("/", "x", outcome.hooks()));
    loopback.runUntil([&] { return held.size() == open.size(); });
    return static_cast<double>(mallinfo2().uordblks - before) / streams;
}

}

int main(int argc, char** argv)
{
    int const rounds = argc > 1 ? std::atoi(argv[1]) : 200'000;
    std::vector<double> bare = measureBareEcho(rounds / 10);
    StreamFigures single = measureStreams(rounds / 10, 1);
    StreamFigures many = measureStreams(rounds, 256);
    double const bareP50 = p50(bare);
    double const singleP50 = p50(single.times);
    std::printf("bare echo p50 %.1f us, stream p50 %.1f us, added %.1f us\n", bareP50, singleP50, singleP50 - bareP50);
    std::printf("256 at once: %zu of %d streams whole, %.0f streams/s; per core of the client %.0f/s, of the server %.0f/s\n",
        many.times.size(), rounds, rounds / many.wallSeconds, rounds / many.clientSeconds, rounds / many.serverSeconds);
    std::printf("memory for each open stream, both ends: %.0f bytes\n", measureMemory(4000));
}
