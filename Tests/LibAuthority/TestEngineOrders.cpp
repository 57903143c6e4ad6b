#include "FakeEngine.h"
#include <gtest/gtest.h>

namespace Authority {

namespace {

using std::chrono::seconds;

/// A holder's orders to one engine. The engine and the router respond at once unless a test disables that.
struct EngineOrdersTest : testing::Test {
    Time now;
    FakeEngine engine;
    EngineOrders orders { OrderSettings() };
    TokenBucket loadBudget { 60, 1, Time() };
    bool mayOrder { true };
    bool mayStart { true };
    bool acknowledgesClose { true };
    std::optional<OrderOutcome> replyOverride; ///< Outcome reported to the holder for a write that took effect.
    std::vector<EngineActionKind> writes;
    std::size_t openCount { 0 };
    Router router { "entry-b", "b1" };

    EngineOrdersTest() { orders.setRouters({ router }); }

    void perform(EngineAction const& action)
    {
        if (action.kind == EngineActionKind::Read) {
            orders.observe(engine.read(now), now);
        } else if (action.kind == EngineActionKind::Close) {
            if (acknowledgesClose)
                orders.acknowledgeClose(router, action.round, now);
        } else if (action.kind == EngineActionKind::Open) {
            ++openCount;
        } else {
            writes.push_back(action.kind);
            OrderOutcome outcome = engine.write(action);
            orders.recordOrderOutcome(action.orderId, replyOverride.value_or(outcome), now);
        }
    }

    std::optional<EngineAction> poll() { return orders.poll(now, mayOrder, mayStart, loadBudget); }

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

    /// Runs until an order is due, and returns it without sending it.
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
        ADD_FAILURE() << "no order became due";
        return {};
    }

    void setDesiredRole(State::Role role) { orders.setDesiredState({ role, std::nullopt, std::nullopt, std::nullopt }); }
    void setDesiredModel(std::string const& model) { orders.setDesiredState({ std::nullopt, model, std::nullopt, std::nullopt }); }
};

FormerHolder const former { { "entry-a", "10.0.0.1:1", "a1" }, 3 };

}

TEST_F(EngineOrdersTest, RaisesTheFencingTokenThenReadsThenOrders)
{
    engine.checksFencing = true;
    orders.gainAuthority(5, true, { former });
    setDesiredRole(State::Role::Decode);
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
    setDesiredRole(State::Role::Decode);
    run(20);
    EXPECT_TRUE(orders.isRefused());
    EXPECT_EQ(orders.phase(), OrderPhase::NoAuthority);
    orders.gainAuthority(5, true, {});
    run(20);
    EXPECT_EQ(writes.size(), 1U) << "it sends no more orders with this fencing token";
    orders.gainAuthority(10, true, {});
    run(10);
    EXPECT_EQ(engine.fencing, 10U);
}

TEST_F(EngineOrdersTest, WithoutChecksNothingIsOrderedBeforeTheEvidence)
{
    orders.gainAuthority(5, false, { former });
    setDesiredRole(State::Role::Decode);
    run(3000);
    EXPECT_TRUE(writes.empty()) << "elapsed time is no evidence";
    EXPECT_EQ(orders.phase(), OrderPhase::AwaitingEvidence);
    EXPECT_EQ(orders.block(), (Block { BlockReason::FormerHolder, { "entry-a" } }));
    orders.setUnsettled({});
    run(2);
    EXPECT_TRUE(writes.empty()) << "two equal reads are required first";
    run(10);
    EXPECT_EQ(writes, (std::vector<EngineActionKind> { EngineActionKind::Order }));
}

TEST_F(EngineOrdersTest, AnOrderInTheEnginesBufferIsAwaitedByEqualReads)
{
    orders.gainAuthority(5, false, {});
    setDesiredRole(State::Role::Mixed);
    run(1);
    engine.role = State::Role::Prefill;
    run(2);
    EXPECT_EQ(orders.phase(), OrderPhase::Reading) << "the state changed between the reads";
    run(3);
    EXPECT_NE(orders.phase(), OrderPhase::Reading);
}

TEST_F(EngineOrdersTest, ADaemonThatHasNotClosedTheEngineBlocksTheChangeAndIsReported)
{
    acknowledgesClose = false;
    orders.gainAuthority(5, false, {});
    setDesiredRole(State::Role::Decode);
    run(30);
    EXPECT_TRUE(writes.empty());
    EXPECT_EQ(orders.block(), (Block { BlockReason::RoutersUnreachable, { "entry-b" } }));
    EXPECT_FALSE(orders.isChanging()) << "the engine is reopened during the backoff";
    acknowledgesClose = true;
    run(40);
    EXPECT_EQ(writes.size(), 1U);
}

TEST_F(EngineOrdersTest, RunningRequestsAreAwaited)
{
    engine.running = 1;
    orders.gainAuthority(5, false, {});
    setDesiredRole(State::Role::Decode);
    run(300);
    EXPECT_TRUE(writes.empty());
    EXPECT_EQ(orders.block(), (Block { BlockReason::RequestsRunning, {} }));
    engine.running = 0;
    run(3);
    EXPECT_EQ(writes.size(), 1U);
}

