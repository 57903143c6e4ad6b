#include <LibDaemon/StreamExchange.h>
#include <LibDaemon/StreamMessages.h>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;

/// A store in memory that answers at once.
class MemoryStore final : public Platform::KeyedStore {
public:
    boost::asio::awaitable<Core::Result<Platform::KeyedBatch>> read(Platform::StoreTopic, std::uint64_t, std::chrono::milliseconds) override { co_return Platform::KeyedBatch(); }
    boost::asio::awaitable<Core::Result<Platform::KeyedPage>> newest(Platform::StoreTopic, std::string) override { co_return Platform::KeyedPage(); }

    boost::asio::awaitable<Core::Result<Platform::ConditionalAppend>> append(Platform::StoreTopic topic, std::string, std::string value, std::optional<std::uint64_t>) override
    {
        if (topic == Platform::StoreTopic::Streams)
            appended.push_back(std::move(value));
        co_return Platform::ConditionalAppend { true, appended.size(), appended.size() + 1 };
    }

    std::vector<std::string> appended; ///< Records of streams.
};

struct Site {
    boost::asio::io_context context;
    Streams::OriginBook book;
    MemoryStore store;
    Fleet::DaemonBook daemons;
    Daemon::StreamExchange exchange { context, book, store, daemons, "front-0", { [] { }, [] { }, [](Fleet::StoreCallReason) { }, [](boost::asio::ip::udp::endpoint const&, std::string const&) { } } };

    void runUntil(std::function<bool()> const& isDone)
    {
        Core::BootClock::time_point limit = Core::BootClock::now() + 10s;
        while (!isDone() && Core::BootClock::now() < limit) {
            context.restart();
            context.run_one_for(100ms);
        }
    }
};

}

// Guards against short streams that cannot be resumed after all daemons were lost, because they had no record until some ticks later.
TEST(StreamExchange, AStreamIsRecordedWithoutWaitingForATick)
{
    Site site;
    Streams::BegunStream stream { 7, { "llm", "v1" } };
    site.book.note(stream, Core::BootClock::now());
    site.runUntil([&] { return !site.store.appended.empty(); });
    ASSERT_EQ(site.store.appended.size(), 1U);
    EXPECT_EQ(Daemon::decodeBegunStreams(site.store.appended.front()).value(), std::vector<Streams::BegunStream> { stream });

    // One that begins while the next append has to wait is in that one, without a tick, too.
    Streams::BegunStream second { 8, { "llm", "v2" } };
    site.book.note(second, Core::BootClock::now());
    site.runUntil([&] { return site.store.appended.size() > 1; });
    ASSERT_EQ(site.store.appended.size(), 2U);
    EXPECT_EQ(Daemon::decodeBegunStreams(site.store.appended.back()).value().size(), 2U);
}
