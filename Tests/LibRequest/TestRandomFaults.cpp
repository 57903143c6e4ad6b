#include "Faults.h"
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace {

using namespace RequestTest;

constexpr int daemonCount = 4;
constexpr int targetCount = 3;

NodeId anyNode()
{
    int n = *rc::gen::inRange(0, daemonCount + targetCount);
    return n < daemonCount ? n : firstTarget + n - daemonCount;
}

/// Injects one random fault.
void inject(RequestSimulation& simulation, int calls)
{
    NodeId node = anyNode();
    NodeId other = anyNode();
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
        simulation.kill(node);
        break;
    case 1:
        simulation.restart(node);
        break;
    case 2:
        simulation.pause(node, Millis(*rc::gen::inRange(1, 4000)));
        break;
    case 3:
        simulation.block(node, other, true);
        break;
    case 4:
        simulation.block(node, other, false);
        break;
    case 5:
        simulation.silence(node, other);
        break;
    case 6:
        simulation.callerLeaves(*rc::gen::inRange(1, calls + 1));
        break;
    case 7:
        simulation.refuse(firstTarget, *rc::gen::inRange(0, 2) == 1);
        break;
    default:
        if (node < firstTarget)
            simulation.shutDown(node);
        break;
    }
}

/// Drops, duplicates, delays and reorders a fraction of all messages.
std::function<MessageFault(NodeId, NodeId)> randomMessageFaults(unsigned seed, int percent)
{
    std::shared_ptr<std::mt19937_64> random = std::make_shared<std::mt19937_64>(seed);
    return [random, percent](NodeId, NodeId) {
        MessageFault fault;
        if (static_cast<int>((*random)() % 100) >= percent)
            return fault;
        switch ((*random)() % 4) {
        case 0:
            fault.breaksConnection = true;
            break;
        case 1:
            fault.copies = 2;
            break;
        case 2:
            fault.delay = Millis((*random)() % 600);
            break;
        default:
            fault.overtakenFor = Millis((*random)() % 600);
            break;
        }
        return fault;
    };
}

}

RC_GTEST_PROP(RandomFaults, LeaveEveryPromiseStanding, ())
{
    RequestSimulation simulation(daemonCount, targetCount);
    simulation.callersInsist = *rc::gen::inRange(0, 2) == 1;
    simulation.messageFault = randomMessageFaults(*rc::gen::arbitrary<unsigned>(), *rc::gen::element(0, 5, 20, 50));
    int calls = *rc::gen::inRange(1, 7);
    for (int call = 1; call <= calls; ++call) {
        Kind kind = *rc::gen::element(Kind::RepeatableStream, Kind::ServiceOnce, Kind::EngineOnce);
        simulation.start(call, kind, *rc::gen::inRange(0, daemonCount), *rc::gen::inRange(0, daemonCount));
    }
    int strikes = *rc::gen::inRange(0, 8);
    for (int i = 0; i < strikes; ++i) {
        // Without faults, a request takes place mostly within 30 ms.
        simulation.run(Millis(*rc::gen::oneOf(rc::gen::inRange(0, 10), rc::gen::inRange(0, 3000))));
        inject(simulation, calls);
    }
    simulation.run(80s);
    std::string violations = simulation.violations();
    if (!violations.empty())
        RC_FAIL(violations);
}

TEST(RandomFaults, TheSameFaultsGiveTheSameOutcome)
{
    std::vector<std::string> outcomes;
    for (int run = 0; run < 2; ++run) {
        RequestSimulation simulation(daemonCount, targetCount);
        simulation.messageFault = randomMessageFaults(7, 50);
        std::string outcome;
        for (int call = 1; call <= 50; ++call)
            simulation.start(call, static_cast<Kind>(call % 3), call % daemonCount, call % 3);
        simulation.run(80s);
        for (int call = 1; call <= 50; ++call)
            outcome += simulation.outcome(call);
        outcomes.push_back(outcome);
    }
    EXPECT_EQ(outcomes[0], outcomes[1]);
}

TEST(RetryLoad, StaysATenthOverTheRequestsWhenEveryTargetIsGone)
{
    RequestSimulation simulation(1, targetCount);
    for (int i = 0; i < targetCount; ++i)
        simulation.kill(firstTarget + i);
    constexpr int calls = 2000;
    for (int call = 1; call <= calls; ++call)
        simulation.start(call, Kind::RepeatableStream, 0, 0);
    simulation.run(80s);
    EXPECT_EQ(simulation.violations(), "");
    EXPECT_LE(simulation.dispatches(), calls + calls / 10 + 20 + 1);
    EXPECT_GE(simulation.dispatches(), calls + 20) << "retries were made at all";
}

TEST(MayHaveRun, IsToldOnlyOfWhatWasUnderWayAtTheKilledHome)
{
    constexpr int daemons = 8;
    constexpr int calls = 4000;
    RequestSimulation simulation(daemons, targetCount);
    std::set<int> underWay;
    simulation.onStep = [&underWay](Step step, int call) {
        if (step == Step::Received)
            underWay.insert(call);
        if (step == Step::Collected)
            underWay.erase(call);
    };
    std::set<int> atKill;
    for (int call = 1; call <= calls; ++call) {
        if (call % 4 == 0)
            simulation.run(1ms);
        if (call == calls / 2) {
            simulation.kill(0);
            for (int it : underWay) {
                if (it % daemons == 0)
                    atKill.insert(it);
            }
        }
        // A caller that finds an address unreachable uses the next one and gets a ticket there.
        NodeId home = call >= calls / 2 && call % daemons == 0 ? 1 : call % daemons;
        simulation.start(call, Kind::ServiceOnce, home, home);
    }
    simulation.run(80s);
    EXPECT_EQ(simulation.violations(), "");
    int mayHaveRun = 0;
    for (int call = 1; call <= calls; ++call) {
        mayHaveRun += simulation.outcome(call) == 'M' ? 1 : 0;
        EXPECT_TRUE(simulation.outcome(call) == 'W' || atKill.contains(call)) << call;
    }
    RecordProperty("may_have_run", mayHaveRun);
    EXPECT_GT(mayHaveRun, 0);
}
