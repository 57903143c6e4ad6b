#include "PoolSimulation.h"
#include <gtest/gtest.h>

#include <algorithm>
#include <rapidcheck/gtest.h>

namespace Authority {

namespace {

constexpr std::size_t fencedEngine = 0;
constexpr std::size_t unfencedEngine = 1;

/// Pauses daemon 0, the lease holder, after the lease check and before the write to both engines.
PoolSimulation pauseBetweenCheckAndWrite()
{
    PoolSimulation simulation(3);
    simulation.run(20);
    simulation.desired.role = State::Role::Prefill;
    for (int n = 0; n < 50 && simulation.daemons[0].pendingWrites.size() < 2; ++n) {
        simulation.now += std::chrono::milliseconds(200);
        simulation.poll(0);
    }
    simulation.daemons[0].isPaused = true;
    return simulation;
}

std::size_t appliedOrders(PoolSimulation const& simulation, std::size_t engine)
{
    return simulation.engines[engine].appliedFencingTokens.size();
}

}

TEST(Takeover, AllEnginesReachTheDesiredState)
{
    PoolSimulation simulation(3);
    simulation.run(20);
    EXPECT_TRUE(simulation.keeper(0).mayOrder(simulation.now));
    EXPECT_TRUE(simulation.isConverged());
    EXPECT_EQ(appliedOrders(simulation, fencedEngine), 1U);
    EXPECT_EQ(appliedOrders(simulation, unfencedEngine), 1U);
}

TEST(Takeover, APausedHoldersWriteIsRefusedByAnEngineThatChecks)
{
    PoolSimulation simulation = pauseBetweenCheckAndWrite();
    ASSERT_EQ(simulation.daemons[0].pendingWrites.size(), 2U);
    simulation.desired.role = State::Role::Mixed;
    simulation.run(60);
    ASSERT_TRUE(simulation.keeper(1).mayOrder(simulation.now));
    std::uint64_t raised = simulation.engines[fencedEngine].fencing;
    EXPECT_EQ(raised, simulation.keeper(1).fencing());
    std::vector<std::uint64_t> before = simulation.engines[fencedEngine].appliedFencingTokens;
    simulation.daemons[0].isPaused = false;
    simulation.write(0);
    simulation.write(0);
    EXPECT_EQ(simulation.engines[fencedEngine].appliedFencingTokens, before);
    EXPECT_EQ(simulation.engines[fencedEngine].fencing, raised);
    EXPECT_TRUE(simulation.orders(0, fencedEngine).isRefused());
}

TEST(Takeover, AnEngineThatDoesNotCheckGetsNoOrderWhileThePausedHolderMayResume)
{
    PoolSimulation simulation = pauseBetweenCheckAndWrite();
    simulation.desired.role = State::Role::Mixed;
    std::size_t before = appliedOrders(simulation, unfencedEngine);
    simulation.run(100'000);
    EXPECT_EQ(appliedOrders(simulation, unfencedEngine), before) << "no order after more than a day";
    EngineOrders const& orders = simulation.orders(1, unfencedEngine);
    EXPECT_EQ(orders.block(), (Block { BlockReason::FormerHolder, { "entry-0" } }));
    // When it resumes, its write conflicts with no other, and its successor sends orders only after its acknowledgement.
    simulation.daemons[0].isPaused = false;
    simulation.run(100);
    EXPECT_TRUE(simulation.isConverged());
    std::vector<std::uint64_t> const& tokens = simulation.engines[unfencedEngine].appliedFencingTokens;
    EXPECT_TRUE(std::is_sorted(tokens.begin(), tokens.end()));
    EXPECT_EQ(tokens.back(), simulation.keeper(1).fencing());
}

TEST(Takeover, ANewProcessAtThePausedHoldersAddressIsEvidence)
{
    PoolSimulation simulation = pauseBetweenCheckAndWrite();
    simulation.run(60);
    std::size_t before = appliedOrders(simulation, unfencedEngine);
    simulation.restart(0);
    simulation.run(30);
    EXPECT_EQ(appliedOrders(simulation, unfencedEngine), before + 1);
    EXPECT_TRUE(simulation.isConverged());
    EXPECT_TRUE(simulation.daemons[1].fold.find("p")->unsettled.empty());
}

TEST(Takeover, ThePausedHolderStaysUnsettledThroughTwoSuccessions)
{
    PoolSimulation simulation = pauseBetweenCheckAndWrite();
    simulation.run(40);
    ASSERT_TRUE(simulation.keeper(1).mayOrder(simulation.now));
    simulation.daemons[1].isPaused = true;
    simulation.run(60);
    ASSERT_TRUE(simulation.keeper(2).mayOrder(simulation.now));
    EXPECT_EQ(simulation.orders(2, unfencedEngine).block(), (Block { BlockReason::FormerHolder, { "entry-0", "entry-1" } }));
    simulation.daemons[1].isPaused = false;
    simulation.run(20);
    EXPECT_EQ(simulation.orders(2, unfencedEngine).block(), (Block { BlockReason::FormerHolder, { "entry-0" } }));
}

TEST(Takeover, ALogOutageStopsChangesAndNothingIsClaimed)
{
    PoolSimulation simulation(3);
    simulation.run(20);
    simulation.isLogDown = true;
    simulation.run(20);
    EXPECT_EQ(simulation.holders(), 0U);
    simulation.desired.role = State::Role::Prefill;
    std::size_t before = appliedOrders(simulation, fencedEngine);
    simulation.run(600);
    EXPECT_EQ(appliedOrders(simulation, fencedEngine), before);
    EXPECT_EQ(simulation.orders(0, fencedEngine).block(), (Block { BlockReason::LeaseLapsed, {} }));
    simulation.isLogDown = false;
    simulation.run(60);
    EXPECT_EQ(simulation.holders(), 1U);
    EXPECT_TRUE(simulation.isConverged());
}

TEST(Takeover, NothingIsReleasedWhileAWriteIsUnanswered)
{
    PoolSimulation simulation = pauseBetweenCheckAndWrite();
    simulation.daemons[0].isPaused = false;
    simulation.daemons[0].pool.release();
    simulation.appends.clear();
    for (int n = 0; n < 10; ++n) {
        simulation.now += std::chrono::seconds(1);
        simulation.poll(0);
    }
    EXPECT_TRUE(simulation.appends.empty()) << "its pending writes may still reach the engines";
    simulation.run(20);
    EXPECT_TRUE(simulation.keeper(1).mayOrder(simulation.now));
    EXPECT_TRUE(simulation.daemons[1].pool.lease()->unsettled.empty());
}

TEST(Takeover, EnginesChangeOneAtATimeWithALimitOfOne)
{
    PoolSettings settings;
    Time now;
    PoolOrders pool(settings, "p", { "a", "a:1", "a1" }, 1, now);
    Lease lease { { "a", "a:1", "a1" }, 0, 0, 0, false, {} };
    pool.setEngines({ { "x", true }, { "y", true } });
    pool.setCandidate(true, 0);
    pool.observeLease(nullptr, now);
    std::vector<FakeEngine> engines(2);
    std::size_t maximumChanging = 0;
    for (int n = 0; n < 40; ++n, now += std::chrono::seconds(1)) {
        for (std::string const& name : std::vector<std::string> { "x", "y" })
            pool.setDesiredState(name, { State::Role::Decode, std::nullopt, std::nullopt, std::nullopt });
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
                pool.recordOrderOutcome(command.engine, command.action.orderId, engine.write(command.action), now);
        }
        maximumChanging = std::max<std::size_t>(maximumChanging, (pool.find("x")->isChanging() ? 1 : 0) + (pool.find("y")->isChanging() ? 1 : 0));
        if (n % 8 == 7) {
            engines[0].finish();
            engines[1].finish();
        }
    }
    EXPECT_EQ(maximumChanging, 1U);
    EXPECT_EQ(engines[0].role, State::Role::Decode);
    EXPECT_EQ(engines[1].role, State::Role::Decode);
}

TEST(Takeover, AReleasePassesTheLeaseAtOnce)
{
    PoolSimulation simulation(2);
    simulation.run(20);
    simulation.daemons[0].pool.release();
    simulation.run(6);
    EXPECT_TRUE(simulation.keeper(1).mayOrder(simulation.now));
    EXPECT_TRUE(simulation.daemons[1].fold.find("p")->unsettled.empty());
}

namespace {

std::uint64_t pick(std::uint64_t n)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, n));
}

