#include <LibRouting/Router.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using Routing::Candidate;
using Routing::Decision;
using Routing::Policy;
using Routing::Reason;
using Routing::Router;

Router makeRouter(Policy policy, std::size_t scanLimit = 1024)
{
    Routing::Settings settings;
    settings.policy = policy;
    settings.scanLimit = scanLimit;
    return Router::create(settings).value();
}

Candidate makeCandidate(std::uint32_t target, std::uint32_t waitingTokens)
{
    Candidate candidate;
    candidate.target = target;
    candidate.load.waitingPromptTokens = waitingTokens;
    return candidate;
}

Policy drawPolicy()
{
    return Routing::policyNames[*rc::gen::inRange<std::size_t>(0, Routing::policyNames.size())].first;
}

std::vector<Candidate> drawCandidates()
{
    std::vector<Candidate> candidates(*rc::gen::inRange<std::size_t>(0, 40));
    for (Candidate& it : candidates) {
        it.target = *rc::gen::inRange(0U, 1000U);
        it.role = Routing::targetRoleNames[*rc::gen::inRange<std::size_t>(0, 3)].first;
        it.distance = Routing::zoneDistanceNames[*rc::gen::inRange<std::size_t>(0, 3)].first;
        it.closed = *rc::gen::inRange(0, 3) == 0;
        it.prefixMatchTokens = *rc::gen::element(0U, 0U, 500U, 5000U);
        it.load.running = *rc::gen::inRange(0U, 30U);
        it.load.waitingPromptTokens = *rc::gen::inRange(0U, 20000U);
        it.load.promptTokensSince = *rc::gen::inRange(-20000, 20000);
    }
    return candidates;
}

}

RC_GTEST_PROP(Router, NeverChoosesAClosedOrUnsuitableCandidate, ())
{
    std::vector<Candidate> candidates = drawCandidates();
    Routing::RequestShape shape;
    shape.phase = Routing::phaseNames[*rc::gen::inRange<std::size_t>(0, Routing::phaseNames.size())].first;
    shape.promptTokens = *rc::gen::inRange(0U, 20000U);
    Router router = makeRouter(drawPolicy(), *rc::gen::element<std::size_t>(4, 1024));
    std::mt19937_64 rng(*rc::gen::arbitrary<std::uint64_t>());

    auto fits = [&](Candidate const& it) { return !it.closed && Routing::takes(it.role, shape.phase); };
    bool hasOne = std::any_of(candidates.begin(), candidates.end(), fits);
    Decision decision = router.decide(candidates, shape, rng);
    RC_ASSERT(decision.chosen.has_value() == hasOne);
    if (hasOne) {
        RC_ASSERT(fits(candidates[*decision.chosen]));
        RC_ASSERT(decision.target == candidates[*decision.chosen].target);
        RC_ASSERT(decision.role == candidates[*decision.chosen].role);
    }
    if (decision.runnerUp) {
        RC_ASSERT(fits(candidates[*decision.runnerUp]));
        RC_ASSERT(*decision.runnerUp != *decision.chosen);
    }
}

RC_GTEST_PROP(Router, SameGeneratorSameDecision, ())
{
    std::vector<Candidate> candidates = drawCandidates();
    Router router = makeRouter(drawPolicy());
    std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
    std::mt19937_64 first(seed);
    std::mt19937_64 second(seed);
    Routing::RequestShape shape;
    RC_ASSERT(router.decide(candidates, shape, first).chosen == router.decide(candidates, shape, second).chosen);
}

RC_GTEST_PROP(Router, AffinityKeepsTheImbalanceBound, ())
{
    std::vector<Candidate> candidates = drawCandidates();
    candidates.push_back(makeCandidate(1, *rc::gen::inRange(0U, 20000U)));
    Router affinity = makeRouter(Policy::PrefixAffinity);
    Router least = makeRouter(Policy::LeastCorrected);
    Routing::RequestShape shape;
    shape.promptTokens = 6000;
    std::mt19937_64 rng(1);
    Decision near = affinity.decide(candidates, shape, rng);
    Decision idle = least.decide(candidates, shape, rng);
    RC_ASSERT(near.chosen.has_value());
    double penalty = affinity.settings().zonePenaltySeconds[static_cast<std::size_t>(candidates[*near.chosen].distance)];
    double load = affinity.waitSeconds(candidates[*near.chosen], shape, true) + penalty;
    RC_ASSERT(load <= idle.score + affinity.settings().imbalanceSeconds + 1e-9);
}

