#include "Network.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using MembershipTest::Network;
using namespace std::chrono_literals;

namespace {

/// One step of a schedule of faults; `first` and `second` choose nodes.
struct Step {
    int kind { 0 };
    std::size_t first { 0 };
    std::size_t second { 0 };
    int seconds { 0 };
};

std::ostream& operator<<(std::ostream& out, Step const& step)
{
    return out << "{ " << step.kind << ", " << step.first << ", " << step.second << ", " << step.seconds << " }";
}

rc::Gen<Step> steps()
{
    return rc::gen::build<Step>(
        rc::gen::set(&Step::kind, rc::gen::inRange(0, 9)),
        rc::gen::set(&Step::first, rc::gen::inRange<std::size_t>(0, 9)),
        rc::gen::set(&Step::second, rc::gen::inRange<std::size_t>(0, 9)),
        rc::gen::set(&Step::seconds, rc::gen::inRange(0, 20)));
}

void act(Network& network, Step const& step, std::set<std::pair<std::size_t, std::size_t>>& cuts)
{
    std::size_t const i = step.first;
    switch (step.kind) {
    case 0:
        network.kill(i, step.second % 2 == 0);
        break;
    case 1:
        network.kill(i);
        network.start(i);
        break;
    case 2:
        if (network[i].isUp)
            network.pause(i);
        break;
    case 3:
        if (network[i].isUp && network[i].isPaused)
            network.wake(i);
        break;
    case 4:
        cuts.emplace(i, step.second);
        break;
    case 5:
        for (std::size_t other = 0; other < network.size(); ++other) {
            cuts.emplace(i, other);
            if (step.second % 2 == 0)
                cuts.emplace(other, i);
        }
        break;
    case 6:
        network.loss = 0.02 * static_cast<double>(step.second);
        break;
    case 7:
        network.list.erase(network.list.begin() + static_cast<std::ptrdiff_t>(step.second % network.list.size()));
        if (network.list.empty())
            network.listAll();
        network.publishListTo(i);
        break;
    default:
        cuts.clear();
        break;
    }
    network.run(std::chrono::seconds(step.seconds));
}

}

RC_GTEST_PROP(Schedules, ConvergesAfterArbitraryFaults, ())
{
    Network network(*rc::gen::inRange<std::uint64_t>(0, 1'000'000));
    MembershipTest::build(network, 9);
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    network.isCut = [&cuts](std::size_t from, std::size_t to) { return cuts.contains({ from, to }); };
    network.startAll();
    for (Step const& step : *rc::gen::container<std::vector<Step>>(steps()))
        act(network, step, cuts);
    // All faults end: the list is complete, partitions and loss stop, paused daemons resume. Stopped daemons stay down.
    cuts.clear();
    network.loss = 0;
    for (std::size_t i = 0; i < network.size(); ++i) {
        if (network[i].isUp && network[i].isPaused)
            network.wake(i);
    }
    network.listAll();
    network.publishList();
    network.run(90s);
    RC_ASSERT(network.isConverged());
    for (std::size_t i = 0; i < network.size(); ++i)
        RC_ASSERT(!network[i].isUp || network[i].protocol->supersededBy() == 0);
}