TEST_F(EngineOrdersTest, ALoadReportOlderThanTheCloseDoesNotCount)
{
    orders.gainAuthority(5, false, {});
    setDesiredRole(State::Role::Decode);
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

TEST_F(EngineOrdersTest, AnOrderWhoseResponseWasLostIsReadBack)
{
    orders.gainAuthority(5, false, {});
    setDesiredRole(State::Role::Decode);
    replyOverride = OrderOutcome::Unknown;
    run(10);
    EXPECT_TRUE(orders.hasUnansweredOrder());
    engine.finish();
    run(10);
    EXPECT_EQ(writes.size(), 1U) << "the order had already taken effect";
    EXPECT_FALSE(orders.hasUnansweredOrder());
    EXPECT_EQ(orders.phase(), OrderPhase::Settled);
    EXPECT_EQ(engine.role, State::Role::Decode);
}

TEST_F(EngineOrdersTest, AnOrderThatMayYetArriveIsNotOvertakenByAnother)
{
    orders.gainAuthority(5, false, {});
    setDesiredRole(State::Role::Decode);
    EngineAction lost = runUntilOrder();
    orders.recordOrderOutcome(lost.orderId, OrderOutcome::Unknown, now);
    setDesiredRole(State::Role::Prefill);
    EngineAction again = runUntilOrder();
    EXPECT_EQ(again.orderId, lost.orderId) << "the same order is retried";
    EXPECT_EQ(again.desired.role, State::Role::Decode);
    perform(again);
    engine.finish();
    run(1);
    EXPECT_EQ(orders.phase(), OrderPhase::Settled) << "the next change waits";
    EXPECT_TRUE(orders.hasUnansweredOrder()) << "the first attempt may still arrive";
    orders.loseAuthority();
    run(5);
    EXPECT_FALSE(orders.hasUnansweredOrder());
}

TEST_F(EngineOrdersTest, ANewFencingTokenWaitsForAnOrderUnderTheOldOne)
{
    for (bool checks : { true, false }) {
        engine = FakeEngine();
        engine.checksFencing = checks;
        orders = EngineOrders(OrderSettings());
        orders.setRouters({ router });
        orders.gainAuthority(5, checks, {});
        setDesiredRole(State::Role::Decode);
        EngineAction lost = runUntilOrder();
        orders.recordOrderOutcome(lost.orderId, OrderOutcome::Unknown, now);
        orders.loseAuthority();
        orders.gainAuthority(8, checks, {});
        setDesiredRole(State::Role::Prefill);
        writes.clear();
        run(2);
        EXPECT_TRUE(writes.empty());
        EXPECT_FALSE(orders.isChanging()) << "the engine must not be closed either";
        run(10);
        EXPECT_EQ(writes.back(), EngineActionKind::Order);
        EXPECT_EQ(engine.appliedFencingTokens, (std::vector<std::uint64_t> { 8 }));
    }
}

TEST_F(EngineOrdersTest, AChangeThatIsNoLongerWantedOrAllowedOpensTheEngineAgain)
{
    engine.running = 1;
    orders.gainAuthority(5, false, {});
    setDesiredRole(State::Role::Decode);
    run(5);
    ASSERT_EQ(orders.phase(), OrderPhase::Closing);
    mayOrder = false;
    run(1);
    EXPECT_EQ(orders.phase(), OrderPhase::Settled);
    EXPECT_EQ(openCount, 1U);
    mayOrder = true;
    run(1);
    ASSERT_EQ(orders.phase(), OrderPhase::Closing);
    setDesiredRole(State::Role::Mixed);
    run(1);
    EXPECT_EQ(orders.phase(), OrderPhase::Settled);
    EXPECT_EQ(openCount, 2U);
    EXPECT_TRUE(writes.empty());
}

TEST_F(EngineOrdersTest, AChangeIsResumedAfterACrash)
{
    orders.gainAuthority(5, false, {});
    setDesiredModel("m2");
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

TEST_F(EngineOrdersTest, LoadsStayWithinTheBudget)
{
    loadBudget = TokenBucket(0, 1, now);
    ASSERT_TRUE(loadBudget.tryConsume(now));
    orders.gainAuthority(5, false, {});
    setDesiredModel("m2");
    run(100);
    EXPECT_EQ(orders.block(), (Block { BlockReason::WeightBudget, {} }));
    setDesiredRole(State::Role::Decode);
    run(10);
    EXPECT_EQ(writes.size(), 1U) << "a role change needs no load";
    engine.finish();
    setDesiredModel("m2");
    loadBudget.setRate(60, now);
    run(10);
    EXPECT_EQ(writes.size(), 2U);
    loadBudget.setRate(0, now);
    while (loadBudget.tryConsume(now)) { }
    engine.crash();
    run(20);
    EXPECT_EQ(writes.size(), 2U) << "a repeated load after a crash counts against the budget";
    EXPECT_EQ(orders.block(), (Block { BlockReason::WeightBudget, {} }));
}

TEST_F(EngineOrdersTest, NoOrderIsSentWithoutAValidLease)
{
    engine.checksFencing = true;
    mayOrder = false;
    orders.gainAuthority(5, true, {});
    setDesiredRole(State::Role::Decode);
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
    orders.recordOrderOutcome(runUntilOrder().orderId, OrderOutcome::Refused, now);
    EXPECT_EQ(orders.block(), (Block { BlockReason::RefusedByEngine, {} }));
    run(20);
    EXPECT_EQ(writes.size(), 1U) << "it backs off";
}

TEST_F(EngineOrdersTest, AnUnreachableEngineIsReported)
{
    orders.gainAuthority(5, false, {});
    run(4);
    ASSERT_EQ(orders.phase(), OrderPhase::Settled);
    setDesiredRole(State::Role::Decode);
    orders.observeUnreachable(now);
    for (int n = 0; n < 100; ++n, now += seconds(1)) {
        std::optional<EngineAction> action = poll();
        EXPECT_TRUE(!action || action->kind == EngineActionKind::Read);
        orders.observeUnreachable(now);
    }
    EXPECT_EQ(orders.block(), (Block { BlockReason::EngineUnreachable, {} }));
    EXPECT_FALSE(orders.isChanging());
    run(10);
    EXPECT_EQ(writes.size(), 1U) << "the engine is reachable again";
}

}
