#include "World.h"
#include <gtest/gtest.h>

#include <algorithm>
#include <rapidcheck/gtest.h>

namespace Authority {

namespace {

constexpr std::size_t checking = 0;
constexpr std::size_t ignoring = 1;

/// Daemon 0 holds the lease and has checked its next write to both engines, when it is paused.
World pausedBetweenCheckAndWrite()
{
    World world(3);
    world.run(20);
    world.wish.role = State::Role::Prefill;
    for (int n = 0; n < 50 && world.daemons[0].held.size() < 2; ++n) {
        world.now += std::chrono::milliseconds(200);
        world.poll(0);
    }
    world.daemons[0].isPaused = true;
    return world;
}

std::size_t effects(World const& world, std::size_t engine)
{
    return world.engines[engine].numbersInEffect.size();
}

}

TEST(Takeover, AllEnginesComeToWhatIsWanted)
{
    World world(3);
    world.run(20);
    EXPECT_TRUE(world.keeper(0).mayOrder(world.now));
    EXPECT_TRUE(world.isAsWanted());
    EXPECT_EQ(effects(world, checking), 1U);
    EXPECT_EQ(effects(world, ignoring), 1U);
}

TEST(Takeover, APausedHoldersWriteIsRefusedByAnEngineThatChecks)
{
    World world = pausedBetweenCheckAndWrite();
    ASSERT_EQ(world.daemons[0].held.size(), 2U);
    world.wish.role = State::Role::Mixed;
    world.run(60);
    ASSERT_TRUE(world.keeper(1).mayOrder(world.now));
    std::uint64_t raised = world.engines[checking].fencing;
    EXPECT_EQ(raised, world.keeper(1).fencing());
    std::vector<std::uint64_t> before = world.engines[checking].numbersInEffect;
    world.daemons[0].isPaused = false;
    world.write(0);
    world.write(0);
    EXPECT_EQ(world.engines[checking].numbersInEffect, before);
    EXPECT_EQ(world.engines[checking].fencing, raised);
    EXPECT_TRUE(world.orders(0, checking).isRefused());
}

TEST(Takeover, AnEngineThatDoesNotCheckGetsNoOrderWhileThePausedHolderMayWake)
{
    World world = pausedBetweenCheckAndWrite();
    world.wish.role = State::Role::Mixed;
    std::size_t before = effects(world, ignoring);
    world.run(100'000);
    EXPECT_EQ(effects(world, ignoring), before) << "more than a day, and still no order";
    EngineOrders const& orders = world.orders(1, ignoring);
    EXPECT_EQ(orders.block(), (Block { BlockReason::FormerHolder, { "entry-0" } }));
    // It wakes: its write meets no other's, and its successor orders only after its acknowledgement.
    world.daemons[0].isPaused = false;
    world.run(100);
    EXPECT_TRUE(world.isAsWanted());
    std::vector<std::uint64_t> const& numbers = world.engines[ignoring].numbersInEffect;
    EXPECT_TRUE(std::is_sorted(numbers.begin(), numbers.end()));
    EXPECT_EQ(numbers.back(), world.keeper(1).fencing());
}

TEST(Takeover, ANewProcessAtThePausedHoldersAddressIsEvidence)
{
    World world = pausedBetweenCheckAndWrite();
    world.run(60);
    std::size_t before = effects(world, ignoring);
    world.restart(0);
    world.run(30);
    EXPECT_EQ(effects(world, ignoring), before + 1);
    EXPECT_TRUE(world.isAsWanted());
    EXPECT_TRUE(world.daemons[1].fold.find("p")->unsettled.empty());
}

TEST(Takeover, TwoSuccessionsDoNotForgetThePausedOne)
{
    World world = pausedBetweenCheckAndWrite();
    world.run(40);
    ASSERT_TRUE(world.keeper(1).mayOrder(world.now));
    world.daemons[1].isPaused = true;
    world.run(60);
    ASSERT_TRUE(world.keeper(2).mayOrder(world.now));
    EXPECT_EQ(world.orders(2, ignoring).block(), (Block { BlockReason::FormerHolder, { "entry-0", "entry-1" } }));
    world.daemons[1].isPaused = false;
    world.run(20);
    EXPECT_EQ(world.orders(2, ignoring).block(), (Block { BlockReason::FormerHolder, { "entry-0" } }));
}

TEST(Takeover, ALogOutageStopsChangesAndNothingIsClaimed)
{
    World world(3);
    world.run(20);
    world.isLogDown = true;
    world.run(20);
    EXPECT_EQ(world.holders(), 0U);
    world.wish.role = State::Role::Prefill;
    std::size_t before = effects(world, checking);
    world.run(600);
    EXPECT_EQ(effects(world, checking), before);
    EXPECT_EQ(world.orders(0, checking).block(), (Block { BlockReason::LeaseLapsed, {} }));
    world.isLogDown = false;
    world.run(60);
    EXPECT_EQ(world.holders(), 1U);
    EXPECT_TRUE(world.isAsWanted());
}

TEST(Takeover, NothingIsReleasedWhileAWriteIsUnanswered)
{
    World world = pausedBetweenCheckAndWrite();
    world.daemons[0].isPaused = false;
    world.daemons[0].pool.release();
    world.appends.clear();
    for (int n = 0; n < 10; ++n) {
        world.now += std::chrono::seconds(1);
        world.poll(0);
    }
    EXPECT_TRUE(world.appends.empty()) << "its checked writes may still reach the engines";
    world.run(20);
    EXPECT_TRUE(world.keeper(1).mayOrder(world.now));
    EXPECT_TRUE(world.daemons[1].pool.lease()->unsettled.empty());
}

TEST(Takeover, EnginesChangeOneAfterTheOtherWhenOnlyOneMay)
{
    PoolSettings settings;
    Time now;
    PoolOrders pool(settings, "p", { "a", "a:1", "a1" }, 1, now);
    Lease lease { { "a", "a:1", "a1" }, 0, 0, 0, false, {} };
    pool.setEngines({ { "x", true }, { "y", true } });
    pool.setCandidate(true, 0);
    pool.observeLease(nullptr, now);
    std::vector<FakeEngine> engines(2);
    std::size_t most = 0;
    for (int n = 0; n < 40; ++n, now += std::chrono::seconds(1)) {
        for (std::string const& name : std::vector<std::string> { "x", "y" })
            pool.setWish(name, { State::Role::Decode, std::nullopt, std::nullopt, std::nullopt });
        for (PoolAction const& action : pool.poll(now)) {
            if (LeaseRecord const* record = std::get_if<LeaseRecord>(&action)) {
                lease.lastId = std::holds_alternative<Claim>(*record) ? std::get<Claim>(*record).id : std::get<Renewal>(*record).leases[0].id;
                pool.observeLease(&lease, now);
                continue;
            }
            EngineCommand const& command = std::get<EngineCommand>(action);
            FakeEngine& engine = engines[command.engine == "x" ? 0 : 1];
            if (command.action.kind == EngineActionKind::Read)
                pool.observeEngine(command.engine, engine.read(now), now);
            else if (!command.action.orderId.empty())
                pool.answerOrder(command.engine, command.action.orderId, engine.write(command.action), now);
        }
        most = std::max<std::size_t>(most, (pool.find("x")->isChanging() ? 1 : 0) + (pool.find("y")->isChanging() ? 1 : 0));
        if (n % 8 == 7) {
            engines[0].finish();
            engines[1].finish();
        }
    }
    EXPECT_EQ(most, 1U);
    EXPECT_EQ(engines[0].role, State::Role::Decode);
    EXPECT_EQ(engines[1].role, State::Role::Decode);
}

TEST(Takeover, AReleasePassesTheLeaseAtOnce)
{
    World world(2);
    world.run(20);
    world.daemons[0].pool.release();
    world.run(6);
    EXPECT_TRUE(world.keeper(1).mayOrder(world.now));
    EXPECT_TRUE(world.daemons[1].fold.find("p")->unsettled.empty());
}

namespace {

std::uint64_t pick(std::uint64_t n)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, n));
}