void checkInvariants(PoolSimulation const& simulation, bool& hadConcurrentHolders)
{
    hadConcurrentHolders = hadConcurrentHolders || simulation.holders() > 1;
    RC_ASSERT(!hadConcurrentHolders);
    for (FakeEngine const& engine : simulation.engines)
        RC_ASSERT(std::is_sorted(engine.appliedFencingTokens.begin(), engine.appliedFencingTokens.end()));
}

void randomStep(PoolSimulation& simulation)
{
    std::size_t n = pick(simulation.daemons.size());
    switch (pick(20)) {
    case 0:
    case 1:
        simulation.now += std::chrono::milliseconds(100 + pick(6000));
        break;
    case 2:
        simulation.run(static_cast<int>(1 + pick(25)));
        break;
    case 3:
    case 4:
        simulation.read(n, 1 + pick(4));
        break;
    case 5:
        if (!simulation.appends.empty() && simulation.appends.size() < 50)
            simulation.appends.push_back(simulation.appends[pick(simulation.appends.size())]);
        break;
    case 6:
        if (!simulation.appends.empty())
            simulation.appends.erase(simulation.appends.begin() + static_cast<std::ptrdiff_t>(pick(simulation.appends.size())));
        break;
    case 7:
    case 8:
        simulation.deliver(pick(simulation.appends.size() + 1));
        break;
    case 9:
    case 10:
        simulation.write(n, pick(3) == 0);
        break;
    case 11:
        simulation.daemons[n].isPaused = !simulation.daemons[n].isPaused;
        break;
    case 12:
        simulation.restart(n);
        break;
    case 13:
        simulation.engines[pick(2)].crash();
        break;
    case 14:
        simulation.engines[pick(2)].finish();
        break;
    case 15:
        simulation.isLogDown = !simulation.isLogDown;
        break;
    case 16:
        simulation.desired.role = pick(2) == 0 ? State::Role::Prefill : State::Role::Decode;
        simulation.desired.model = pick(2) == 0 ? "m1" : "m2";
        break;
    default:
        simulation.poll(n);
    }
}

}

/// With random events and faults: at most one daemon may send orders, the fencing tokens of applied orders never decrease at an
/// engine of either kind, and after the faults end, the engines converge to the desired state.
RC_GTEST_PROP(Takeover, AnyInterleavingKeepsOneMasterAndHeals, ())
{
    PoolSimulation simulation(3);
    bool hadConcurrentHolders = false;
    int steps = *rc::gen::inRange(1, 300);
    while (steps-- > 0) {
        randomStep(simulation);
        checkInvariants(simulation, hadConcurrentHolders);
    }
    simulation.isLogDown = false;
    for (PoolSimulation::Daemon& daemon : simulation.daemons)
        daemon.isPaused = false;
    simulation.run(200);
    checkInvariants(simulation, hadConcurrentHolders);
    RC_ASSERT(simulation.holders() == 1U);
    RC_ASSERT(simulation.isConverged());
    for (PoolSimulation::Daemon const& daemon : simulation.daemons)
        RC_ASSERT(daemon.fold.snapshot() == simulation.daemons[0].fold.snapshot());
}

}
