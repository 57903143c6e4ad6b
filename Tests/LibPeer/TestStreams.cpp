#include "Loopback.h"
#include <LibPeer/Call.h>
#include <LibPeer/Clients.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <vector>

using PeerTest::Loopback;
using PeerTest::Outcome;

namespace {

std::string patternOf(std::size_t size)
{
    std::string text(size, 0);
    for (std::size_t i = 0; i < size; ++i)
        text[i] = static_cast<char>(i * 31 + i / 4099);
    return text;
}

}

TEST(Streams, ARequestCarriesPathSenderAndBody)
{
    Peer::Request seen;
    Loopback loopback([&seen](Peer::Request request, std::shared_ptr<Peer::ServerStream> const& stream) {
        seen = std::move(request);
        stream->sendHead(207);
        stream->end();
    });
    Outcome outcome;
    loopback.client->open("/forward", "body", outcome.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return outcome.isDone(); }));
    EXPECT_TRUE(outcome.isWhole());
    EXPECT_EQ(outcome.status, 207);
    EXPECT_EQ(seen.path, "/forward");
    EXPECT_EQ(seen.body, "body");
    EXPECT_EQ(seen.senderName, "tanta-entry-1");
    EXPECT_EQ(seen.senderIncarnation, 42U);
}

TEST(Streams, AThousandAtOnceEachGetTheirOwnAnswer)
{
    constexpr std::size_t count = 1000;
    std::vector<std::pair<std::string, std::shared_ptr<Peer::ServerStream>>> held;
    Loopback loopback([&held](Peer::Request request, std::shared_ptr<Peer::ServerStream> stream) {
        held.emplace_back(std::move(request.body), std::move(stream));
        if (held.size() < count)
            return;
        for (std::pair<std::string, std::shared_ptr<Peer::ServerStream>> const& entry : held)
            PeerTest::echo({ {}, {}, 0, entry.first }, entry.second);
    });
    std::vector<Outcome> outcomes(count);
    for (std::size_t i = 0; i < count; ++i)
        loopback.client->open("/", "request " + std::to_string(i), outcomes[i].hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return loopback.client->openStreams() == 0; }));
    for (std::size_t i = 0; i < count; ++i) {
        EXPECT_TRUE(outcomes[i].isWhole());
        EXPECT_EQ(outcomes[i].data, "request " + std::to_string(i));
    }
    EXPECT_EQ(loopback.client->counters().connects, 1U);
}

TEST(Streams, LargeBodiesPassWholeBothWays)
{
    std::string const body = patternOf(16U << 20U);
    Loopback loopback(PeerTest::echo);
    Outcome outcome;
    loopback.client->open("/", body, outcome.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return outcome.isDone(); }));
    EXPECT_TRUE(outcome.isWhole());
    EXPECT_TRUE(outcome.data == body);
}

TEST(Streams, ASlowReaderHoldsBackTheSenderAndLosesNothing)
{
    Peer::Settings const settings = PeerTest::quickSettings();
    std::string const piece = patternOf(8192);
    constexpr int pieces = 400;
    int sent = 0;
    std::size_t mostQueued = 0;
    Loopback loopback([&](Peer::Request const& request, std::shared_ptr<Peer::ServerStream> const& stream) {
        if (request.path == "/other") {
            PeerTest::echo(request, stream);
            return;
        }
        stream->sendHead(200);
        std::function<void()> const fill = [&sent, &mostQueued, &piece, stream = std::weak_ptr<Peer::ServerStream>(stream)] {
            std::shared_ptr<Peer::ServerStream> const open = stream.lock();
            while (sent < pieces && open->send(piece) == Peer::SendOutcome::Queued)
                ++sent;
            mostQueued = std::max(mostQueued, open->queuedBytes());
            if (sent == pieces)
                open->end();
        };
        fill();
        stream->setOnDrained([fill, stream] { fill(); });
    });
    Outcome outcome;
    Peer::StreamHooks hooks = outcome.hooks();
    hooks.isConsumedByHand = true;
    std::shared_ptr<Peer::ClientStream> const stream = loopback.client->open("/", "", std::move(hooks));
    ASSERT_TRUE(loopback.runUntil([&] { return outcome.data.size() == settings.streamWindowBytes; }));
    // The window is used up: other streams pass while this one stands still.
    Outcome other;
    loopback.client->open("/other", "", other.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return other.isDone(); }));
    EXPECT_EQ(outcome.data.size(), settings.streamWindowBytes);
    EXPECT_LT(sent, pieces);
    EXPECT_LE(mostQueued, settings.maxQueuedAnswerBytes);
    std::size_t consumed = 0;
    ASSERT_TRUE(loopback.runUntil([&] {
        stream->consume(outcome.data.size() - consumed);
        consumed = outcome.data.size();
        return outcome.isDone();
    }));
    EXPECT_TRUE(outcome.isWhole());
    ASSERT_EQ(outcome.data.size(), pieces * piece.size());
    for (std::size_t i = 0; i < pieces; ++i)
        EXPECT_EQ(outcome.data.compare(i * piece.size(), piece.size(), piece), 0);
}

