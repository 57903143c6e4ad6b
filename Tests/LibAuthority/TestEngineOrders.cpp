#include "FakeEngine.h"
#include <gtest/gtest.h>

namespace Authority {

namespace {

using std::chrono::seconds;

/// A holder's orders to one engine, with everything around it answering at once unless it is told not to.
struct EngineOrdersTest : testing::Test {
    Time now;
    FakeEngine engine;
    EngineOrders orders { OrderSettings() };
    TokenBucket weights { 60, 1, Time() };
    bool mayOrder { true };
    bool mayStart { true };
    bool answersClose { true };
    std::optional<OrderAnswer> replyInstead; ///< What the holder hears of a write that had its effect.
    std::vector<EngineActionKind> writes;
    std::size_t openings { 0 };
    Router router { "entry-b", "b1" };

    EngineOrdersTest() { orders.setRouters({ router }); }

    void perform(EngineAction const& action)
    {
        if (action.kind == EngineActionKind::Read) {
            orders.observe(engine.read(now), now);
        } else if (action.kind == EngineActionKind::Close) {
            if (answersClose)
                orders.acknowledgeClose(router, action.round, now);
        } else if (action.kind == EngineActionKind::Open) {
            ++openings;
        } else {
            writes.push_back(action.kind);
            OrderAnswer answer = engine.write(action);
            orders.answerOrder(action.orderId, replyInstead.value_or(answer), now);
        }
    }

    std::optional<EngineAction> poll() { return orders.poll(now, mayOrder, mayStart, weights); }

    void run(int n)
    {
        while (n-- > 0) {
            for (int k = 0; k < 4; ++k) {
                if (std::optional<EngineAction> action = poll())
                    perform(*action);
            }
            now += seconds(1);
        }
    }

    /// Runs until an order is to be written, and returns it unwritten.
    EngineAction runUntilOrder()
    {
        for (int n = 0; n < 100; ++n, now += seconds(1)) {
            for (int k = 0; k < 4; ++k) {
                std::optional<EngineAction> action = poll();
                if (action && action->kind == EngineActionKind::Order)
                    return *action;
                if (action)
                    perform(*action);
            }
        }
        ADD_FAILURE() << "no order came";
        return {};
    }

