#include "Forwarder.h"
#include "Loopback.h"
#include <random>
#include <vector>

using PeerTest::Loopback;
using PeerTest::Outcome;

namespace {

/// Keeps the streams that it gets, after answering a head.
struct Holder {
    void operator()(Peer::Request const&, std::shared_ptr<Peer::ServerStream> const& stream)
    {
        stream->sendHead(200);
        stream->send("first piece");
        held->push_back(stream);
    }
    std::shared_ptr<std::vector<std::shared_ptr<Peer::ServerStream>>> held { std::make_shared<std::vector<std::shared_ptr<Peer::ServerStream>>>() };
};

}

TEST(Failures, ARefusedConnectionIsNotRun)
{
    Loopback loopback(PeerTest::echo);
    loopback.server.reset();
    Outcome outcome;
    loopback.client->open("/", "", outcome.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return outcome.isDone(); }));
    EXPECT_EQ(outcome.verdict(), Core::Verdict::NotRun);
    EXPECT_EQ(outcome.end->error().code, Core::ErrorCode::Unavailable);
}

TEST(Failures, AProcessThatAcceptsButNeverAnswersMeansNotRun)
{
    Loopback loopback(PeerTest::echo);
    // The kernel accepts for a paused process.
    boost::asio::ip::tcp::acceptor const paused(loopback.context, PeerTest::anyPort());
    std::shared_ptr<Peer::Client> const client = Peer::Client::create(loopback.context, paused.local_endpoint(), PeerTest::quickSettings()).value();
    Outcome outcome;
    client->open("/", "", outcome.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return outcome.isDone(); }));
    EXPECT_EQ(outcome.verdict(), Core::Verdict::NotRun);
}

TEST(Failures, AServerLostInMidAnswerMeansMayHaveRun)
{
    Holder holder;
    Loopback loopback(holder);
    Outcome outcome;
    loopback.client->open("/", "", outcome.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return !outcome.data.empty(); }));
    loopback.server.reset();
    ASSERT_TRUE(loopback.runUntil([&] { return outcome.isDone(); }));
    EXPECT_EQ(outcome.verdict(), Core::Verdict::MayHaveRun);
}

TEST(Failures, ARequestWhoseEndWasNeverSentIsNotRun)
{
    Peer::Settings settings = PeerTest::quickSettings();
    settings.streamWindowBytes = 1000;
    Loopback loopback(PeerTest::echo, settings);
    PeerTest::Forwarder forwarder(loopback.context, loopback.server->localEndpoint());
    std::shared_ptr<Peer::Client> const client = Peer::Client::create(loopback.context, forwarder.endpoint(), settings).value();
    Outcome warm;
    client->open("/", "", warm.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return warm.isDone(); }));
    forwarder.silence();
    Outcome large;
    Outcome small;
    client->open("/", std::string(100'000, 'x'), large.hooks());
    client->open("/", "", small.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return large.isDone() && small.isDone(); }));
    EXPECT_EQ(large.verdict(), Core::Verdict::NotRun);
    EXPECT_EQ(small.verdict(), Core::Verdict::MayHaveRun);
}

TEST(Failures, ASilentConnectionEndsItsStreamsAndNewOnesUseAnother)
{
    for (bool const isOneWay : { false, true }) {
        Holder holder;
        int canceled = 0;
        Loopback loopback([&](Peer::Request const& request, std::shared_ptr<Peer::ServerStream> const& stream) {
            holder(request, stream);
            stream->setOnCanceled([&canceled] { ++canceled; });
        });
        PeerTest::Forwarder forwarder(loopback.context, loopback.server->localEndpoint());
        std::shared_ptr<Peer::Client> const client = Peer::Client::create(loopback.context, forwarder.endpoint(), PeerTest::quickSettings()).value();
        Outcome outcome;
        client->open("/", "", outcome.hooks());
        ASSERT_TRUE(loopback.runUntil([&] { return !outcome.data.empty(); }));
        forwarder.silence(true, !isOneWay);
        ASSERT_TRUE(loopback.runUntil([&] { return outcome.isDone(); }));
        EXPECT_EQ(outcome.verdict(), Core::Verdict::MayHaveRun);
        // Where only the way to the server is lost, the server may find the silence first, and its closing still
        // reaches the client. Where both ways are lost, only the client itself can have found it.
        bool isFoundByServer = isOneWay && canceled == 1;
        EXPECT_TRUE(client->counters().silences == 1 || isFoundByServer);
        Outcome next;
        client->open("/", "", next.hooks());
        ASSERT_TRUE(loopback.runUntil([&] { return !next.data.empty(); }));
        EXPECT_EQ(forwarder.accepted(), 2);
        EXPECT_FALSE(next.isDone());
        ASSERT_TRUE(loopback.runUntil([&] { return canceled == 1; })); // The server found it, too.
    }
}

