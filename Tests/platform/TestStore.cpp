#include <gtest/gtest.h>
#include <platform/Store.h>
#include <rapidcheck/gtest.h>

namespace {

using UsersPlatform::decodeBatch;
using UsersPlatform::decodePage;
using UsersPlatform::encodeRecord;

std::string offsets(std::uint64_t next, std::uint64_t first)
{
    std::string bytes;
    for (std::uint64_t number : { next, first }) {
        for (int shift = 56; shift >= 0; shift -= 8)
            bytes += static_cast<char>(number >> static_cast<unsigned>(shift) & 0xffU);
    }
    return bytes;
}

}

TEST(PlatformStore, RecordsKeepKeyAndValue)
{
    EXPECT_EQ(encodeRecord("ab", "xyz"), std::string("\x00\x00\x00\x06\x02"
                                                     "abxyz",
                                             10));
    Platform::KeyedBatch batch = decodeBatch(40, offsets(42, 7) + encodeRecord("ab", "xyz") + encodeRecord("ab", "")).value();
    EXPECT_EQ(batch.next, 42U);
    EXPECT_EQ(batch.first, 7U);
    ASSERT_EQ(batch.records.size(), 2U);
    EXPECT_EQ(batch.records[0], (Platform::KeyedRecord { 40, "ab", "xyz" }));
    EXPECT_EQ(batch.records[1], (Platform::KeyedRecord { 41, "ab", std::nullopt }));
}

TEST(PlatformStore, ACutAnswerIsCorrupt)
{
    std::string whole = offsets(41, 0) + encodeRecord("ab", "xyz");
    for (std::size_t size = 0; size < whole.size(); ++size) {
        // The two offsets alone are an answer without records.
        bool isWhole = size == offsets(0, 0).size();
        EXPECT_EQ(decodeBatch(40, whole.substr(0, size)).has_error(), !isWhole) << size;
    }
    EXPECT_TRUE(decodeBatch(40, offsets(41, 0) + std::string("\x00\x00\x00\x00", 4)).has_error());
}

TEST(PlatformStore, PagesOfNewestRecords)
{
    Platform::KeyedPage page = decodePage(R"({"items":[{"key":"config","value":"eyJhIjoxfQ==","offset":4}],"has_more":true,"end_offset":6})").value();
    EXPECT_EQ(page.next, 6U);
    EXPECT_TRUE(page.hasMore);
    ASSERT_EQ(page.records.size(), 1U);
    EXPECT_EQ(page.records[0], (Platform::KeyedRecord { 4, "config", R"({"a":1})" }));
    EXPECT_TRUE(decodePage(R"({"end_offset":6})").has_error());
    EXPECT_TRUE(decodePage(R"({"items":[{"key":"a","value":"!","offset":1}],"end_offset":6})").has_error());
    EXPECT_TRUE(decodePage("no json").has_error());
}

RC_GTEST_PROP(PlatformStore, ArbitraryBytesNeverDoHarm, (std::string const& bytes))
{
    Core::Result<Platform::KeyedBatch> batch = decodeBatch(0, bytes);
    Core::Result<Platform::KeyedPage> page = decodePage(bytes);
    bool isCorrupt = batch.has_error() && batch.error().code == Core::ErrorCode::Corrupt;
    RC_ASSERT(isCorrupt || batch.has_value());
    RC_ASSERT(page.has_error() || page.has_value());
}