TEST(Streams, CancelByTheSenderReachesTheHandlerAndSilencesTheHooks)
{
    bool isCanceled = false;
    std::shared_ptr<Peer::ServerStream> held;
    Loopback loopback([&](Peer::Request const&, std::shared_ptr<Peer::ServerStream> stream) {
        stream->setOnCanceled([&isCanceled] { isCanceled = true; });
        held = std::move(stream);
    });
    Outcome outcome;
    std::shared_ptr<Peer::ClientStream> const stream = loopback.client->open("/", "", outcome.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return held != nullptr; }));
    EXPECT_EQ(stream->cancel(), Core::Verdict::MayHaveRun);
    ASSERT_TRUE(loopback.runUntil([&] { return isCanceled; }));
    EXPECT_FALSE(outcome.isDone());
    EXPECT_FALSE(held->isOpen());
    EXPECT_EQ(held->send("late"), Peer::SendOutcome::Closed);
    EXPECT_EQ(loopback.client->openStreams(), 0U);
}

TEST(Streams, CancelBeforeAnythingWasSentIsNotRun)
{
    Loopback loopback(PeerTest::echo);
    Outcome outcome;
    std::shared_ptr<Peer::ClientStream> const stream = loopback.client->open("/", "", outcome.hooks());
    EXPECT_EQ(stream->cancel(), Core::Verdict::NotRun);
    Outcome other;
    loopback.client->open("/", "", other.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return other.isDone(); }));
    EXPECT_FALSE(outcome.isDone());
}

TEST(Streams, ResetByTheHandlerCarriesItsVerdict)
{
    Loopback loopback([](Peer::Request const& request, std::shared_ptr<Peer::ServerStream> const& stream) {
        if (request.path == "/late")
            stream->sendHead(200);
        if (request.path != "/dropped")
            stream->reset(request.path == "/canceled" ? Peer::ResetCode::Canceled : Peer::ResetCode::Refused);
    });
    Outcome refused;
    Outcome canceled;
    Outcome dropped;
    loopback.client->open("/refused", "", refused.hooks());
    loopback.client->open("/canceled", "", canceled.hooks());
    loopback.client->open("/dropped", "", dropped.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return loopback.client->openStreams() == 0; }));
    EXPECT_EQ(refused.verdict(), Core::Verdict::NotRun);
    EXPECT_EQ(canceled.verdict(), Core::Verdict::MayHaveRun);
    EXPECT_EQ(dropped.verdict(), Core::Verdict::MayHaveRun);
}

TEST(Streams, TooLargeABodyIsRefusedByEitherSideAsNotRun)
{
    Peer::Settings small = PeerTest::quickSettings();
    small.maxRequestBytes = 100'000;
    bool isHandled = false;
    Loopback loopback([&isHandled](Peer::Request const&, std::shared_ptr<Peer::ServerStream> const&) { isHandled = true; }, small);
    std::shared_ptr<Peer::Client> const lax = Peer::Client::create(loopback.context, loopback.server->localEndpoint(), PeerTest::quickSettings()).value();
    Outcome local;
    Outcome remote;
    loopback.client->open("/", std::string(100'001, 'x'), local.hooks());
    lax->open("/", std::string(3'000'000, 'x'), remote.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return local.isDone() && remote.isDone(); }));
    EXPECT_EQ(local.end->error().code, Core::ErrorCode::BadInput);
    EXPECT_EQ(local.verdict(), Core::Verdict::NotRun);
    EXPECT_EQ(remote.verdict(), Core::Verdict::NotRun);
    EXPECT_FALSE(isHandled);
}

