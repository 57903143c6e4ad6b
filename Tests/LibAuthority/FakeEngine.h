#pragma once

#include <LibAuthority/EngineOrders.h>
#include <string>
#include <vector>

namespace Authority {

/// An engine that changes and crashes under the control of a test, with or without fencing checks.
struct FakeEngine {
    bool checksFencing { false };
    std::uint64_t fencing { 0 };
    std::uint64_t incarnation { 1 };
    State::Role role { State::Role::Mixed };
    std::string model { "m1" };
    EnginePhase phase { EnginePhase::Serving };
    DesiredEngineState target; ///< Desired state of the change in progress.
    std::uint32_t running { 0 };
    std::vector<std::uint64_t> appliedFencingTokens; ///< Of each order that changed the engine or started to.
    std::size_t loads { 0 };

    EngineState read(Time now) const
    {
        return { std::to_string(incarnation), fencing, role, model, "", "v1", phase, running, now, now };
    }

    OrderOutcome write(EngineAction const& action)
    {
        if (checksFencing && action.fencing < fencing)
            return OrderOutcome::StaleFencing;
        if (checksFencing)
            fencing = action.fencing;
        if (action.kind != EngineActionKind::Order || isSatisfied(action.desired, read({})))
            return OrderOutcome::Accepted;
        appliedFencingTokens.push_back(action.fencing);
        target = action.desired;
        phase = EnginePhase::Changing;
        return OrderOutcome::Accepted;
    }

    /// Completes the change in progress.
    void finish()
    {
        if (phase == EnginePhase::Serving)
            return;
        loads += needsLoad(target, read({})) ? 1 : 0;
        role = target.role.value_or(role);
        model = target.model.value_or(model);
        phase = EnginePhase::Serving;
    }

    /// Restarts with the state from before the change; the highest fencing token that it has seen is kept.
    void crash()
    {
        ++incarnation;
        phase = EnginePhase::Serving;
        running = 0;
    }
};

}
