#pragma once

#include <LibCore/EnumNames.h>
#include <LibRoles/RoleSet.h>
#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

namespace Roles {

/// A monotonic time point, passed in by the caller.
using Time = std::chrono::steady_clock::time_point;

/// The state of an engine as known to the lease holder.
enum class EngineState : std::uint8_t {
    Serving,
    Changing, ///< Draining before a role change, or changing its role.
    Down, ///< Terminated, unreachable, drained by an operator, or its orders are blocked. Not part of any plan.
};

inline constexpr Core::EnumNames<EngineState, 3> engineStateNames { {
    { EngineState::Serving, "serving" },
    { EngineState::Changing, "changing" },
    { EngineState::Down, "down" },
} };

/// One engine managed by the lease holder.
struct EngineView {
    std::uint32_t engine { 0 }; ///< Identifier assigned by the caller.
    TargetRole role { TargetRole::Mixed }; ///< The target role while changing.
    RoleSet allowed;
    EngineState state { EngineState::Serving };
    double changeCostSeconds { 0 }; ///< Label `change-cost`: engine-seconds charged per change in addition to its downtime.
    std::uint32_t running { 0 };
    std::uint32_t waitingPromptTokens { 0 };
    /// The platform may reclaim all engines of one failure domain at once; 0: the engine can only be lost alone.
    std::uint32_t failureDomain { 0 };
    bool isLeaving { false }; ///< Permanently down, so it can be replaced without waiting for its return.
    bool isFresh { false }; ///< Started recently, so no requests depend on its current role yet.
    std::uint32_t release { 0 }; ///< Equal for engines whose streams may go on at each other.
    double slowness { 1 }; ///< Processing time relative to other engines for its current work.
    std::uint64_t key { 0 }; ///< Identifies the engine's process, also in later views.
};

/// Prompts are counted in two classes because long ones delay decoding on a mixed engine most.
enum class PromptClass : std::uint8_t {
    Short,
    Long,
};

inline constexpr Core::EnumNames<PromptClass, 2> promptClassNames { {
    { PromptClass::Short, "short" },
    { PromptClass::Long, "long" },
} };

/// Counts of one prompt class over a window, summed over all entries.
struct ClassCounts {
    double requests { 0 }; ///< Requests received, including shed ones: the demand, not the throughput.
    double promptTokens { 0 }; ///< Of these requests, without the cached prefixes known to the router.
    double endedRequests { 0 };
    double outputTokens { 0 }; ///< Of the ended requests.
};

using MixCounts = std::array<ClassCounts, 2>; ///< Indexed by PromptClass.

/// The input of a plan.
struct FleetView {
    std::vector<EngineView> engines;
    MixCounts counts; ///< Since the last plan.
    double windowSeconds { 1 };
};

/// An order for an engine to drain, change and serve in another role.
struct RoleChange {
    std::uint32_t engine { 0 };
    TargetRole role { TargetRole::Mixed };
    double gain { 0 }; ///< Expected additional requests over the horizon, net of the cost; for the log.
};

}