TEST(Streams, MoreStreamsThanAllowedAreRefusedAtOnce)
{
    Peer::Settings settings = PeerTest::quickSettings();
    settings.maxOpenStreams = 2;
    Loopback loopback(PeerTest::echo, settings);
    std::vector<Outcome> outcomes(3);
    for (Outcome& outcome : outcomes)
        loopback.client->open("/", "", outcome.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return loopback.client->openStreams() == 0; }));
    EXPECT_TRUE(outcomes[0].isWhole());
    EXPECT_TRUE(outcomes[1].isWhole());
    EXPECT_EQ(outcomes[2].end->error().code, Core::ErrorCode::Overloaded);
}

TEST(Streams, MoreThanTheServerTakesAtOnceWaitAndAllEnd)
{
    Peer::Settings settings = PeerTest::quickSettings();
    settings.maxStreamsPerConnection = 3;
    Loopback loopback(PeerTest::echo, settings);
    std::vector<Outcome> outcomes(50);
    for (Outcome& outcome : outcomes)
        loopback.client->open("/", "x", outcome.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return loopback.client->openStreams() == 0; }));
    for (Outcome const& outcome : outcomes)
        EXPECT_TRUE(outcome.isWhole());
}

TEST(Streams, TheClientMayBeDestroyedInsideAHook)
{
    Loopback loopback(PeerTest::echo);
    bool isDone = false;
    Peer::StreamHooks hooks;
    hooks.onData = [&](std::string_view) {
        loopback.client.reset();
        isDone = true;
    };
    loopback.client->open("/", "x", std::move(hooks));
    Outcome other;
    loopback.client->open("/", std::string(200'000, 'x'), other.hooks());
    ASSERT_TRUE(loopback.runUntil([&] { return isDone && loopback.server->connections() == 0; }));
    EXPECT_FALSE(other.isDone());
}

TEST(Call, CollectsTheReplyAndTimesOutWithAVerdict)
{
    std::vector<std::shared_ptr<Peer::ServerStream>> held;
    Loopback loopback([&held](Peer::Request const& request, std::shared_ptr<Peer::ServerStream> const& stream) {
        if (request.path == "/hang")
            held.push_back(stream);
        else
            PeerTest::echo(request, stream);
    });
    std::optional<Core::Result<Peer::Reply>> good;
    std::optional<Core::Result<Peer::Reply>> late;
    boost::asio::co_spawn(
        loopback.context, [&]() -> boost::asio::awaitable<void> {
            good = co_await Peer::call(*loopback.client, "/", "hello", std::chrono::seconds(60));
            late = co_await Peer::call(*loopback.client, "/hang", "hello", std::chrono::milliseconds(300));
        },
        boost::asio::detached);
    ASSERT_TRUE(loopback.runUntil([&] { return late.has_value(); }));
    ASSERT_TRUE(good->has_value());
    EXPECT_EQ(good->value().body, "hello");
    EXPECT_EQ(late->error().code, Core::ErrorCode::Timeout);
    EXPECT_EQ(late->error().verdict, Core::Verdict::MayHaveRun);
}

TEST(Clients, OneClientForEachAddress)
{
    boost::asio::io_context context;
    std::shared_ptr<Peer::Clients> const clients = Peer::Clients::create(context, PeerTest::quickSettings()).value();
    boost::asio::ip::tcp::endpoint const first(boost::asio::ip::address_v4::loopback(), 1);
    boost::asio::ip::tcp::endpoint const second(boost::asio::ip::address_v4::loopback(), 2);
    EXPECT_EQ(clients->get(first), clients->get(first));
    EXPECT_NE(clients->get(first), clients->get(second));
    clients->retain({ second });
    EXPECT_EQ(clients->size(), 1U);
}

TEST(Settings, AZeroTimeIsRefused)
{
    boost::asio::io_context context;
    Peer::Settings settings = PeerTest::quickSettings();
    settings.heartbeatTimeout = std::chrono::milliseconds(0);
    EXPECT_EQ(Peer::Clients::create(context, settings).error().code, Core::ErrorCode::BadInput);
}
