#include <LibFleet/StoreReplica.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using Fleet::StoreReplica;
using Platform::KeyedBatch;
using Platform::KeyedPage;
using Platform::KeyedRecord;

KeyedPage page(std::uint64_t next, std::vector<KeyedRecord> records, bool hasMore = false)
{
    return { std::move(records), next, hasMore };
}

KeyedBatch batch(std::uint64_t next, std::vector<KeyedRecord> records)
{
    return { 0, next, std::move(records), false };
}

}

TEST(StoreReplica, ReadsNewestRecordsFirstAndThenWhatFollows)
{
    StoreReplica replica;
    EXPECT_TRUE(replica.next().isNewest);
    EXPECT_TRUE(replica.take(page(7, { { 3, "a", "1" } }, true)).empty());
    EXPECT_EQ(replica.next().after, "a");
    EXPECT_EQ(replica.take(page(9, { { 6, "b", "2" } })).size(), 2U);
    EXPECT_TRUE(replica.isComplete());
    // The pages are not a snapshot: records added after the first page was read are read again.
    EXPECT_FALSE(replica.next().isNewest);
    EXPECT_EQ(replica.next().from, 7U);
}

TEST(StoreReplica, AppliesOnlyNewRecords)
{
    StoreReplica replica;
    replica.take(page(5, { { 4, "a", "new" } }));
    EXPECT_TRUE(replica.take(batch(5, { { 2, "a", "old" } })).empty());
    EXPECT_EQ(replica.find("a")->value, "new");
    EXPECT_EQ(replica.take(batch(6, { { 5, "a", std::nullopt } })).size(), 1U);
    EXPECT_EQ(replica.find("a"), nullptr);
    // A record from before the removal does not bring the key back.
    EXPECT_FALSE(replica.takeRecord({ 4, "a", "new" }));
    EXPECT_EQ(replica.find("a"), nullptr);
}

TEST(StoreReplica, IgnoresAStaleRead)
{
    StoreReplica replica;
    replica.take(page(10, { { 9, "a", "new" }, { 8, "b", "x" } }));
    KeyedBatch expired;
    expired.isExpired = true;
    replica.take(expired);
    EXPECT_TRUE(replica.take(page(9, { { 3, "a", "old" } })).empty());
    EXPECT_EQ(replica.find("a")->value, "new");
    EXPECT_NE(replica.find("b"), nullptr);
    EXPECT_EQ(replica.nextOffset(), 10U);
}

TEST(StoreReplica, ContinuesFromNewestRecordsWhenHistoryWasTruncated)
{
    StoreReplica replica;
    replica.take(page(3, { { 1, "a", "1" }, { 2, "b", "2" } }));
    KeyedBatch expired;
    expired.isExpired = true;
    EXPECT_TRUE(replica.take(expired).empty());
    EXPECT_TRUE(replica.next().isNewest);
    // The removal of b is in the truncated history.
    std::vector<KeyedRecord> news = replica.take(page(9, { { 8, "a", "3" } }));
    EXPECT_EQ(news.size(), 2U);
    EXPECT_EQ(replica.find("b"), nullptr);
    EXPECT_EQ(replica.find("a")->value, "3");
}

// No sequence of reads, in any order, reverts a key to an older record.
RC_GTEST_PROP(StoreReplica, NoKeyGoesBack, ())
{
    StoreReplica replica;
    std::map<std::string, std::uint64_t> seen;
    for (int step = 0; step < 30; ++step) {
        std::uint64_t next = *rc::gen::inRange<std::uint64_t>(1, 40);
        std::vector<KeyedRecord> records;
        for (int n = *rc::gen::inRange(0, 4); n > 0; --n)
            records.push_back({ *rc::gen::inRange<std::uint64_t>(0, next), std::string(1, *rc::gen::inRange('a', 'd')), "x" });
        if (*rc::gen::arbitrary<bool>())
            replica.take(page(next, records));
        else
            replica.take(batch(next, records));
        for (std::pair<std::string const, KeyedRecord> const& it : replica.records()) {
            RC_ASSERT(it.second.offset >= seen[it.first]);
            seen[it.first] = it.second.offset;
        }
    }
}

TEST(StoreReplica, ExtractsWhatAPeerDoesNotHave)
{
    StoreReplica teller;
    teller.take(page(5, { { 4, "a", "1" }, { 2, "b", "1" } }));
    teller.take(batch(7, { { 5, "a", "2" }, { 6, "b", std::nullopt } }));
    StoreReplica asker;
    asker.take(page(5, { { 4, "a", "1" }, { 2, "b", "1" } }));
    StoreReplica::Extract told = teller.extract(asker.next().from, asker.next().isNewest);
    EXPECT_FALSE(told.isAll);
    EXPECT_EQ(asker.take(told).size(), 2U);
    EXPECT_EQ(asker.find("a")->value, "2");
    EXPECT_EQ(asker.find("b"), nullptr);
    EXPECT_EQ(asker.nextOffset(), 7U);
    EXPECT_TRUE(asker.take(told).empty());
}

// A peer that started later never saw a key's removal, so it sends all records instead of the changes.
TEST(StoreReplica, ExtractsAllRecordsWhenNotEveryChangeIsKnown)
{
    StoreReplica asker;
    asker.take(page(5, { { 4, "a", "1" }, { 2, "b", "1" } }));
    StoreReplica teller;
    teller.take(page(9, { { 8, "a", "3" } }));
    StoreReplica::Extract told = teller.extract(asker.next().from, false);
    EXPECT_TRUE(told.isAll);
    std::vector<KeyedRecord> news = asker.take(told);
    EXPECT_EQ(news.size(), 2U);
    EXPECT_EQ(asker.find("a")->value, "3");
    EXPECT_EQ(asker.find("b"), nullptr);
}

