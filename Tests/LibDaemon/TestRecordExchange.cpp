#include <LibDaemon/RecordCompression.h>
#include <LibDaemon/RecordExchange.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace {

using Daemon::RecordExchange;
using Daemon::RecordsAnswer;
using Daemon::RecordsRequest;
using Extract = Fleet::StoreReplica::Extract;
using Tcp = boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::chrono::milliseconds askTimeout { 2'000 };

Tcp::endpoint freeEndpoint(boost::asio::io_context& context)
{
    Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint();
}

// Text that compresses about as well as routes do: few words, many different ids.
std::string routes(std::size_t count, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::string text;
    for (std::size_t n = 0; n < count; ++n)
        text += "{\"host\":\"a.example\",\"path_prefix\":\"/" + std::to_string(random()) + "/\",\"service\":\"clerk\",\"timeout_ms\":4000}";
    return text;
}

// A daemon that knows one record, and others that ask it.
struct Exchanges {
    explicit Exchanges(Fleet::RecordUploadSettings const& uploads, std::string value)
        : known(std::move(value))
        , address(freeEndpoint(context))
    {
        RecordExchange::Hooks hooks;
        hooks.answer = [this](RecordsRequest const&) -> Core::Result<RecordsAnswer> { return RecordsAnswer { { { { 12, "config", known } }, 13, false }, 5ms }; };
        hooks.findVersion = [this](Platform::StoreTopic, std::uint64_t offset) { return offset == 11 ? &former : nullptr; };
        teller = RecordExchange::create(context, address, settingsOf("teller"), uploads, hooks).value();
    }

    static Peer::Settings settingsOf(std::string name)
    {
        Peer::Settings settings;
        settings.senderName = std::move(name);
        return settings;
    }

    void ask(std::string const& name, RecordsRequest request, std::string base, std::function<void(Core::Result<RecordExchange::Reply>)> take)
    {
        askers.push_back(RecordExchange::create(context, freeEndpoint(context), settingsOf(name), {}, {}).value());
        boost::asio::co_spawn(
            context, [this, asker = askers.back().get(), request, base, take]() -> boost::asio::awaitable<void> { take(co_await asker->ask(address, request, base, askTimeout)); },
            boost::asio::detached);
    }

    std::string known;
    std::string former;
    boost::asio::io_context context;
    Tcp::endpoint address;
    std::unique_ptr<RecordExchange> teller;
    std::vector<std::unique_ptr<RecordExchange>> askers;
};

}

TEST(RecordExchange, MessagesReadWhatTheyWrite)
{
    RecordsRequest request = Daemon::decodeRecordsRequest(Daemon::encode(RecordsRequest { Platform::StoreTopic::Targets, 41, true })).value();
    EXPECT_EQ(request.topic, Platform::StoreTopic::Targets);
    EXPECT_EQ(request.from, 41U);
    EXPECT_TRUE(request.wantsAll);
    Extract extract { { { 3, "a", "value" }, { 5, "b", std::nullopt } }, 7, true };
    RecordsAnswer read = Daemon::decodeRecords(Daemon::encode(RecordsAnswer { extract, std::chrono::milliseconds(0) })).value();
    EXPECT_EQ(read.extract.records, extract.records);
    EXPECT_EQ(read.extract.next, 7U);
    EXPECT_TRUE(read.extract.isAll);
    EXPECT_EQ(read.age, std::chrono::milliseconds(0));
    EXPECT_FALSE(Daemon::decodeRecords(Daemon::encode(RecordsAnswer { extract, std::nullopt })).value().age) << "not known is not new";
}

RC_GTEST_PROP(RecordExchange, ArbitraryBytesNeverDoHarm, (std::string const& bytes))
{
    Core::Result<RecordsRequest> request = Daemon::decodeRecordsRequest(bytes);
    Core::Result<RecordsAnswer> records = Daemon::decodeRecords(bytes);
    RC_ASSERT((request.has_value() || !request.error().message.empty()));
    RC_ASSERT((records.has_value() || !records.error().message.empty()));
}