    void want(State::Role role) { orders.setWish({ role, std::nullopt, std::nullopt, std::nullopt }); }
    void wantModel(std::string const& model) { orders.setWish({ std::nullopt, model, std::nullopt, std::nullopt }); }
};

FormerHolder const former { { "entry-a", "10.0.0.1:1", "a1" }, 3 };

}

TEST_F(EngineOrdersTest, RaisesTheNumberThenReadsThenOrders)
{
    engine.checksFencing = true;
    orders.gainAuthority(5, true, { former });
    want(State::Role::Decode);
    run(1);
    EXPECT_EQ(writes, (std::vector<EngineActionKind> { EngineActionKind::Raise }));
    EXPECT_EQ(engine.fencing, 5U);
    run(5);
    engine.finish();
    run(5);
    EXPECT_EQ(engine.role, State::Role::Decode);
    EXPECT_EQ(orders.phase(), OrderPhase::Settled);
    EXPECT_EQ(orders.block(), std::nullopt);
    EXPECT_EQ(writes.size(), 2U);
}

TEST_F(EngineOrdersTest, ARefusalMeansAuthorityIsLost)
{
    engine.checksFencing = true;
    engine.fencing = 9;
    orders.gainAuthority(5, true, {});
    want(State::Role::Decode);
    run(20);
    EXPECT_TRUE(orders.isRefused());
    EXPECT_EQ(orders.phase(), OrderPhase::NoAuthority);
    orders.gainAuthority(5, true, {});
    run(20);
    EXPECT_EQ(writes.size(), 1U) << "it tries no more under this number";
    orders.gainAuthority(10, true, {});
    run(10);
    EXPECT_EQ(engine.fencing, 10U);
}

TEST_F(EngineOrdersTest, WithoutChecksNothingIsOrderedBeforeTheEvidence)
{
    orders.gainAuthority(5, false, { former });
    want(State::Role::Decode);
    run(3000);
    EXPECT_TRUE(writes.empty()) << "no clock is evidence";
    EXPECT_EQ(orders.phase(), OrderPhase::AwaitingEvidence);
    EXPECT_EQ(orders.block(), (Block { BlockReason::FormerHolder, { "entry-a" } }));
    orders.setUnsettled({});
    run(2);
    EXPECT_TRUE(writes.empty()) << "two equal reads are due first";
    run(10);
    EXPECT_EQ(writes, (std::vector<EngineActionKind> { EngineActionKind::Order }));
}

TEST_F(EngineOrdersTest, AnOrderInTheEnginesBufferIsAwaitedByEqualReads)
{
    orders.gainAuthority(5, false, {});
    want(State::Role::Mixed);
    run(1);
    engine.role = State::Role::Prefill;
    run(2);
    EXPECT_EQ(orders.phase(), OrderPhase::Reading) << "the state changed between the reads";
    run(3);
    EXPECT_NE(orders.phase(), OrderPhase::Reading);
}

TEST_F(EngineOrdersTest, ADaemonThatHasNotClosedBlocksAndIsNamed)
{
    answersClose = false;
    orders.gainAuthority(5, false, {});
    want(State::Role::Decode);
    run(30);
    EXPECT_TRUE(writes.empty());
    EXPECT_EQ(orders.block(), (Block { BlockReason::RoutersUnreachable, { "entry-b" } }));
    EXPECT_FALSE(orders.isChanging()) << "meanwhile the others use the engine again";
    answersClose = true;
    run(40);
    EXPECT_EQ(writes.size(), 1U);
}

TEST_F(EngineOrdersTest, RunningRequestsAreAwaited)
{
    engine.running = 1;
    orders.gainAuthority(5, false, {});
    want(State::Role::Decode);
    run(300);
    EXPECT_TRUE(writes.empty());
    EXPECT_EQ(orders.block(), (Block { BlockReason::RequestsRunning, {} }));
    engine.running = 0;
    run(3);
    EXPECT_EQ(writes.size(), 1U);
}

TEST_F(EngineOrdersTest, AReportOlderThanTheClosingDoesNotCount)
{
    orders.gainAuthority(5, false, {});
    want(State::Role::Decode);
    for (int n = 0; n < 60; ++n) {
        std::optional<EngineAction> action = poll();
        if (action && action->kind == EngineActionKind::Read && orders.phase() == OrderPhase::Closing) {
            EngineState late = engine.read(now);
            late.asOf = Time();
            orders.observe(late, now);
        } else if (action) {
            perform(*action);
        }
        now += std::chrono::milliseconds(200);
    }
    EXPECT_TRUE(writes.empty());
    EXPECT_EQ(orders.phase(), OrderPhase::Closing);
    EXPECT_EQ(orders.block(), (Block { BlockReason::RequestsRunning, {} }));
}

TEST_F(EngineOrdersTest, ALostReplyAfterTheEffectIsReadBack)
{
    orders.gainAuthority(5, false, {});
    want(State::Role::Decode);
    replyInstead = OrderAnswer::Unknown;
    run(10);
    EXPECT_TRUE(orders.hasUnansweredOrder());
    engine.finish();
    run(10);
    EXPECT_EQ(writes.size(), 1U) << "the order was in effect already";
    EXPECT_FALSE(orders.hasUnansweredOrder());
    EXPECT_EQ(orders.phase(), OrderPhase::Settled);
    EXPECT_EQ(engine.role, State::Role::Decode);
}

TEST_F(EngineOrdersTest, AnOrderThatMayYetArriveIsNotOvertakenByAnother)
{
    orders.gainAuthority(5, false, {});
    want(State::Role::Decode);
    EngineAction lost = runUntilOrder();
    orders.answerOrder(lost.orderId, OrderAnswer::Unknown, now);
    want(State::Role::Prefill);
    EngineAction again = runUntilOrder();
    EXPECT_EQ(again.orderId, lost.orderId) << "the same order is tried again";
    EXPECT_EQ(again.wish.role, State::Role::Decode);
    perform(again);
    engine.finish();
    run(1);
    EXPECT_EQ(orders.phase(), OrderPhase::Settled) << "the next change waits";
    EXPECT_TRUE(orders.hasUnansweredOrder()) << "the first try may still arrive";
    orders.loseAuthority();
    run(5);
    EXPECT_FALSE(orders.hasUnansweredOrder());
}

TEST_F(EngineOrdersTest, ANewNumberWaitsForAnOrderUnderTheOldOne)
{
    for (bool checks : { true, false }) {
        engine = FakeEngine();
        engine.checksFencing = checks;
        orders = EngineOrders(OrderSettings());
        orders.setRouters({ router });
        orders.gainAuthority(5, checks, {});
        want(State::Role::Decode);
        EngineAction lost = runUntilOrder();
        orders.answerOrder(lost.orderId, OrderAnswer::Unknown, now);
        orders.loseAuthority();
        orders.gainAuthority(8, checks, {});
        want(State::Role::Prefill);
        writes.clear();
        run(2);
        EXPECT_TRUE(writes.empty());
        EXPECT_FALSE(orders.isChanging()) << "nor is the engine closed for it";
        run(10);
        EXPECT_EQ(writes.back(), EngineActionKind::Order);
        EXPECT_EQ(engine.numbersInEffect, (std::vector<std::uint64_t> { 8 }));
    }
}

TEST_F(EngineOrdersTest, AChangeThatIsNoLongerWantedOrAllowedOpensTheEngineAgain)
{
    engine.running = 1;
    orders.gainAuthority(5, false, {});
    want(State::Role::Decode);
    run(5);
    ASSERT_EQ(orders.phase(), OrderPhase::Closing);
    mayOrder = false;
    run(1);
    EXPECT_EQ(orders.phase(), OrderPhase::Settled);
    EXPECT_EQ(openings, 1U);
    mayOrder = true;
    run(1);
    ASSERT_EQ(orders.phase(), OrderPhase::Closing);
    want(State::Role::Mixed);
    run(1);
    EXPECT_EQ(orders.phase(), OrderPhase::Settled);
    EXPECT_EQ(openings, 2U);
    EXPECT_TRUE(writes.empty());
}

TEST_F(EngineOrdersTest, AChangeIsResumedAfterACrashHalfWay)
{
    orders.gainAuthority(5, false, {});
    wantModel("m2");
    run(10);
    ASSERT_EQ(engine.phase, EnginePhase::Changing);
    engine.crash();
    run(10);
    EXPECT_EQ(engine.phase, EnginePhase::Changing);
    EXPECT_EQ(writes.size(), 2U);
    engine.finish();
    run(5);
    EXPECT_EQ(engine.model, "m2");
    EXPECT_EQ(orders.phase(), OrderPhase::Settled);
}

TEST_F(EngineOrdersTest, LoadsKeepToTheBudget)
{
    weights = TokenBucket(0, 1, now);
    ASSERT_TRUE(weights.tryTake(now));
    orders.gainAuthority(5, false, {});
    wantModel("m2");
    run(100);
    EXPECT_EQ(orders.block(), (Block { BlockReason::WeightBudget, {} }));
    want(State::Role::Decode);
    run(10);
    EXPECT_EQ(writes.size(), 1U) << "a role needs no load";
    engine.finish();
    wantModel("m2");
    weights.setRate(60, now);
    run(10);
    EXPECT_EQ(writes.size(), 2U);
    weights.setRate(0, now);
    while (weights.tryTake(now)) { }
    engine.crash();
    run(20);
    EXPECT_EQ(writes.size(), 2U) << "the load after a crash is a load like any other";
    EXPECT_EQ(orders.block(), (Block { BlockReason::WeightBudget, {} }));
}

TEST_F(EngineOrdersTest, NothingIsOrderedWithoutTheLeasesTime)
{
    engine.checksFencing = true;
    mayOrder = false;
    orders.gainAuthority(5, true, {});
    want(State::Role::Decode);
    run(10);
    EXPECT_TRUE(writes.empty());
    EXPECT_EQ(orders.block(), (Block { BlockReason::LeaseLapsed, {} }));
    mayOrder = true;
    run(1);
    mayOrder = false;
    run(10);
    EXPECT_EQ(writes.size(), 1U);
    EXPECT_EQ(orders.block(), (Block { BlockReason::LeaseLapsed, {} }));
    mayOrder = true;
    mayStart = false;
    run(10);
    EXPECT_EQ(orders.block(), (Block { BlockReason::ChangeBudget, {} }));
    mayStart = true;
    orders.answerOrder(runUntilOrder().orderId, OrderAnswer::Refused, now);
    EXPECT_EQ(orders.block(), (Block { BlockReason::RefusedByEngine, {} }));
    run(20);
    EXPECT_EQ(writes.size(), 1U) << "it backs off";
}

TEST_F(EngineOrdersTest, AnUnreachableEngineIsSaidToBe)
{
    orders.gainAuthority(5, false, {});
    run(4);
    ASSERT_EQ(orders.phase(), OrderPhase::Settled);
    want(State::Role::Decode);
    orders.observeUnreachable(now);
    for (int n = 0; n < 100; ++n, now += seconds(1)) {
        std::optional<EngineAction> action = poll();
        EXPECT_TRUE(!action || action->kind == EngineActionKind::Read);
        orders.observeUnreachable(now);
    }
    EXPECT_EQ(orders.block(), (Block { BlockReason::EngineUnreachable, {} }));
    EXPECT_FALSE(orders.isChanging());
    run(10);
    EXPECT_EQ(writes.size(), 1U) << "it answers again";
}

}