TEST(StoreReplica, ANewReplicaIsFilledFromAPeerAndNothingGoesBack)
{
    StoreReplica teller;
    teller.take(page(5, { { 4, "a", "1" } }));
    StoreReplica newcomer;
    EXPECT_EQ(newcomer.take(teller.extract(0, true)).size(), 1U);
    EXPECT_TRUE(newcomer.isComplete());
    newcomer.take(batch(8, { { 7, "a", "2" } }));
    // An extract from a peer that is behind contains nothing new.
    EXPECT_TRUE(newcomer.take(teller.extract(0, true)).empty());
    EXPECT_TRUE(newcomer.take(teller.extract(5, false)).empty());
    EXPECT_EQ(newcomer.find("a")->value, "2");
    EXPECT_EQ(newcomer.nextOffset(), 8U);
}

// Whichever peer is queried and whenever, the querying replica converges to the contents of the store.
RC_GTEST_PROP(StoreReplica, ReplicasThatExchangeExtractsAgreeWithTheStore, ())
{
    std::vector<KeyedRecord> log;
    std::vector<StoreReplica> replicas(3);
    auto newestAt = [&log](std::size_t end) {
        std::map<std::string, KeyedRecord> newest;
        for (std::size_t n = 0; n < end; ++n)
            newest[log[n].key] = log[n];
        KeyedPage all;
        all.next = end;
        for (std::pair<std::string const, KeyedRecord> const& it : newest) {
            if (it.second.value)
                all.records.push_back(it.second);
        }
        return all;
    };
    int const steps = *rc::gen::inRange(1, 120);
    for (int n = 0; n < steps; ++n) {
        std::size_t who = *rc::gen::inRange<std::size_t>(0, replicas.size());
        std::size_t other = *rc::gen::inRange<std::size_t>(0, replicas.size());
        StoreReplica& replica = replicas[who];
        switch (*rc::gen::inRange(0, 4)) {
        case 0: {
            std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
            std::optional<std::string> value;
            if (*rc::gen::inRange(0, 3) != 0)
                value = std::to_string(log.size());
            log.push_back({ log.size(), key, value });
            break;
        }
        case 1:
            if (replica.next().isNewest) {
                replica.take(newestAt(log.size()));
            } else {
                KeyedBatch news;
                news.next = log.size();
                news.records.assign(log.begin() + static_cast<std::ptrdiff_t>(replica.next().from), log.end());
                replica.take(news);
            }
            break;
        case 2:
            if (replicas[other].isComplete())
                replica.take(replicas[other].extract(replica.next().from, replica.next().isNewest));
            break;
        default:
            if (replica.isComplete()) {
                KeyedBatch expired;
                expired.isExpired = true;
                replica.take(expired);
            }
        }
    }
    for (StoreReplica const& replica : replicas) {
        if (!replica.isComplete())
            continue;
        std::map<std::string, std::string> held;
        for (std::pair<std::string const, KeyedRecord> const& it : replica.records()) {
            if (it.second.value)
                held[it.first] = *it.second.value;
        }
        std::map<std::string, std::string> wanted;
        for (KeyedRecord const& record : newestAt(replica.nextOffset()).records)
            wanted[record.key] = *record.value;
        RC_ASSERT(held == wanted);
    }
}

// Two daemons read on behalf of all. After the history has been truncated they detect removals only by keys missing from the
// newest records, and the others request no more than the announced offset.
TEST(StoreReplica, ARemovalDetectedFromNewestRecordsHasTheirEndOffset)
{
    StoreReplica reader;
    reader.take(page(10, { { 3, "a", "1" }, { 4, "b", "1" } }));
    StoreReplica told;
    told.take(reader.extract(0, true));
    KeyedBatch expired;
    expired.isExpired = true;
    reader.take(expired);
    std::vector<KeyedRecord> news = reader.take(page(15, { { 3, "a", "1" } }));
    ASSERT_EQ(news.size(), 1U);
    EXPECT_EQ(news[0].key, "b");
    EXPECT_GE(news[0].offset, told.nextOffset()) << "otherwise peers cannot tell from its offset that it is new";
    std::vector<KeyedRecord> handedOn = told.take(reader.extract(told.nextOffset(), false));
    ASSERT_EQ(handedOn.size(), 1U);
    EXPECT_EQ(told.find("b"), nullptr);
    // The key may be added again.
    EXPECT_TRUE(reader.takeRecord({ 15, "b", "2" }));
}

TEST(StoreReplica, KeepsTheFormerVersionsOfLargeRecordsOnly)
{
    StoreReplica replica;
    std::string large(5'000, 'x');
    replica.take(KeyedPage { { { 1, "large", large + "1" }, { 2, "small", "1" } }, 3, false });
    replica.take(KeyedBatch { 0, 6, { { 3, "large", large + "2" }, { 4, "small", "2" }, { 5, "large", large + "3" } }, false });
    EXPECT_EQ(*replica.findVersion(1), large + "1");
    EXPECT_EQ(*replica.findVersion(3), large + "2");
    EXPECT_EQ(*replica.findVersion(5), large + "3");
    EXPECT_EQ(*replica.findVersion(4), "2");
    EXPECT_EQ(replica.findVersion(2), nullptr);
    EXPECT_EQ(replica.largestRecord()->offset, 5U);
    replica.take(KeyedBatch { 0, 8, { { 6, "large", large + "4" }, { 7, "large", std::nullopt } }, false });
    EXPECT_EQ(replica.findVersion(1), nullptr) << "two are kept";
    EXPECT_EQ(replica.largestRecord(), nullptr);
}
