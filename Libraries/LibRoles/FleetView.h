#pragma once

#include <LibCore/EnumNames.h>
#include <LibRoles/RoleSet.h>
#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

namespace Roles {

/// A point of the monotonic clock, handed in by the caller.
using Time = std::chrono::steady_clock::time_point;

/// What the holder of the lease knows of an engine's state.
enum class EngineState : std::uint8_t {
    Serving,
    Changing, ///< Draining for a change, or in it.
    Down, ///< Gone, unreachable, drained by an operator, or its orders are blocked. Never planned for.
};

inline constexpr Core::EnumNames<EngineState, 3> engineStateNames { {
    { EngineState::Serving, "serving" },
    { EngineState::Changing, "changing" },
    { EngineState::Down, "down" },
} };

/// One engine under the lease.
struct EngineView {
    std::uint32_t engine { 0 }; ///< The caller's own number for it.
    TargetRole role { TargetRole::Mixed }; ///< While changing: the role ordered.
    RoleSet allowed;
    EngineState state { EngineState::Serving };
    double changeCostSeconds { 0 }; ///< Label `change-cost`: engine-seconds charged to a change beside those out of service.
    std::uint32_t running { 0 };
    std::uint32_t waitingPromptTokens { 0 };
    /// The platform can take all engines of one group back at once; 0: this one alone may be lost.
    std::uint32_t failureDomain { 0 };
    bool isLeaving { false }; ///< Down for good: no other engine need wait for it to come back.
    bool isFresh { false }; ///< It has just come, so a change of its role takes away nothing that others count on.
    double slowness { 1 }; ///< How many times as long as others it takes for what it does now.
};

/// Prompts are counted in two classes, since long ones disturb the output of a mixed engine most.
enum class PromptClass : std::uint8_t {
    Short,
    Long,
};

inline constexpr Core::EnumNames<PromptClass, 2> promptClassNames { {
    { PromptClass::Short, "short" },
    { PromptClass::Long, "long" },
} };

/// What all entries counted of one class over a window.
struct ClassCounts {
    double requests { 0 }; ///< Offered, shed ones included: demand, not what was served.
    double promptTokens { 0 }; ///< Of these requests, less the cached prefixes that the router saw.
    double endedRequests { 0 };
    double outputTokens { 0 }; ///< Of the ended requests.
};

using MixCounts = std::array<ClassCounts, 2>; ///< Indexed by PromptClass.

/// All that a plan is made from.
struct FleetView {
    std::vector<EngineView> engines;
    MixCounts counts; ///< Since the last plan.
    double windowSeconds { 1 };
};

/// An order to make: the engine drains, changes, and serves in the role.
struct RoleChange {
    std::uint32_t engine { 0 };
    TargetRole role { TargetRole::Mixed };
    double gain { 0 }; ///< Requests expected to be gained over the horizon, cost deducted; for the log line.
};

}
