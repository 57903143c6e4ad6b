#include "Faults.h"
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace {

using namespace TestWorld;

constexpr int daemonCount = 4;
constexpr int targetCount = 3;

NodeId anyNode()
{
    int n = *rc::gen::inRange(0, daemonCount + targetCount);
    return n < daemonCount ? n : firstTarget + n - daemonCount;
}

/// Injects one random fault.
void strike(World& world, int calls)
{
    NodeId node = anyNode();
    NodeId other = anyNode();
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
        world.kill(node);
        break;
    case 1:
        world.restart(node);
        break;
    case 2:
        world.pause(node, Millis(*rc::gen::inRange(1, 4000)));
        break;
    case 3:
        world.block(node, other, true);
        break;
    case 4:
        world.block(node, other, false);
        break;
    case 5:
        world.silence(node, other);
        break;
    case 6:
        world.callerLeaves(*rc::gen::inRange(1, calls + 1));
        break;
    case 7:
        world.refuse(firstTarget, *rc::gen::inRange(0, 2) == 1);
        break;
    default:
        if (node < firstTarget)
            world.shutDown(node);
        break;
    }
}

/// Drops, duplicates, delays and reorders a fraction of all messages.
std::function<Fate(NodeId, NodeId)> randomFate(unsigned seed, int percent)
{
    std::shared_ptr<std::mt19937_64> random = std::make_shared<std::mt19937_64>(seed);
    return [random, percent](NodeId, NodeId) {
        Fate fate;
        if (static_cast<int>((*random)() % 100) >= percent)
            return fate;
        switch ((*random)() % 4) {
        case 0:
            fate.breaksConnection = true;
            break;
        case 1:
            fate.copies = 2;
            break;
        case 2:
            fate.delay = Millis((*random)() % 600);
            break;
        default:
            fate.overtakenFor = Millis((*random)() % 600);
            break;
        }
        return fate;
    };
}

}

RC_GTEST_PROP(RandomFaults, LeaveEveryPromiseStanding, ())
{
    World world(daemonCount, targetCount);
    world.callersInsist = *rc::gen::inRange(0, 2) == 1;
    world.fate = randomFate(*rc::gen::arbitrary<unsigned>(), *rc::gen::element(0, 5, 20, 50));
    int calls = *rc::gen::inRange(1, 7);
    for (int call = 1; call <= calls; ++call) {
        Kind kind = *rc::gen::element(Kind::RepeatableStream, Kind::ServiceOnce, Kind::EngineOnce);
        world.start(call, kind, *rc::gen::inRange(0, daemonCount), *rc::gen::inRange(0, daemonCount));
    }
    int strikes = *rc::gen::inRange(0, 8);
    for (int i = 0; i < strikes; ++i) {
        // Without faults, a request takes place mostly within 30 ms.
        world.run(Millis(*rc::gen::oneOf(rc::gen::inRange(0, 10), rc::gen::inRange(0, 3000))));
        strike(world, calls);
    }
    world.run(80s);
    std::string violations = world.violations();
    if (!violations.empty())
        RC_FAIL(violations);
}

TEST(RandomFaults, TheSameFaultsGiveTheSameOutcome)
{
    std::vector<std::string> outcomes;
    for (int run = 0; run < 2; ++run) {
        World world(daemonCount, targetCount);
        world.fate = randomFate(7, 50);
        std::string outcome;
        for (int call = 1; call <= 50; ++call)
            world.start(call, static_cast<Kind>(call % 3), call % daemonCount, call % 3);
        world.run(80s);
        for (int call = 1; call <= 50; ++call)
            outcome += world.outcome(call);
        outcomes.push_back(outcome);
    }
    EXPECT_EQ(outcomes[0], outcomes[1]);
}

TEST(RetryLoad, StaysATenthOverTheRequestsWhenEveryTargetIsGone)
{
    World world(1, targetCount);
    for (int i = 0; i < targetCount; ++i)
        world.kill(firstTarget + i);
    constexpr int calls = 2000;
    for (int call = 1; call <= calls; ++call)
        world.start(call, Kind::RepeatableStream, 0, 0);
    world.run(80s);
    EXPECT_EQ(world.violations(), "");
    EXPECT_LE(world.dispatches(), calls + calls / 10 + 20 + 1);
    EXPECT_GE(world.dispatches(), calls + 20) << "retries were made at all";
}

TEST(MayHaveRun, IsToldOnlyOfWhatWasUnderWayAtTheKilledHome)
{
    constexpr int daemons = 8;
    constexpr int calls = 4000;
    World world(daemons, targetCount);
    std::set<int> underWay;
    world.onStep = [&underWay](Step step, int call) {
        if (step == Step::Received)
            underWay.insert(call);
        if (step == Step::Collected)
            underWay.erase(call);
    };
    std::set<int> atKill;
    for (int call = 1; call <= calls; ++call) {
        if (call % 4 == 0)
            world.run(1ms);
        if (call == calls / 2) {
            world.kill(0);
            for (int it : underWay) {
                if (it % daemons == 0)
                    atKill.insert(it);
            }
        }
        // A caller that finds an address unreachable uses the next one and gets a ticket there.
        NodeId home = call >= calls / 2 && call % daemons == 0 ? 1 : call % daemons;
        world.start(call, Kind::ServiceOnce, home, home);
    }
    world.run(80s);
    EXPECT_EQ(world.violations(), "");
    int mayHaveRun = 0;
    for (int call = 1; call <= calls; ++call) {
        mayHaveRun += world.outcome(call) == 'M' ? 1 : 0;
        EXPECT_TRUE(world.outcome(call) == 'W' || atKill.contains(call)) << call;
    }
    RecordProperty("may_have_run", mayHaveRun);
    EXPECT_GT(mayHaveRun, 0);
}
