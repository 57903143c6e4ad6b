#include "Records.h"
#include <LibState/Config.h>
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace State {

TEST(Fold, RacingEditsAreDecidedByBaseRevision)
{
    Fold fold;
    EXPECT_EQ(applyNext(fold, bytesOf({ 0, 1 }, { setTarget("a", std::nullopt, "x=1") })).applied, Applied::Accepted);
    EXPECT_EQ(applyNext(fold, bytesOf({ 1, 2 }, { setTarget("a", 0, "x=2") })).applied, Applied::Accepted);
    ApplyResult loser = applyNext(fold, bytesOf({ 1, 3 }, { setTarget("a", 0, "x=3") }));
    EXPECT_EQ(loser.applied, Applied::Refused);
    EXPECT_EQ(loser.outcome.refusal, Refusal::Conflict);
    EXPECT_EQ(loser.outcome.currentRevision, 1U);
    EXPECT_EQ(loser.outcome.message(), "refused: target a was changed at revision 1");
    EXPECT_EQ(std::get<TargetContent>(fold.find(targetKey("a"))->content).labels.toString(), "x=2");
    EXPECT_EQ(fold.outcome({ 1, 2 }).kind, OutcomeKind::Accepted);
    EXPECT_EQ(fold.outcome({ 1, 3 }), loser.outcome);
    EXPECT_EQ(fold.outcome({ 1, 4 }).kind, OutcomeKind::Unseen);
}

TEST(Fold, AllEditsOfARecordOrNone)
{
    Fold fold;
    applyNext(fold, bytesOf({ 0, 1 }, { setTarget("a", std::nullopt, "x=1") }));
    ApplyResult result = applyNext(fold, bytesOf({ 1, 2 }, { setTarget("b", std::nullopt, "x=1"), setTarget("a", std::nullopt, "x=2"), deleteTarget("c", 0) }));
    EXPECT_EQ(result.applied, Applied::Refused);
    EXPECT_EQ(result.outcome.object, "target a");
    EXPECT_EQ(fold.find(targetKey("b")), nullptr);
    EXPECT_EQ(fold.state().objects.size(), 1U);
    EXPECT_TRUE(fold.state().deletions.empty());
}

TEST(Fold, ARepeatChangesNothing)
{
    Fold fold;
    std::string create = bytesOf({ 0, 1 }, { setTarget("a", std::nullopt, "x=1") });
    applyNext(fold, create);
    applyNext(fold, bytesOf({ 1, 2 }, { deleteTarget("a", 0) }));
    ApplyResult repeat = applyNext(fold, create);
    EXPECT_EQ(repeat.applied, Applied::Repeated);
    EXPECT_EQ(repeat.outcome.kind, OutcomeKind::Accepted);
    EXPECT_EQ(repeat.outcome.revision, 0U);
    EXPECT_EQ(fold.find(targetKey("a")), nullptr);
}

TEST(Fold, ARepeatOlderThanTheWindowDoesNotRecreate)
{
    Fold fold;
    std::string create = bytesOf({ 0, 1 }, { setTarget("a", std::nullopt, "x=1") });
    applyNext(fold, create);
    applyNext(fold, bytesOf({ 1, 2 }, { deleteTarget("a", 0) }));
    passOffsets(fold, Fold::window - 2);
    EXPECT_EQ(applyNext(fold, create).applied, Applied::Repeated) << "the last offset of the window";
    passOffsets(fold, 1);
    ApplyResult repeat = applyNext(fold, create);
    EXPECT_EQ(repeat.applied, Applied::Refused);
    EXPECT_EQ(repeat.outcome.refusal, Refusal::TooOld);
    EXPECT_EQ(fold.find(targetKey("a")), nullptr);
    EXPECT_EQ(fold.outcome({ 0, 3 }).kind, OutcomeKind::Forgotten);
    EXPECT_TRUE(fold.state().deletions.empty());
}

TEST(Fold, ACreateDoesNotUndoADeletionThatItsWriterHadNotRead)
{
    Fold fold;
    applyNext(fold, bytesOf({ 0, 1 }, { setTarget("a", std::nullopt, "x=1") }));
    applyNext(fold, bytesOf({ 1, 2 }, { deleteTarget("a", 0) }));
    ApplyResult blind = applyNext(fold, bytesOf({ 0, 3 }, { setTarget("a", std::nullopt, "x=2") }));
    EXPECT_EQ(blind.outcome.refusal, Refusal::Conflict);
    EXPECT_EQ(blind.outcome.currentRevision, 1U);
    EXPECT_EQ(applyNext(fold, bytesOf({ 2, 4 }, { setTarget("a", std::nullopt, "x=2") })).applied, Applied::Accepted);
    EXPECT_EQ(applyNext(fold, bytesOf({ 1, 5 }, { setTarget("a", 0, "x=3") })).outcome.currentRevision, 4U - 1U)
        << "the base revision of the former object is not that of the new one";
}

TEST(Fold, OffsetsOnlyGoForward)
{
    Fold fold;
    std::string create = bytesOf({ 0, 1 }, { setTarget("a", std::nullopt, "x=1") });
    Core::Result<ApplyResult> jump = fold.apply(1, create);
    ASSERT_TRUE(jump.has_error());
    EXPECT_EQ(jump.error().code, Core::ErrorCode::Gap);
    EXPECT_EQ(fold.nextOffset(), 0U);
    EXPECT_TRUE(fold.state().objects.empty());
    applyNext(fold, create);
    EXPECT_EQ(fold.apply(0, bytesOf({ 0, 2 }, { setTarget("b", std::nullopt, "x=1") })).value().applied, Applied::AlreadyRead);
    EXPECT_EQ(fold.nextOffset(), 1U);
    EXPECT_EQ(fold.state().objects.size(), 1U);
}

TEST(Fold, VoidsWhatNoWriterCouldMean)
{
    Fold fold;
    EXPECT_EQ(applyNext(fold, "garbage").applied, Applied::Undecodable);
    EXPECT_EQ(applyNext(fold, "").applied, Applied::Undecodable);
    EXPECT_EQ(applyNext(fold, bytesOf({ 9, 1 }, { setTarget("a", std::nullopt, "x=1") })).outcome.refusal, Refusal::FromTheFuture);
    ApplyResult invalid = applyNext(fold, bytesOf({ 0, 2 }, { setTarget("a", std::nullopt, "zone=\xff") }));
    EXPECT_EQ(invalid.outcome.refusal, Refusal::Invalid);
    EXPECT_NE(invalid.outcome.message().find("target a: labels: position 6"), std::string::npos) << invalid.outcome.message();
    EXPECT_EQ(fold.nextOffset(), 4U);
    EXPECT_TRUE(Fold::fromSnapshot(fold.snapshot()).has_value());
}

// Guards against a key that lets its bearer in for whichever of two organisations is looked at first.
TEST(Fold, AKeyHasOneHolder)
{
    Fold fold;
    applyNext(fold, bytesOf({ 0, 1 }, { setOrganisation("a", std::nullopt, { "k1", "k2" }), setOrganisation("b", std::nullopt, { "k3" }) }));
    ApplyResult refused = applyNext(fold, bytesOf({ 1, 2 }, { setOrganisation("c", std::nullopt, { "k4", "k2" }) }));
    EXPECT_EQ(refused.outcome.refusal, Refusal::Invalid);
    EXPECT_NE(refused.outcome.message().find("organisation a holds one of these keys"), std::string::npos) << refused.outcome.message();
    EXPECT_EQ(applyNext(fold, bytesOf({ 2, 3 }, { setOrganisation("c", std::nullopt, { "k5" }), setOrganisation("d", std::nullopt, { "k5" }) })).applied, Applied::Refused);
    EXPECT_EQ(fold.state().objects.size(), 2U);

    // One record hands a key over, also where the new holder's edit comes first; and then it has a holder again.
    EXPECT_EQ(applyNext(fold, bytesOf({ 3, 4 }, { setOrganisation("b", 0, { "k3", "k1" }), setOrganisation("a", 0, { "k2" }) })).applied, Applied::Accepted);
    EXPECT_EQ(applyNext(fold, bytesOf({ 4, 5 }, { setOrganisation("c", std::nullopt, { "k1" }) })).applied, Applied::Refused);
    // A snapshot knows the holders, too; and a deletion gives keys back.
    Fold restored = Fold::fromSnapshot(fold.snapshot()).value();
    EXPECT_EQ(applyNext(restored, bytesOf({ 5, 6 }, { setOrganisation("c", std::nullopt, { "k1" }) })).applied, Applied::Refused);
    EXPECT_EQ(applyNext(fold, bytesOf({ 5, 6 }, { { { Kind::Organisation, "b" }, 3, std::nullopt } })).applied, Applied::Accepted);
    EXPECT_EQ(applyNext(fold, bytesOf({ 6, 7 }, { setOrganisation("c", std::nullopt, { "k1" }) })).applied, Applied::Accepted);
}

TEST(Fold, OrganisationsAreFoundByTheirKeys)
{
    Fold fold;
    EXPECT_EQ(Config::create(fold.state())->organisations(), nullptr);
    applyNext(fold, bytesOf({ 0, 1 }, { setOrganisation("a", std::nullopt, { "k1", "k2" }) }));
    std::shared_ptr<Config const> config = Config::create(fold.state());
    ASSERT_TRUE(config->organisations());
    EXPECT_EQ(config->organisations()->find("k2")->name, "a");
    EXPECT_EQ(config->organisations()->find("k3"), nullptr);
    // What did not change is shared: drawing a secret and digesting all keys costs time.
    applyNext(fold, bytesOf({ 1, 2 }, { setTarget("t", std::nullopt, "x=1") }));
    EXPECT_EQ(Config::create(fold.state(), config)->organisations(), config->organisations());
}

RC_GTEST_PROP(Fold, AnyBytesAreSurvived, (std::vector<std::string> const& records))
{
    Fold fold;
    std::string good = bytesOf({ 0, 1 }, { setTarget("a", std::nullopt, "x=1"), deleteTarget("b", 3) });
    for (std::string const& record : records) {
        std::string damaged = good;
        for (std::size_t n = 0; n < record.size() && n < 3; ++n)
            damaged[static_cast<unsigned char>(record[n]) % damaged.size()] = record[record.size() - 1 - n];
        applyNext(fold, record);
        applyNext(fold, damaged);
    }
    RC_ASSERT(fold.nextOffset() == records.size() * 2);
    RC_ASSERT(Fold::fromSnapshot(fold.snapshot()).value().snapshot() == fold.snapshot());
}

}