TEST(Router, GivesTheReasonWhenNoneIsChosen)
{
    Router router = makeRouter(Policy::LeastCorrected);
    std::mt19937_64 rng(1);
    std::vector<Candidate> candidates;
    EXPECT_EQ(router.decide(candidates, {}, rng).reason, Reason::NoCandidate);
    candidates.push_back(makeCandidate(1, 0));
    candidates[0].role = Routing::TargetRole::Decode;
    EXPECT_EQ(router.decide(candidates, {}, rng).reason, Reason::NoFittingRole);
    candidates[0].role = Routing::TargetRole::Mixed;
    candidates[0].closed = true;
    EXPECT_EQ(router.decide(candidates, {}, rng).reason, Reason::AllClosed);
}

TEST(Router, CorrectionOutweighsAStaleReport)
{
    std::vector<Candidate> candidates { makeCandidate(1, 0), makeCandidate(2, 4000) };
    candidates[0].load.promptTokensSince = 9000;
    std::mt19937_64 rng(1);
    EXPECT_EQ(makeRouter(Policy::LeastReported).decide(candidates, {}, rng).target, 1U);
    EXPECT_EQ(makeRouter(Policy::PeekTwo).decide(candidates, {}, rng).target, 1U);
    EXPECT_EQ(makeRouter(Policy::LeastCorrected).decide(candidates, {}, rng).target, 2U);
    Decision moved = makeRouter(Policy::PeekTwoRecheck).decide(candidates, {}, rng);
    EXPECT_EQ(moved.target, 2U);
    EXPECT_EQ(moved.reason, Reason::RecheckMoved);
}

TEST(Router, PrefixWinsWithinTheBoundOnly)
{
    std::vector<Candidate> candidates { makeCandidate(1, 0), makeCandidate(2, 1000) };
    candidates[1].prefixMatchTokens = 3000;
    Routing::RequestShape shape;
    shape.promptTokens = 4000;
    Router router = makeRouter(Policy::PrefixAffinity);
    std::mt19937_64 rng(1);
    Decision near = router.decide(candidates, shape, rng);
    EXPECT_EQ(near.target, 2U);
    EXPECT_EQ(near.reason, Reason::CachedPrefix);
    candidates[1].load.waitingPromptTokens = 2500;
    EXPECT_EQ(router.decide(candidates, shape, rng).target, 1U);
}

TEST(Router, NearerZoneWinsATie)
{
    std::vector<Candidate> candidates { makeCandidate(1, 0), makeCandidate(2, 0) };
    candidates[0].distance = Routing::ZoneDistance::OtherRegion;
    for (auto const& [policy, name] : Routing::policyNames) {
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            std::mt19937_64 rng(seed);
            EXPECT_EQ(makeRouter(policy).decide(candidates, {}, rng).target, 2U) << name;
        }
    }
}

TEST(Router, RandomIsUniformWhenMostAreClosed)
{
    std::vector<Candidate> candidates;
    for (std::uint32_t i = 0; i < 400; ++i) {
        candidates.push_back(makeCandidate(i, 0));
        candidates.back().closed = i % 100 != 0;
    }
    std::array<int, 4> counts {};
    std::mt19937_64 rng(7);
    for (int i = 0; i < 4000; ++i)
        ++counts[makeRouter(Policy::Random).decide(candidates, {}, rng).target / 100];
    // Five standard deviations of 27.
    for (int n : counts)
        EXPECT_NEAR(n, 1000, 137);
}

TEST(Router, TiesAreBrokenUniformly)
{
    std::vector<Candidate> candidates;
    for (std::uint32_t i = 0; i < 4; ++i)
        candidates.push_back(makeCandidate(i, 10));
    std::array<int, 4> counts {};
    std::mt19937_64 rng(7);
    for (int i = 0; i < 4000; ++i)
        ++counts[makeRouter(Policy::LeastCorrected).decide(candidates, {}, rng).target];
    for (int n : counts)
        EXPECT_NEAR(n, 1000, 137);
}

TEST(Router, RefusesSettingsOutOfRange)
{
    Routing::Settings settings;
    settings.sampleSize = 1;
    EXPECT_TRUE(Router::create(settings).has_error());
    settings.sampleSize = 2;
    settings.secondsPerSlot = -1;
    EXPECT_TRUE(Router::create(settings).has_error());
}
