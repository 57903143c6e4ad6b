#include <LibAuthority/LeaseFold.h>
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace Authority {

namespace {

Holder const a { "entry-a", "10.0.0.1:1", "a1" };
Holder const aAgain { "entry-a", "10.0.0.1:1", "a2" };
Holder const b { "entry-b", "10.0.0.2:1", "b1" };

LeaseApplied applyNext(LeaseFold& fold, LeaseRecord const& record)
{
    return fold.apply(fold.nextOffset(), encode(record)).value().applied;
}

std::vector<std::uint64_t> unsettledFencingTokens(LeaseFold const& fold)
{
    std::vector<std::uint64_t> tokens;
    for (FormerHolder const& former : fold.find("p")->unsettled)
        tokens.push_back(former.fencing);
    return tokens;
}

}

TEST(LeaseFold, TheFirstOfConcurrentClaimsWinsAndItsOffsetIsTheFencingToken)
{
    LeaseFold fold;
    EXPECT_EQ(fold.apply(0, "garbage").value().applied, LeaseApplied::Undecodable);
    EXPECT_EQ(applyNext(fold, Claim { "p", a, std::nullopt, 1 }), LeaseApplied::Accepted);
    EXPECT_EQ(applyNext(fold, Claim { "p", b, std::nullopt, 2 }), LeaseApplied::Void);
    EXPECT_EQ(fold.find("p")->fencing, 1U);
    EXPECT_EQ(fold.find("p")->holder, a);
    EXPECT_EQ(fold.find("q"), nullptr);
}

TEST(LeaseFold, AClaimThatNamesAnOutdatedRecordIsVoid)
{
    LeaseFold fold;
    applyNext(fold, Claim { "p", a, std::nullopt, 1 });
    EXPECT_EQ(applyNext(fold, Renewal { { { "p", 0, 2 } } }), LeaseApplied::Accepted);
    EXPECT_EQ(applyNext(fold, Claim { "p", b, 0, 3 }), LeaseApplied::Void) << "its writer had not read the renewal";
    EXPECT_EQ(applyNext(fold, Claim { "p", b, 1, 4 }), LeaseApplied::Accepted);
    EXPECT_EQ(applyNext(fold, Claim { "p", b, 1, 4 }), LeaseApplied::Void) << "a duplicate of the append";
    EXPECT_EQ(applyNext(fold, Claim { "p", a, std::nullopt, 1 }), LeaseApplied::Void) << "an old append that was delayed";
    EXPECT_EQ(applyNext(fold, Renewal { { { "p", 0, 5 } } }), LeaseApplied::Void) << "the former holder's renewal";
    EXPECT_EQ(fold.find("p")->fencing, 3U);
    EXPECT_EQ(fold.find("p")->lastRecord, 3U);
}

TEST(LeaseFold, FormerHoldersStayUnsettledThroughSuccessions)
{
    LeaseFold fold;
    applyNext(fold, Claim { "p", a, std::nullopt, 1 });
    applyNext(fold, Claim { "p", b, 0, 2 });
    applyNext(fold, Claim { "p", { "entry-c", "10.0.0.3:1", "c1" }, 1, 3 });
    EXPECT_EQ(unsettledFencingTokens(fold), (std::vector<std::uint64_t> { 0, 1 }));
    EXPECT_EQ(applyNext(fold, Acknowledgement { "p", 1 }), LeaseApplied::Accepted);
    EXPECT_EQ(applyNext(fold, Acknowledgement { "p", 1 }), LeaseApplied::Void);
    EXPECT_EQ(applyNext(fold, Settlement { "p", 1, 0, Evidence::Gone }), LeaseApplied::Void) << "only the holder settles";
    EXPECT_EQ(unsettledFencingTokens(fold), (std::vector<std::uint64_t> { 0 }));
    EXPECT_EQ(applyNext(fold, Settlement { "p", 2, 0, Evidence::Gone }), LeaseApplied::Accepted);
    EXPECT_TRUE(unsettledFencingTokens(fold).empty());
}

TEST(LeaseFold, AReleaseAndANewProcessAtTheAddressSettle)
{
    LeaseFold fold;
    applyNext(fold, Claim { "p", a, std::nullopt, 1 });
    EXPECT_EQ(applyNext(fold, Release { "p", 0 }), LeaseApplied::Accepted);
    EXPECT_EQ(applyNext(fold, Renewal { { { "p", 0, 2 } } }), LeaseApplied::Void) << "a released lease can't be renewed";
    EXPECT_EQ(applyNext(fold, Claim { "p", b, 1, 3 }), LeaseApplied::Accepted);
    EXPECT_TRUE(unsettledFencingTokens(fold).empty());
    EXPECT_EQ(applyNext(fold, Claim { "p", a, 3, 4 }), LeaseApplied::Accepted);
    EXPECT_EQ(unsettledFencingTokens(fold), (std::vector<std::uint64_t> { 3 }));
    EXPECT_EQ(applyNext(fold, Claim { "p", aAgain, 4, 5 }), LeaseApplied::Accepted);
    EXPECT_EQ(unsettledFencingTokens(fold), (std::vector<std::uint64_t> { 3 })) << "b may still send orders, a1 can't";
    EXPECT_EQ(applyNext(fold, Release { "p", 3 }), LeaseApplied::Accepted) << "a former holder's release counts as well";
    EXPECT_TRUE(unsettledFencingTokens(fold).empty());
}

/// All readers of a prefix have the same state, whichever snapshots they started from; fencing tokens never decrease.
RC_GTEST_PROP(LeaseFold, ReadersAgreeAndNumbersOnlyGrow, ())
{
    LeaseFold fold;
    LeaseFold other;
    std::vector<std::string> log;
    std::uint64_t highest = 0;
    int n = *rc::gen::inRange(1, 60);
    while (n-- > 0) {
        std::uint64_t offset = *rc::gen::inRange<std::uint64_t>(0, log.size() + 1);
        Holder holder = *rc::gen::element(a, aAgain, b);
        Lease const* lease = fold.find("p");
        std::optional<std::uint64_t> previous = lease ? std::optional(lease->lastRecord) : std::nullopt;
        if (*rc::gen::inRange(0, 4) == 0)
            previous = offset;
        LeaseRecord record = *rc::gen::element<LeaseRecord>(Claim { "p", holder, previous, offset }, Renewal { { { "p", offset, 1 }, { "q", 0, 1 } } },
            Release { "p", offset }, Acknowledgement { "p", offset }, Settlement { "p", lease ? lease->fencing : 0, offset, Evidence::Replaced });
        log.push_back(*rc::gen::inRange(0, 8) == 0 ? std::string("?") : encode(record));
        RC_ASSERT(fold.apply(fold.nextOffset(), log.back()));
        RC_ASSERT((!fold.find("p") || fold.find("p")->fencing >= highest));
        highest = fold.find("p") ? fold.find("p")->fencing : 0;
        if (*rc::gen::inRange(0, 5) == 0)
            RC_ASSERT(other.adopt(fold.snapshot()).has_value());
        if (*rc::gen::inRange(0, 5) == 0)
            RC_ASSERT(!fold.adopt(other.snapshot()).value());
    }
    RC_ASSERT((other.nextOffset() >= log.size() || other.apply(other.nextOffset() + 1, "?").has_error()));
    while (other.nextOffset() < log.size())
        RC_ASSERT(other.apply(other.nextOffset(), log[other.nextOffset()]));
    RC_ASSERT(other.snapshot() == fold.snapshot());
}

}
