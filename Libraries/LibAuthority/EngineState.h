#pragma once

#include <LibAuthority/Time.h>
#include <LibCore/EnumNames.h>
#include <LibState/RoleSet.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Authority {

/// The activity that an engine reports.
enum class EnginePhase : std::uint8_t {
    Serving,
    Draining, ///< It accepted an order: running requests finish, new ones are rejected.
    Changing, ///< It is loading weights or changing its role.
};

inline constexpr Core::EnumNames<EnginePhase, 3> enginePhaseNames { {
    { EnginePhase::Serving, "serving" },
    { EnginePhase::Draining, "draining" },
    { EnginePhase::Changing, "changing" },
} };

/// An engine's state as returned by one read.
struct EngineState {
    std::string incarnation;
    std::uint64_t fencing { 0 }; ///< The highest fencing token that it has seen; meaningless if it doesn't check them.
    State::Role role { State::Role::Mixed };
    std::string model;
    std::string adapter; ///< Empty if none is loaded.
    std::string version;
    EnginePhase phase { EnginePhase::Serving };
    std::uint32_t running { 0 }; ///< Requests in progress as of `asOf`.
    Time readAt; ///< When the read was started.
    Time asOf; ///< When `running` was measured: engines report their load with a lag.

    bool operator==(EngineState const&) const = default;
};

/// The state that an engine should have. Absent fields are left unchanged.
struct DesiredEngineState {
    std::optional<State::Role> role;
    std::optional<std::string> model;
    std::optional<std::string> adapter;
    std::optional<std::string> version;

    bool operator==(DesiredEngineState const&) const = default;
};

/// Returns whether the engine is in the desired state. Thread-safe.
bool isSatisfied(DesiredEngineState const&, EngineState const&);

/// Returns whether reaching the desired state loads anything from the weight store. Thread-safe.
bool needsLoad(DesiredEngineState const&, EngineState const&);

/// Returns whether both states have the same role, model, adapter and version. Thread-safe.
bool haveSameSettings(EngineState const&, EngineState const&);

}
