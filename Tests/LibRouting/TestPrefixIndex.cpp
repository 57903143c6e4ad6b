#include <LibRouting/PrefixIndex.h>
#include <gtest/gtest.h>

namespace {

using Routing::PrefixBlock;
using Routing::PrefixIndex;
using Routing::PrefixMatch;

std::vector<PrefixMatch> matchesOf(PrefixIndex const& index, std::vector<PrefixBlock> const& chain)
{
    std::vector<PrefixMatch> matches(8);
    matches.resize(index.match(chain, matches));
    return matches;
}

std::vector<PrefixBlock> const chain { { 11, 500 }, { 12, 1500 }, { 13, 4000 } };

}

TEST(PrefixIndex, LongestPrefixComesFirstAndEachTargetOnce)
{
    PrefixIndex index = PrefixIndex::create(100).value();
    index.routed(chain, 1);
    index.stored(12, 2);
    index.stored(11, 3);
    std::vector<PrefixMatch> matches = matchesOf(index, chain);
    ASSERT_EQ(matches.size(), 3U);
    EXPECT_EQ(matches[0].target, 1U);
    EXPECT_EQ(matches[0].tokens, 4000U);
    EXPECT_EQ(matches[1].target, 2U);
    EXPECT_EQ(matches[1].tokens, 1500U);
    EXPECT_EQ(matches[2].tokens, 500U);
}

TEST(PrefixIndex, AppliesEvictionsAndForgetsTargets)
{
    PrefixIndex index = PrefixIndex::create(100).value();
    index.routed(chain, 1);
    index.routed(chain, 2);
    index.evicted(13, 2);
    EXPECT_EQ(matchesOf(index, chain)[1].tokens, 1500U);
    index.forget(1);
    ASSERT_EQ(matchesOf(index, chain).size(), 1U);
    EXPECT_EQ(matchesOf(index, chain)[0].target, 2U);
}

TEST(PrefixIndex, EvictsTheOldestHolderAndTheOldestPrefix)
{
    PrefixIndex index = PrefixIndex::create(8).value();
    for (std::uint32_t target = 0; target < 5; ++target)
        index.stored(1, target);
    std::vector<PrefixMatch> matches = matchesOf(index, { { 1, 10 } });
    ASSERT_EQ(matches.size(), 4U);
    EXPECT_EQ(matches[0].target, 4U);
    EXPECT_EQ(matches[3].target, 1U);
    for (std::uint64_t hash = 2; hash <= 9; ++hash)
        index.stored(hash, 7);
    EXPECT_TRUE(matchesOf(index, { { 1, 10 } }).empty());
    EXPECT_EQ(matchesOf(index, { { 2, 10 } }).size(), 1U);
}

TEST(PrefixIndex, RefusesZeroCapacity)
{
    EXPECT_TRUE(PrefixIndex::create(0).has_error());
}
