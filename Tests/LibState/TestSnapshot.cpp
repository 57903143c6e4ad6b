#include "Records.h"
#include <LibState/SnapshotAssembler.h>
#include <LibState/SnapshotPolicy.h>
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace State {

namespace {

Fold busyFold()
{
    Fold fold;
    applyNext(fold, bytesOf({ 0, 1 }, { setTarget("a", std::nullopt, "x=1"), setTarget("b", std::nullopt, "x=1") }));
    applyNext(fold, bytesOf({ 1, 2 }, { deleteTarget("b", 0) }));
    applyNext(fold, bytesOf({ 1, 3 }, { deleteTarget("b", 0) }));
    return fold;
}

}

TEST(Snapshot, CarriesAllThatTheFoldRemembers)
{
    Fold fold = busyFold();
    Fold copy = Fold::fromSnapshot(fold.snapshot()).value();
    EXPECT_EQ(copy.nextOffset(), 3U);
    EXPECT_EQ(copy.outcome({ 1, 3 }), fold.outcome({ 1, 3 }));
    EXPECT_EQ(copy.snapshot(), fold.snapshot());
    for (Fold* it : { &fold, &copy }) {
        EXPECT_EQ(applyNext(*it, bytesOf({ 1, 2 }, { deleteTarget("b", 0) })).applied, Applied::Repeated);
        EXPECT_EQ(applyNext(*it, bytesOf({ 1, 4 }, { setTarget("b", std::nullopt, "x=2") })).outcome.refusal, Refusal::Conflict);
        passOffsets(*it, Fold::window + 2);
    }
    EXPECT_EQ(copy.snapshot(), fold.snapshot()) << "both forget at the same offsets";
    EXPECT_TRUE(copy.state().outcomes.empty());
    EXPECT_TRUE(copy.state().deletions.empty());
}

TEST(Snapshot, NeverMovesAFoldBack)
{
    Fold fold = busyFold();
    Snapshot older = fold.snapshot();
    passOffsets(fold, 2);
    Snapshot newer = fold.snapshot();
    EXPECT_FALSE(fold.adopt(older).value());
    EXPECT_FALSE(fold.adopt(newer).value());
    EXPECT_EQ(fold.nextOffset(), 5U);
    Fold behind;
    EXPECT_TRUE(behind.adopt(newer).value());
    EXPECT_EQ(behind.snapshot(), newer);
}

TEST(Snapshot, IsRefusedWhenItsDigestIsWrong)
{
    std::vector<SnapshotPart> parts = busyFold().snapshot().split(16);
    ASSERT_GT(parts.size(), 3U);
    EXPECT_TRUE(Snapshot::join(parts));
    std::vector<SnapshotPart> damaged = parts;
    damaged[2].data[0] = static_cast<char>(damaged[2].data[0] ^ 1);
    EXPECT_EQ(Snapshot::join(damaged).error().code, Core::ErrorCode::Corrupt);
    std::vector<SnapshotPart> shorter(parts.begin(), parts.end() - 1);
    EXPECT_FALSE(Snapshot::join(shorter));
    std::swap(parts[0], parts[1]);
    EXPECT_FALSE(Snapshot::join(parts));
    EXPECT_FALSE(Snapshot::join({}));
    Snapshot lying = Snapshot::create(99, busyFold().snapshot().state());
    EXPECT_FALSE(Fold::fromSnapshot(lying)) << "it says another offset than its state";
    Fold fold;
    EXPECT_FALSE(fold.adopt(lying));
    EXPECT_EQ(fold.nextOffset(), 0U);
}

TEST(Snapshot, PartsOfSeveralWritersComeTogether)
{
    Fold fold = busyFold();
    std::vector<SnapshotPart> stale = fold.snapshot().split(16);
    applyNext(fold, bytesOf({ 3, 9 }, { setTarget("c", std::nullopt, "x=1") }));
    std::vector<SnapshotPart> recent = fold.snapshot().split(16);
    SnapshotAssembler assembler;
    for (std::size_t n = 0; n < recent.size(); ++n) {
        EXPECT_TRUE(assembler.add(recent[recent.size() - 1 - n]));
        if (n < stale.size()) {
            EXPECT_TRUE(assembler.add(stale[n]));
        }
        bool isLast = n + 1 == recent.size();
        EXPECT_TRUE(isLast || !assembler.newest() || assembler.newest()->nextOffset() == 3U);
    }
    EXPECT_EQ(*assembler.newest(), fold.snapshot());
    for (SnapshotPart const& part : stale)
        EXPECT_TRUE(assembler.add(part));
    EXPECT_EQ(assembler.newest()->nextOffset(), 4U);
    SnapshotPart wrong = fold.snapshot().split(1 << 20).front();
    wrong.nextOffset = 7;
    wrong.data += "x";
    EXPECT_FALSE(assembler.add(wrong));
    EXPECT_EQ(assembler.newest()->nextOffset(), 4U);
}

TEST(Snapshot, IsDueByTimeAlsoWhenNothingChanges)
{
    SnapshotPolicy policy { 0, std::chrono::seconds(4000), 0 };
    EXPECT_FALSE(isSnapshotDue(policy, { 5, 5, std::chrono::seconds(999) }));
    EXPECT_TRUE(isSnapshotDue(policy, { 5, 5, std::chrono::seconds(1000) }));
    policy.rank = 3;
    EXPECT_FALSE(isSnapshotDue(policy, { 5, 5, std::chrono::seconds(1005) }));
    EXPECT_TRUE(isSnapshotDue(policy, { 5, 5, std::chrono::seconds(1006) }));
    policy.rank = 100'000;
    EXPECT_TRUE(isSnapshotDue(policy, { 5, 5, std::chrono::seconds(2000) }));
    EXPECT_FALSE(isSnapshotDue(policy, { 0, std::nullopt, std::chrono::seconds(2000) })) << "nothing was read";
}

/// The log keeps R records; daemons of any rank may be dead; the live one of lowest rank appends when due.
/// At every moment the log holds a whole snapshot, and all records from the offset that it covers.
RC_GTEST_PROP(Snapshot, PolicyKeepsTheLogReadable, ())
{
    std::uint64_t retained = *rc::gen::inRange<std::uint64_t>(16, 400);
    std::uint32_t lowestLiveRank = *rc::gen::inRange<std::uint32_t>(0, 500);
    std::uint64_t failures = *rc::gen::inRange<std::uint64_t>(0, retained / 4);
    std::optional<std::uint64_t> covered;
    std::uint64_t position = 0;
    std::uint64_t failuresLeft = failures;
    for (std::uint64_t next = 1; next < retained * 6; ++next) {
        if (isSnapshotDue({ retained, std::chrono::seconds(0), lowestLiveRank }, { next, covered, std::chrono::seconds(0) })) {
            if (failuresLeft-- == 0) {
                covered = next;
                position = next++;
                failuresLeft = failures;
            }
        }
        std::uint64_t first = next > retained ? next - retained : 0;
        bool isReadable = first == 0 || (covered && *covered >= first && position >= first);
        RC_ASSERT(isReadable);
    }
}

}