void checkInvariants(World const& world, bool& hasClash)
{
    hasClash = hasClash || world.holders() > 1;
    RC_ASSERT(!hasClash);
    for (FakeEngine const& engine : world.engines)
        RC_ASSERT(std::is_sorted(engine.numbersInEffect.begin(), engine.numbersInEffect.end()));
}

void randomStep(World& world)
{
    std::size_t n = pick(world.daemons.size());
    switch (pick(20)) {
    case 0:
    case 1:
        world.now += std::chrono::milliseconds(100 + pick(6000));
        break;
    case 2:
        world.run(static_cast<int>(1 + pick(25)));
        break;
    case 3:
    case 4:
        world.read(n, 1 + pick(4));
        break;
    case 5:
        if (!world.appends.empty() && world.appends.size() < 50)
            world.appends.push_back(world.appends[pick(world.appends.size())]);
        break;
    case 6:
        if (!world.appends.empty())
            world.appends.erase(world.appends.begin() + static_cast<std::ptrdiff_t>(pick(world.appends.size())));
        break;
    case 7:
    case 8:
        world.deliver(pick(world.appends.size() + 1));
        break;
    case 9:
    case 10:
        world.write(n, pick(3) == 0);
        break;
    case 11:
        world.daemons[n].isPaused = !world.daemons[n].isPaused;
        break;
    case 12:
        world.restart(n);
        break;
    case 13:
        world.engines[pick(2)].crash();
        break;
    case 14:
        world.engines[pick(2)].finish();
        break;
    case 15:
        world.isLogDown = !world.isLogDown;
        break;
    case 16:
        world.wish.role = pick(2) == 0 ? State::Role::Prefill : State::Role::Decode;
        world.wish.model = pick(2) == 0 ? "m1" : "m2";
        break;
    default:
        world.poll(n);
    }
}

}

/// Whatever happens in whatever order: one daemon at most may order, the numbers of orders in effect never go
/// back at an engine of either kind, and when all is well again, the engines come to what is wanted.
RC_GTEST_PROP(Takeover, AnyInterleavingKeepsOneMasterAndHeals, ())
{
    World world(3);
    bool hasClash = false;
    int steps = *rc::gen::inRange(1, 300);
    while (steps-- > 0) {
        randomStep(world);
        checkInvariants(world, hasClash);
    }
    world.isLogDown = false;
    for (World::Daemon& daemon : world.daemons)
        daemon.isPaused = false;
    world.run(200);
    checkInvariants(world, hasClash);
    RC_ASSERT(world.holders() == 1U);
    RC_ASSERT(world.isAsWanted());
    for (World::Daemon const& daemon : world.daemons)
        RC_ASSERT(daemon.fold.snapshot() == world.daemons[0].fold.snapshot());
}

}
