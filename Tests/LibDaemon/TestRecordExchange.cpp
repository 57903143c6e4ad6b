#include <LibDaemon/RecordExchange.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using Daemon::RecordExchange;
using Daemon::RecordsAnswer;
using Daemon::RecordsRequest;
using Extract = Fleet::StoreReplica::Extract;
using Tcp = boost::asio::ip::tcp;

Tcp::endpoint freeEndpoint(boost::asio::io_context& context)
{
    Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint();
}

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
    RecordExchange::AnswerHook answer = [&isKnown](RecordsRequest const& request) -> Core::Result<RecordsAnswer> {
        if (!isKnown)
            return Core::fail(Core::ErrorCode::Unavailable, "not known");
        // Larger than any window or datagram.
        return RecordsAnswer { { { { request.from, "big", std::string(900'000, 'x') } }, request.from + 1, request.wantsAll }, std::nullopt };
    };
    std::unique_ptr<RecordExchange> teller = RecordExchange::create(context, address, Peer::Settings(), answer).value();
    std::unique_ptr<RecordExchange> asker = RecordExchange::create(context, freeEndpoint(context), Peer::Settings(), answer).value();
    std::vector<Core::Result<RecordsAnswer>> told;
    boost::asio::co_spawn(
        context, [&]() -> boost::asio::awaitable<void> {
            RecordsRequest request { Platform::StoreTopic::Configuration, 12, false };
            told.push_back(co_await asker->ask(address, request));
            isKnown = false;
            told.push_back(co_await asker->ask(address, request));
            told.push_back(co_await asker->ask(Tcp::endpoint(address.address(), 1), request));
            context.stop();
        },
        boost::asio::detached);
    context.run();
    ASSERT_EQ(told.size(), 3U);
    ASSERT_TRUE(told[0].has_value());
    EXPECT_EQ(told[0].value().extract.records.front().offset, 12U);
    EXPECT_EQ(told[0].value().extract.records.front().value->size(), 900'000U);
    EXPECT_TRUE(told[1].has_error());
    EXPECT_TRUE(told[2].has_error());
}