TEST(Failures, AnIdleConnectionThatWentSilentCostsNoStream)
{
    Peer::Settings settings = PeerTest::quickSettings();
    settings.heartbeatInterval = std::chrono::milliseconds(1);
    settings.heartbeatTimeout = std::chrono::milliseconds(300);
    Loopback loopback(PeerTest::echo, settings);
    PeerTest::Forwarder forwarder(loopback.context, loopback.server->localEndpoint());
    std::shared_ptr<Peer::Client> const client = Peer::Client::create(loopback.context, forwarder.endpoint(), settings).value();
    Outcome first;
    client->open("/", "", first.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return first.isDone(); }));
    forwarder.silence();
    bool isLater = false;
    boost::asio::steady_timer timer(loopback.context, std::chrono::milliseconds(400)); // Past the freshness of 151 ms.
    timer.async_wait([&isLater](boost::system::error_code) { isLater = true; });
    ASSERT_TRUE(loopback.runUntil([&] { return isLater; }));
    Outcome second;
    client->open("/", "again", second.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return second.isDone(); }));
    EXPECT_TRUE(second.isWhole());
    EXPECT_EQ(second.data, "again");
    EXPECT_EQ(forwarder.accepted(), 2);
}

TEST(Failures, AShutdownEndsWhatHasBegunAndRefusesTheRest)
{
    Holder holder;
    Loopback loopback(holder);
    std::vector<Outcome> begun(20);
    for (Outcome& outcome : begun)
        loopback.client->open("/", "", outcome.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return holder.held->size() == begun.size(); }));
    bool isDown = false;
    loopback.server->shutDown([&isDown] { isDown = true; });
    std::vector<Outcome> late(20);
    for (Outcome& outcome : late)
        loopback.client->open("/", "", outcome.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return loopback.client->openStreams() == begun.size(); }));
    for (Outcome const& outcome : late)
        EXPECT_EQ(outcome.verdict(), Core::Verdict::NotRun);
    EXPECT_EQ(holder.held->size(), begun.size());
    EXPECT_FALSE(isDown);
    for (std::shared_ptr<Peer::ServerStream> const& stream : *holder.held) {
        stream->send(std::string(100'000, 'x'));
        stream->end();
    }
    ASSERT_TRUE(loopback.runUntil([&] { return isDown && loopback.client->openStreams() == 0; }));
    for (Outcome const& outcome : begun) {
        EXPECT_TRUE(outcome.isWhole());
        EXPECT_EQ(outcome.data.size(), 100'011U);
    }
}

TEST(Failures, GarbageEndsOnlyItsOwnConnection)
{
    Loopback loopback(PeerTest::echo);
    std::mt19937_64 random(7);
    std::string const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    for (int i = 0; i < 200; ++i) {
        std::string bytes = i % 2 == 0 ? preface + std::string("\0\0\0\4\0\0\0\0\0", 9) : std::string();
        std::size_t const n = 1 + random() % 400;
        for (std::size_t j = 0; j < n; ++j)
            bytes += static_cast<char>(random());
        boost::asio::ip::tcp::socket socket(loopback.context);
        socket.connect(loopback.server->localEndpoint());
        boost::asio::write(socket, boost::asio::buffer(bytes));
        ASSERT_TRUE(loopback.runUntil([&] { return loopback.server->connections() >= 1; }));
        socket.close();
        ASSERT_TRUE(loopback.runUntil([&] { return loopback.server->connections() == 0; }));
    }
    Outcome outcome;
    loopback.client->open("/", "still here", outcome.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return outcome.isDone(); }));
    EXPECT_EQ(outcome.data, "still here");
}
