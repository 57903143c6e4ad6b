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
    // The parts are no snapshot: what came behind the first part is read again.
    EXPECT_FALSE(replica.next().isNewest);
    EXPECT_EQ(replica.next().from, 7U);
}

TEST(StoreReplica, TakesOnlyWhatIsNews)
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

TEST(StoreReplica, GoesOnFromNewestWhenHistoryWasDropped)
{
    StoreReplica replica;
    replica.take(page(3, { { 1, "a", "1" }, { 2, "b", "2" } }));
    KeyedBatch expired;
    expired.isExpired = true;
    EXPECT_TRUE(replica.take(expired).empty());
    EXPECT_TRUE(replica.next().isNewest);
    // b was removed in what was dropped.
    std::vector<KeyedRecord> news = replica.take(page(9, { { 8, "a", "3" } }));
    EXPECT_EQ(news.size(), 2U);
    EXPECT_EQ(replica.find("b"), nullptr);
    EXPECT_EQ(replica.find("a")->value, "3");
}

// Whatever reads say, in whatever order, no key goes back to an older record.
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
