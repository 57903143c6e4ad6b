#include "Faults.h"

namespace RequestTest {

namespace {

/// Applies this fault to the next message from the target.
void onNextReply(RequestSimulation& simulation, MessageFault fault, bool isLasting = false)
{
    std::shared_ptr<bool> isDone = std::make_shared<bool>(false);
    simulation.messageFault = [fault, isDone, isLasting](NodeId from, NodeId) {
        bool applies = from == firstTarget && !*isDone;
        *isDone = *isDone || (applies && !isLasting);
        return applies ? fault : MessageFault {};
    };
}

}

std::vector<Fault> const& faults()
{
    static std::vector<Fault> const table {
        { "target_kill", [](RequestSimulation& it) { it.kill(firstTarget); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWMMMMWW" },
        { "engine_crash_and_restart", [](RequestSimulation& it) { it.restart(firstTarget); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWMMMMWW" },
        { "target_pause_and_wake", [](RequestSimulation& it) { it.pause(firstTarget, 1s); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWWWWWWW" },
        { "target_refuses", [](RequestSimulation& it) { it.refuse(firstTarget, true); }, "WWWWWWWWWW", "WWWWWWWWWW", "WWWWWWWWWW" },
        { "partition_both_ways", [](RequestSimulation& it) { it.block(homeNode, firstTarget, true); it.block(firstTarget, homeNode, true); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWMMMMWW" },
        { "partition_to_target", [](RequestSimulation& it) { it.block(homeNode, firstTarget, true); }, "WWWWWWWWWW", "WWWWMWWWWW", "WWWWMWWWWW" },
        { "partition_from_target", [](RequestSimulation& it) { it.block(firstTarget, homeNode, true); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWMMMMWW" },
        { "lost_reply_after_effect", [](RequestSimulation& it) { onNextReply(it, { .breaksConnection = true }); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWWWWWWW" },
        { "delay", [](RequestSimulation& it) { onNextReply(it, { .delay = 500ms }); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWWWWWWW" },
        { "repeat", [](RequestSimulation& it) { onNextReply(it, { .copies = 2 }, true); }, "WWWWWWWWWW", "WWWWWWWWWW", "WWWWWWWWWW" },
        { "reorder", [](RequestSimulation& it) { onNextReply(it, { .overtakenFor = 3ms }); }, "WWWWWWWWWW", "WWWWMMMWWW", "WWWWWWWWWW" },
        { "silent_connection", [](RequestSimulation& it) { it.silence(homeNode, firstTarget); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWWWWWWW" },
        { "caller_gone", [](RequestSimulation& it) { it.callerLeaves(1); }, "GGGGGGGGGW", "WWWWWWWWWW", "WWWWWWWWWW" },
        { "home_kill", [](RequestSimulation& it) { it.kill(homeNode); }, "WWWWWWWWWW", "MMMMMMMMMW", "MMMMMMMMMW" },
        { "home_restart", [](RequestSimulation& it) { it.restart(homeNode); }, "WWWWWWWWWW", "MMMMMMMMMW", "MMMMMMMMMW" },
        { "home_pause_and_wake", [](RequestSimulation& it) { it.pause(homeNode, 3s); }, "WWWWWWWWWW", "WWWWWWWWWW", "WWWWWWWWWW" },
        { "home_cut_off_from_entry", [](RequestSimulation& it) { it.block(homeNode, otherEntry, true); it.block(otherEntry, homeNode, true); }, "WWWWWWWWWW", "WWWWWWWWWW", "WWWWWWWWWW" },
        { "entry_kill", [](RequestSimulation& it) { it.kill(otherEntry); }, "WWWWWWWWWW", "WWWWWWWWWW", "WWWWWWWWWW" },
        { "forced_shutdown", [](RequestSimulation& it) { it.shutDown(homeNode); }, "NNNNMMMMWW", "NNNNMMMMWW", "NNNNMMMMWW" },
    };
    return table;
}

std::unique_ptr<RequestSimulation> runFault(Kind kind, std::size_t step, Fault const& fault, Fault const* second)
{
    std::unique_ptr<RequestSimulation> simulation = std::make_unique<RequestSimulation>(3, 3);
    bool hasStruck = false;
    simulation->onStep = [&](Step reached, int) {
        if (hasStruck || reached != static_cast<Step>(step))
            return;
        hasStruck = true;
        fault.inject(*simulation);
    };
    simulation->start(1, kind, homeNode, kind == Kind::RepeatableStream ? homeNode : otherEntry);
    if (second != nullptr) {
        simulation->run(30ms);
        second->inject(*simulation);
    }
    simulation->run(60s);
    simulation->onStep = {};
    return simulation;
}

}