TEST(RecordExchange, APeerTellsWhatItKnowsOrThatItKnowsNothing)
{
    boost::asio::io_context context;
    Tcp::endpoint address = freeEndpoint(context);
    bool isKnown = true;
    RecordExchange::Hooks hooks;
    hooks.answer = [&isKnown](RecordsRequest const& request) -> Core::Result<RecordsAnswer> {
        if (!isKnown)
            return Core::fail(Core::ErrorCode::Unavailable, "not known");
        // Larger than any window or datagram.
        return RecordsAnswer { { { { request.from, "big", std::string(900'000, 'x') } }, request.from + 1, request.wantsAll }, std::nullopt };
    };
    std::unique_ptr<RecordExchange> teller = RecordExchange::create(context, address, Peer::Settings(), {}, hooks).value();
    std::unique_ptr<RecordExchange> asker = RecordExchange::create(context, freeEndpoint(context), Peer::Settings(), {}, hooks).value();
    std::vector<Core::Result<RecordExchange::Reply>> told;
    boost::asio::co_spawn(
        context, [&]() -> boost::asio::awaitable<void> {
            RecordsRequest request { Platform::StoreTopic::Configuration, 12, false };
            told.push_back(co_await asker->ask(address, request, {}, askTimeout));
            isKnown = false;
            told.push_back(co_await asker->ask(address, request, {}, askTimeout));
            told.push_back(co_await asker->ask(Tcp::endpoint(address.address(), 1), request, {}, askTimeout));
            context.stop();
        },
        boost::asio::detached);
    context.run();
    ASSERT_EQ(told.size(), 3U);
    ASSERT_TRUE(told[0].has_value());
    Extract const& extract = std::get<RecordsAnswer>(told[0].value()).extract;
    EXPECT_EQ(extract.records.front().offset, 12U);
    EXPECT_EQ(extract.records.front().value->size(), 900'000U);
    EXPECT_TRUE(told[1].has_error());
    EXPECT_TRUE(told[2].has_error());
}

TEST(RecordExchange, ADifferenceToAFormerVersionIsSmall)
{
    std::string former = routes(1'400, 1);
    std::string current = former + routes(20, 2);
    std::string whole = Daemon::compress(current, {}).value();
    std::string difference = Daemon::compress(current, former).value();
    EXPECT_LT(whole.size(), current.size() / 3);
    EXPECT_LT(difference.size(), whole.size() / 10);
    EXPECT_EQ(Daemon::decompress(whole, {}, current.size()).value(), current);
    EXPECT_EQ(Daemon::decompress(difference, former, current.size()).value(), current);
    EXPECT_TRUE(Daemon::decompress(difference, routes(1'400, 3), current.size()).has_error()) << "another base";
    EXPECT_TRUE(Daemon::decompress(whole, {}, current.size() - 1).has_error()) << "larger than allowed";
}

RC_GTEST_PROP(RecordExchange, ArbitraryCompressedBytesNeverDoHarm, (std::string const& bytes, std::string const& base))
{
    Core::Result<std::string> restored = Daemon::decompress(bytes, base, 1'000'000);
    RC_ASSERT((restored.has_value() || !restored.error().message.empty()));
    Core::Result<std::string> compressed = Daemon::compress(bytes, base);
    RC_ASSERT(Daemon::decompress(compressed.value(), base, bytes.size()).value() == bytes);
}

TEST(RecordExchange, APeerThatHasAFormerVersionGetsTheRecordWhole)
{
    std::string former = routes(1'400, 1);
    Exchanges exchanges({}, former + routes(20, 2));
    exchanges.former = former;
    RecordsRequest request { Platform::StoreTopic::Configuration, 12, false };
    request.baseOffset = 11;
    std::optional<std::string> received;
    exchanges.ask("asker", request, former, [&](Core::Result<RecordExchange::Reply> reply) {
        received = std::get<RecordsAnswer>(reply.value()).extract.records.front().value;
        exchanges.context.stop();
    });
    exchanges.context.run_for(10s);
    EXPECT_EQ(received, exchanges.known);
}

// Guards against a daemon that sends a grown configuration to all its peers at once, which occupied its link for seconds.
TEST(RecordExchange, PeersBeyondTheRateAreReferredToThoseThatWereServed)
{
    Fleet::RecordUploadSettings uploads;
    uploads.bytesPerSecond = 300'000;
    Exchanges exchanges(uploads, routes(4'000, 1));
    std::size_t received = 0;
    std::size_t deferred = 0;
    std::function<void(Core::Result<RecordExchange::Reply>)> take = [&](Core::Result<RecordExchange::Reply> reply) {
        ++(std::holds_alternative<RecordsAnswer>(reply.value()) ? received : deferred);
        if (received + deferred == 30)
            exchanges.context.stop();
    };
    RecordsRequest request { Platform::StoreTopic::Configuration, 12, false };
    for (int n = 0; n < 30; ++n)
        exchanges.ask("asker-" + std::to_string(n), request, {}, take);
    exchanges.context.run_for(20s);
    EXPECT_EQ(received + deferred, 30U);
    EXPECT_GT(received, 0U);
    EXPECT_GT(deferred, 20U);
    std::vector<std::string> referrals;
    exchanges.context.restart();
    // One of them is served; which one depends on whose request arrives first.
    for (char const* name : { "late-1", "late-2", "late-3" })
        exchanges.ask(name, request, {}, [&](Core::Result<RecordExchange::Reply> reply) {
            if (Fleet::Deferral const* deferral = std::get_if<Fleet::Deferral>(&reply.value()))
                referrals = deferral->referrals;
        });
    exchanges.context.run_for(1s);
    EXPECT_FALSE(referrals.empty());
}

TEST(RecordExchange, AnAnswerThatMakesProgressIsNotGivenUp)
{
    Fleet::RecordUploadSettings uploads;
    uploads.bytesPerSecond = 20'000;
    uploads.chunkBytes = 2'000;
    Exchanges exchanges(uploads, routes(1'400, 1));
    std::chrono::steady_clock::time_point begun = std::chrono::steady_clock::now();
    bool isWhole = false;
    exchanges.ask("asker", { Platform::StoreTopic::Configuration, 12, false }, {}, [&](Core::Result<RecordExchange::Reply> reply) {
        isWhole = reply.has_value() && std::holds_alternative<RecordsAnswer>(reply.value());
        exchanges.context.stop();
    });
    exchanges.context.run_for(10s);
    EXPECT_TRUE(isWhole);
    EXPECT_GT(std::chrono::steady_clock::now() - begun, 410ms) << "the test needs an answer that takes longer than a silence may";
}

TEST(RecordExchange, NothingMoreIsSentToAPeerThatHasGivenUp)
{
    Fleet::RecordUploadSettings uploads;
    uploads.bytesPerSecond = 1'000;
    uploads.chunkBytes = 200; // Five a second: the asker hears each of them in time.
    Exchanges exchanges(uploads, routes(1'400, 1));
    bool hasGivenUp = false;
    exchanges.ask("asker", { Platform::StoreTopic::Configuration, 12, false }, {}, [&](Core::Result<RecordExchange::Reply> reply) { hasGivenUp = reply.has_error(); });
    exchanges.context.run_for(1s);
    EXPECT_GT(exchanges.teller->pendingBytes(), 0U);
    exchanges.context.run_for(3s);
    EXPECT_TRUE(hasGivenUp);
    EXPECT_EQ(exchanges.teller->pendingBytes(), 0U);
}
