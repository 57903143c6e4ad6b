#include "Fleet.h"
#include "StreamLoad.h"

#include <LibHttp/Client.h>
#include <LibLoad/AnswerCheck.h>
#include <LibPlatform/Json.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

using namespace Processes;
using Platform::numberOf;

namespace {

constexpr std::string_view prompt = "Is worker 4711 eligible?";
constexpr std::chrono::seconds silenceBound { 60 };

// Streams one answer on the calling thread and stops where the test says so.
struct StreamedAnswer {
    /// Returns false to go away in mid-answer.
    std::function<bool(std::uint64_t tokens)> onTokens;
    std::uint16_t status { 0 };
    bool hasEnded { false }; ///< The body was complete as HTTP frames it.
    Load::Ending ending { Load::Ending::NoAnswer };

    void run(Endpoint const& endpoint, std::uint64_t tokens)
    {
        boost::asio::io_context context(1);
        Http::ClientSettings settings;
        settings.headTimeout = settings.pieceTimeout = silenceBound;
        std::unique_ptr<Http::Client> client = Http::Client::create(context, settings);
        boost::asio::co_spawn(
            context, [&]() -> boost::asio::awaitable<void> {
                co_await receive(*client, endpoint, tokens);
                context.stop();
            },
            boost::asio::detached);
        context.run();
    }

    boost::asio::awaitable<void> receive(Http::Client& client, Endpoint const& endpoint, std::uint64_t tokens)
    {
        boost::json::object body { { "model", modelName }, { "prompt", prompt }, { "max_tokens", tokens }, { "stream", true } };
        Http::Request request { "POST", "/v1/completions", { { "Content-Type", "application/json" } }, boost::json::serialize(body) };
        Core::Result<std::unique_ptr<Http::Exchange>> exchange = co_await client.open(endpoint, std::move(request), Http::ConnectionChoice::Fresh);
        if (exchange.has_error())
            co_return;
        status = exchange.value()->head().status;
        Load::AnswerCheck check(prompt, tokens);
        std::uint64_t received = 0;
        while (true) {
            Core::Result<std::optional<std::string>> piece = co_await exchange.value()->read();
            hasEnded = piece.has_value() && !piece.value();
            if (piece.has_error() || hasEnded)
                break;
            received += check.add(*piece.value());
            if (onTokens && !onTokens(received))
                break;
        }
        ending = check.ending();
    }
};

std::uint64_t running(Fleet const& fleet, std::size_t n)
{
    return numberOf(getObject(fleet.engine(n), "/control/state"), "running");
}

}

TEST(Silence, OfAnEngineInMidStreamGivesNoCutAnswer)
{
    constexpr std::uint64_t tokens = 400;
    FleetSettings settings;
    settings.hasForwarder = true;
    settings.streamTokensPerSecond = 50;
    Fleet fleet(settings);
    StreamedAnswer answer;
    bool isPaused = false;
    answer.onTokens = [&](std::uint64_t received) {
        if (received > 10 && !std::exchange(isPaused, true)) {
            EXPECT_EQ(post(fleet.forwarderAdmin(), "/pause", R"({"direction":"both"})"), 200);
        }
        return true;
    };
    std::chrono::steady_clock::time_point begun = std::chrono::steady_clock::now();
    answer.run(fleet.callers(0), tokens);
    std::chrono::duration<double> time = std::chrono::steady_clock::now() - begun;
    RecordProperty("seconds", std::to_string(time.count()));
    EXPECT_TRUE(isPaused);
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.hasEnded) << "it ends by itself, not by its caller's patience, after " << time.count() << " s";
    EXPECT_EQ(answer.ending, Load::Ending::MayHaveRun) << Core::nameOf(Load::endingNames, answer.ending);
}

TEST(Silence, OfOneConnectionIsResumedOverAnother)
{
    constexpr std::uint64_t tokens = 400;
    FleetSettings settings;
    settings.hasForwarder = true;
    settings.streamTokensPerSecond = 50;
    Fleet fleet(settings);
    StreamedAnswer answer;
    bool isCut = false;
    answer.onTokens = [&](std::uint64_t received) {
        if (received > 10 && !std::exchange(isCut, true)) {
            EXPECT_EQ(post(fleet.forwarderAdmin(), "/cut", "{}"), 200);
        }
        return true;
    };
    answer.run(fleet.callers(0), tokens);
    EXPECT_TRUE(isCut);
    EXPECT_EQ(answer.ending, Load::Ending::Whole) << Core::nameOf(Load::endingNames, answer.ending);
    EXPECT_EQ(numberOf(getObject(fleet.engine(0), "/admin/requests"), "started"), 1U);
}

TEST(Caller, WhoGoesAwayInMidAnswerFreesItsEngine)
{
    // An answer that would take an hour and a half: if nothing runs any more, it was canceled.
    constexpr std::uint64_t tokens = 50'000;
    FleetSettings settings;
    settings.streamTokensPerSecond = 10;
    Fleet fleet(settings);
    std::uint64_t ran = 0;
    StreamedAnswer answer;
    answer.onTokens = [&](std::uint64_t received) {
        for (std::size_t n = 0; received > 5 && n < engineCount; ++n)
            ran += running(fleet, n);
        return ran == 0;
    };
    answer.run(fleet.callers(0), tokens);
    EXPECT_EQ(ran, 1U);
    EXPECT_TRUE(waitFor([&] { return running(fleet, 0) + running(fleet, 1) + running(fleet, 2) == 0; }));
    EXPECT_TRUE(waitFor([&] {
        std::uint64_t inFlight = 0;
        for (std::size_t n = 0; n < engineCount; ++n)
            inFlight += numberOf(fleet.target(0, Fleet::engineName(n)), "in_flight");
        return inFlight == 0;
    }));
}
