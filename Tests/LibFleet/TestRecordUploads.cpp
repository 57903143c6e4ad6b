#include <LibFleet/RecordUploads.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

// However many peers ask a daemon for records, its link stays free for other traffic, and every peer learns where else to ask.

namespace {

using namespace std::chrono_literals;
using namespace Fleet;
using Platform::StoreTopic;

constexpr Time start { 100s };

RecordUploadSettings settings()
{
    RecordUploadSettings settings;
    settings.bytesPerSecond = 100'000;
    settings.chunkBytes = 5'000;
    settings.maxQueueTime = 250ms;
    return settings;
}

std::variant<RecordUploads::Id, Deferral> begin(RecordUploads& uploads, std::string const& peer, std::size_t bytes, Time now)
{
    return uploads.begin(StoreTopic::Configuration, 7, peer, bytes, now);
}

}

TEST(RecordUploads, SendAtTheirRate)
{
    RecordUploads uploads(settings());
    begin(uploads, "a", 20'000, start);
    std::size_t sent = 0;
    Time now = start;
    while (uploads.nextChunkAt()) {
        now = std::max(now, *uploads.nextChunkAt());
        sent += uploads.takeChunk(now).value().bytes;
        EXPECT_FALSE(uploads.takeChunk(now)) << "a second chunk at the same moment exceeds the rate";
    }
    EXPECT_EQ(sent, 20'000U);
    EXPECT_EQ(now - start, 150ms);
}

TEST(RecordUploads, PeersThatWouldWaitAreReferredToThoseThatHaveTheRecords)
{
    RecordUploads uploads(settings());
    begin(uploads, "a", 30'000, start);
    EXPECT_TRUE(std::holds_alternative<RecordUploads::Id>(begin(uploads, "b", 10'000, start)));
    std::variant<RecordUploads::Id, Deferral> third = begin(uploads, "c", 30'000, start);
    ASSERT_TRUE(std::holds_alternative<Deferral>(third));
    EXPECT_GE(std::get<Deferral>(third).retryAfter, 400ms);
    EXPECT_TRUE(std::get<Deferral>(third).referrals.empty()) << "nobody has them yet";
    Time now = start;
    for (bool isDone = false; !isDone; now += 50ms)
        isDone = uploads.takeChunk(now).value().isLast;
    std::variant<RecordUploads::Id, Deferral> fourth = begin(uploads, "d", 40'000, now);
    ASSERT_TRUE(std::holds_alternative<Deferral>(fourth));
    EXPECT_EQ(std::get<Deferral>(fourth).referrals, std::vector<std::string> { "b" }) << "the shorter upload went first";
}

TEST(RecordUploads, ShortUploadsOvertakeLongOnes)
{
    RecordUploads uploads(settings());
    RecordUploads::Id large = std::get<RecordUploads::Id>(begin(uploads, "a", 400'000, start));
    EXPECT_EQ(uploads.takeChunk(start)->upload, large);
    std::variant<RecordUploads::Id, Deferral> small = begin(uploads, "b", 300, start);
    ASSERT_TRUE(std::holds_alternative<RecordUploads::Id>(small)) << "it does not wait for the long one";
    RecordUploads::Chunk next = uploads.takeChunk(start + 50ms).value();
    EXPECT_EQ(next.upload, std::get<RecordUploads::Id>(small));
    EXPECT_TRUE(next.isLast);
}

TEST(RecordUploads, ALongUploadIsNotStarvedByShortOnes)
{
    RecordUploads uploads(settings());
    RecordUploads::Id large = std::get<RecordUploads::Id>(begin(uploads, "a", 400'000, start));
    Time lastChunkAt = start;
    for (Time now = start; now < start + 2s; now += 10ms) {
        begin(uploads, "b", 4'000, now);
        std::optional<RecordUploads::Chunk> chunk = uploads.takeChunk(now);
        if (chunk && chunk->upload == large) {
            EXPECT_LE(now - lastChunkAt, 400ms) << "its peer gives up after this silence";
            lastChunkAt = now;
        }
    }
    EXPECT_GT(lastChunkAt, start + 1'500ms);
}

TEST(RecordUploads, CanceledUploadsAreNotSent)
{
    RecordUploads uploads(settings());
    RecordUploads::Id id = std::get<RecordUploads::Id>(begin(uploads, "a", 400'000, start));
    uploads.takeChunk(start);
    uploads.cancel(id);
    EXPECT_EQ(uploads.pendingBytes(), 0U);
    EXPECT_FALSE(uploads.nextChunkAt());
    EXPECT_TRUE(std::holds_alternative<RecordUploads::Id>(begin(uploads, "b", 1'000, start)));
}

TEST(RecordUploads, ReferralsHaveWhatIsAskedFor)
{
    RecordUploadSettings unlimited;
    RecordUploads uploads(unlimited);
    EXPECT_TRUE(std::holds_alternative<RecordUploads::Id>(uploads.begin(StoreTopic::Targets, 9, "a", 1'000'000, start)));
    while (uploads.takeChunk(start)) { }
    RecordUploads limited(settings());
    limited.begin(StoreTopic::Configuration, 5, "old", 100, start);
    limited.begin(StoreTopic::Targets, 9, "other-topic", 100, start);
    for (Time now = start; limited.pendingBytes() > 0; now += 50ms)
        limited.takeChunk(now);
    Time later = start + 1s;
    limited.begin(StoreTopic::Configuration, 7, "a", 400'000, later);
    std::variant<RecordUploads::Id, Deferral> deferred = limited.begin(StoreTopic::Configuration, 7, "b", 400'000, later);
    ASSERT_TRUE(std::holds_alternative<Deferral>(deferred));
    EXPECT_TRUE(std::get<Deferral>(deferred).referrals.empty());
}

RC_GTEST_PROP(RecordUploads, NeverExceedTheRateAndEndEveryUpload, ())
{
    RecordUploads uploads(settings());
    std::vector<std::size_t> sizes = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 60'000));
    std::map<RecordUploads::Id, std::size_t> left;
    std::size_t sent = 0;
    Time now = start;
    for (std::size_t n = 0; n < sizes.size() || uploads.nextChunkAt(); ++n) {
        if (n < sizes.size()) {
            std::variant<RecordUploads::Id, Deferral> begun = begin(uploads, std::to_string(n), sizes[n], now);
            if (RecordUploads::Id const* id = std::get_if<RecordUploads::Id>(&begun))
                left[*id] = sizes[n];
        }
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 120));
        while (std::optional<RecordUploads::Chunk> chunk = uploads.takeChunk(now)) {
            left.at(chunk->upload) -= chunk->bytes;
            sent += chunk->bytes;
            RC_ASSERT(chunk->isLast == (left.at(chunk->upload) == 0));
        }
        double seconds = std::chrono::duration<double>(now - start).count();
        RC_ASSERT(static_cast<double>(sent) <= seconds * static_cast<double>(settings().bytesPerSecond) + static_cast<double>(settings().chunkBytes));
    }
    RC_ASSERT(uploads.pendingBytes() == 0U);
    for (std::pair<RecordUploads::Id const, std::size_t> const& it : left)
        RC_ASSERT(it.second == 0U);
}
