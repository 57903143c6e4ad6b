#include "Faults.h"

namespace TestWorld {

namespace {

/// Applies this fault to the next message from the target.
void onNextReply(World& world, Fate fate, bool isLasting = false)
{
    std::shared_ptr<bool> isDone = std::make_shared<bool>(false);
    world.fate = [fate, isDone, isLasting](NodeId from, NodeId) {
        bool applies = from == firstTarget && !*isDone;
        *isDone = *isDone || (applies && !isLasting);
        return applies ? fate : Fate {};
    };
}

}

std::vector<Fault> const& faults()
{
    static std::vector<Fault> const table {
        { "target_kill", [](World& it) { it.kill(firstTarget); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWMMMMWW" },
        { "engine_crash_and_restart", [](World& it) { it.restart(firstTarget); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWMMMMWW" },
        { "target_pause_and_wake", [](World& it) { it.pause(firstTarget, 1s); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWWWWWWW" },
        { "target_refuses", [](World& it) { it.refuse(firstTarget, true); }, "WWWWWWWWWW", "WWWWWWWWWW", "WWWWWWWWWW" },
        { "partition_both_ways", [](World& it) { it.block(homeNode, firstTarget, true); it.block(firstTarget, homeNode, true); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWMMMMWW" },
        { "partition_to_target", [](World& it) { it.block(homeNode, firstTarget, true); }, "WWWWWWWWWW", "WWWWMWWWWW", "WWWWMWWWWW" },
        { "partition_from_target", [](World& it) { it.block(firstTarget, homeNode, true); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWMMMMWW" },
        { "lost_reply_after_effect", [](World& it) { onNextReply(it, { .breaksConnection = true }); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWWWWWWW" },
        { "delay", [](World& it) { onNextReply(it, { .delay = 500ms }); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWWWWWWW" },
        { "repeat", [](World& it) { onNextReply(it, { .copies = 2 }, true); }, "WWWWWWWWWW", "WWWWWWWWWW", "WWWWWWWWWW" },
        { "reorder", [](World& it) { onNextReply(it, { .overtakenFor = 3ms }); }, "WWWWWWWWWW", "WWWWMMMWWW", "WWWWWWWWWW" },
        { "silent_connection", [](World& it) { it.silence(homeNode, firstTarget); }, "WWWWWWWWWW", "WWWWMMMMWW", "WWWWWWWWWW" },
        { "caller_gone", [](World& it) { it.callerLeaves(1); }, "GGGGGGGGGW", "WWWWWWWWWW", "WWWWWWWWWW" },
        { "home_kill", [](World& it) { it.kill(homeNode); }, "WWWWWWWWWW", "MMMMMMMMMW", "MMMMMMMMMW" },
        { "home_restart", [](World& it) { it.restart(homeNode); }, "WWWWWWWWWW", "MMMMMMMMMW", "MMMMMMMMMW" },
        { "home_pause_and_wake", [](World& it) { it.pause(homeNode, 3s); }, "WWWWWWWWWW", "WWWWWWWWWW", "WWWWWWWWWW" },
        { "home_cut_off_from_entry", [](World& it) { it.block(homeNode, otherEntry, true); it.block(otherEntry, homeNode, true); }, "WWWWWWWWWW", "WWWWWWWWWW", "WWWWWWWWWW" },
        { "entry_kill", [](World& it) { it.kill(otherEntry); }, "WWWWWWWWWW", "WWWWWWWWWW", "WWWWWWWWWW" },
        { "forced_shutdown", [](World& it) { it.shutDown(homeNode); }, "NNNNMMMMWW", "NNNNMMMMWW", "NNNNMMMMWW" },
    };
    return table;
}

std::unique_ptr<World> runFault(Kind kind, std::size_t step, Fault const& fault, Fault const* second)
{
    std::unique_ptr<World> world = std::make_unique<World>(3, 3);
    bool hasStruck = false;
    world->onStep = [&](Step reached, int) {
        if (hasStruck || reached != static_cast<Step>(step))
            return;
        hasStruck = true;
        fault.strike(*world);
    };
    world->start(1, kind, homeNode, kind == Kind::RepeatableStream ? homeNode : otherEntry);
    if (second != nullptr) {
        world->run(30ms);
        second->strike(*world);
    }
    world->run(60s);
    world->onStep = {};
    return world;
}

}
