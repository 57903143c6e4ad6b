#pragma once

#include <LibAuthority/EngineOrders.h>
#include <string>
#include <vector>

namespace Authority {

/// An engine that drains, changes, crashes and checks numbers, or not, when it is told to.
struct FakeEngine {
    bool checksFencing { false };
    std::uint64_t fencing { 0 };
    std::uint64_t incarnation { 1 };
    State::Role role { State::Role::Mixed };
    std::string model { "m1" };
    EnginePhase phase { EnginePhase::Serving };
    EngineWish target; ///< Of the change under way.
    std::uint32_t running { 0 };
    std::vector<std::uint64_t> numbersInEffect; ///< Of each order that changed something or was about to.
    std::size_t loads { 0 };

    EngineState read(Time now) const
    {
        return { std::to_string(incarnation), fencing, role, model, "", "v1", phase, running, now, now };
    }

    OrderAnswer write(EngineAction const& action)
    {
        if (checksFencing && action.fencing < fencing)
            return OrderAnswer::HigherNumber;
        if (checksFencing)
            fencing = action.fencing;
        if (action.kind != EngineActionKind::Order || isMet(action.wish, read({})))
            return OrderAnswer::Accepted;
        numbersInEffect.push_back(action.fencing);
        target = action.wish;
        phase = EnginePhase::Changing;
        return OrderAnswer::Accepted;
    }

    /// The change under way comes to its end.
    void finish()
    {
        if (phase == EnginePhase::Serving)
            return;
        loads += needsLoad(target, read({})) ? 1 : 0;
        role = target.role.value_or(role);
        model = target.model.value_or(model);
        phase = EnginePhase::Serving;
    }

    /// It restarts as it was before the change; the highest number that it saw is kept.
    void crash()
    {
        ++incarnation;
        phase = EnginePhase::Serving;
        running = 0;
    }
};

}
