#include <LibRequest/AnswerStore.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace Request;
using namespace std::chrono_literals;

TicketNonce nonceOf(int n)
{
    TicketNonce nonce {};
    nonce[0] = static_cast<std::uint8_t>(n);
    nonce[15] = static_cast<std::uint8_t>(n >> 8);
    return nonce;
}

constexpr TimePoint now { 1s };
AnswerEnd const whole { Core::Verdict::Ran, std::nullopt };

AnswerPart readAll(AnswerStore const& store, int n, AnswerOffset offset = {})
{
    return store.read(nonceOf(n), offset, 1000).value();
}

}

TEST(AnswerStore, IsReadFromAnyOffsetAndSaysItsEndOnceAllIsRead)
{
    AnswerStore store = AnswerStore::create({}).value();
    store.open(nonceOf(1), "a");
    store.append(nonceOf(1), 0, "one,");
    store.append(nonceOf(1), 1, "two,");
    store.append(nonceOf(1), 1, "two,");
    store.append(nonceOf(1), 7, "eight,");
    EXPECT_FALSE(readAll(store, 1).end);
    store.append(nonceOf(1), 2, "three");
    store.finish(nonceOf(1), whole, now);
    store.append(nonceOf(1), 3, "late");
    EXPECT_EQ(readAll(store, 1).bytes, "one,two,three");
    EXPECT_EQ(readAll(store, 1).end, whole);
    EXPECT_EQ(readAll(store, 1, { AnswerOffset::Unit::Pieces, 2 }).bytes, "three");
    EXPECT_EQ(readAll(store, 1, { AnswerOffset::Unit::Bytes, 5 }).bytes, "wo,three");
    AnswerPart part = store.read(nonceOf(1), {}, 5).value();
    EXPECT_EQ(part.bytes, "one,");
    EXPECT_EQ(part.nextPiece, 1U);
    EXPECT_FALSE(part.end);
    EXPECT_EQ(store.read(nonceOf(1), { AnswerOffset::Unit::Bytes, 1 }, 1).value().bytes, "ne,") << "one piece at least";
    EXPECT_EQ(store.read(nonceOf(1), { AnswerOffset::Unit::Pieces, 4 }, 5).error().code, Core::ErrorCode::BadInput);
}

TEST(AnswerStore, OverItsBoundTheLargestHolderLosesItsOldestEndedAnswer)
{
    AnswerStore store = AnswerStore::create({ .maxBytes = 20'000, .maxAnswerBytes = 10'000 }).value();
    std::vector<DroppedAnswer> dropped;
    store.open(nonceOf(100), "small");
    store.append(nonceOf(100), 0, "kept");
    for (int i = 0; i < 10; ++i) {
        store.open(nonceOf(i), "flood");
        std::vector<DroppedAnswer> more = store.append(nonceOf(i), 0, std::string(4000, 'x'));
        dropped.insert(dropped.end(), more.begin(), more.end());
        store.finish(nonceOf(i), whole, now);
    }
    ASSERT_EQ(dropped.size(), 6U);
    EXPECT_EQ(dropped[0].ticket, nonceOf(0));
    EXPECT_EQ(dropped[0].organisation, "flood");
    EXPECT_TRUE(store.read(nonceOf(0), {}, 10).has_error()) << "never in part";
    EXPECT_EQ(readAll(store, 100).bytes, "kept");
}

TEST(AnswerStore, AnAnswerTooLargeIsDroppedWholeAndTheRestOfItIgnored)
{
    AnswerStore store = AnswerStore::create({ .maxAnswerBytes = 10 }).value();
    store.open(nonceOf(1), "a");
    EXPECT_TRUE(store.append(nonceOf(1), 0, "12345678").empty());
    std::vector<DroppedAnswer> dropped = store.append(nonceOf(1), 1, "12345678");
    ASSERT_EQ(dropped.size(), 1U);
    EXPECT_TRUE(dropped[0].wasRunning);
    store.append(nonceOf(1), 0, "12345678");
    store.finish(nonceOf(1), whole, now);
    EXPECT_EQ(store.read(nonceOf(1), {}, 10).error().verdict, Core::Verdict::MayHaveRun);
}

TEST(AnswerStore, EndedAnswersExpireAndRunningOnesDoNot)
{
    AnswerStore store = AnswerStore::create({ .keepFor = 10s }).value();
    store.open(nonceOf(1), "a");
    store.open(nonceOf(2), "a");
    store.finish(nonceOf(1), whole, now);
    EXPECT_TRUE(store.expire(now + 9s).empty());
    EXPECT_EQ(store.expire(now + 10s).size(), 1U);
    EXPECT_FALSE(store.contains(nonceOf(1)));
    EXPECT_TRUE(store.contains(nonceOf(2)));
}

RC_GTEST_PROP(AnswerStore, StaysInItsBoundsAndNeverReadsACutAnswerAsWhole, ())
{
    AnswerStore store = AnswerStore::create({ .maxBytes = 8'000, .maxAnswerBytes = 3'000, .maxAnswers = 6, .keepFor = 2s }).value();
    std::map<int, std::pair<std::string, std::uint64_t>> sent;
    std::set<int> ended;
    TimePoint time = now;
    int steps = *rc::gen::inRange(1, 150);
    for (int i = 0; i < steps; ++i) {
        int n = *rc::gen::inRange(0, 12);
        time += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
        std::string bytes(static_cast<std::size_t>(*rc::gen::inRange(1, 900)), static_cast<char>('a' + n));
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            if (!sent.contains(n) && !store.contains(nonceOf(n))) {
                store.open(nonceOf(n), std::string(1, static_cast<char>('a' + n % 3)));
                sent[n] = {};
            }
            break;
        case 1:
        case 2:
            if (sent.contains(n) && !ended.contains(n)) {
                store.append(nonceOf(n), sent[n].second++, bytes);
                sent[n].first += bytes;
            }
            break;
        case 3:
            if (sent.contains(n) && ended.insert(n).second)
                store.finish(nonceOf(n), whole, time);
            break;
        default:
            store.expire(time);
        }
        RC_ASSERT(store.bytes() <= 8'000U);
        RC_ASSERT(store.size() <= 6U);
        RC_ASSERT(store.bytesOf("a") + store.bytesOf("b") + store.bytesOf("c") == store.bytes());
        Core::Result<AnswerPart> part = store.read(nonceOf(n), {}, 100'000);
        if (part.has_value()) {
            RC_ASSERT(part.value().bytes == sent[n].first);
            RC_ASSERT(part.value().end.has_value() == ended.contains(n));
        }
    }
}
