#pragma once

#include <LibAuthority/Time.h>
#include <LibCore/EnumNames.h>
#include <LibState/RoleSet.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Authority {

/// What an engine is doing.
enum class EnginePhase : std::uint8_t {
    Serving,
    Draining, ///< It took an order: running requests end, new ones are refused.
    Changing, ///< It loads or changes its role.
};

inline constexpr Core::EnumNames<EnginePhase, 3> enginePhaseNames { {
    { EnginePhase::Serving, "serving" },
    { EnginePhase::Draining, "draining" },
    { EnginePhase::Changing, "changing" },
} };

/// An engine's state as one read of it gave.
struct EngineState {
    std::string incarnation;
    std::uint64_t fencing { 0 }; ///< The highest number that it has seen; meaningless when it doesn't check.
    State::Role role { State::Role::Mixed };
    std::string model;
    std::string adapter; ///< Empty: none.
    std::string version;
    EnginePhase phase { EnginePhase::Serving };
    std::uint32_t running { 0 }; ///< Requests that it is working on, as of `asOf`.
    Time readAt; ///< When the read was begun.
    Time asOf; ///< When `running` was true: load is reported with a lag.

    bool operator==(EngineState const&) const = default;
};

/// What an engine is wanted to be. What is absent stays as it is.
struct EngineWish {
    std::optional<State::Role> role;
    std::optional<std::string> model;
    std::optional<std::string> adapter;
    std::optional<std::string> version;

    bool operator==(EngineWish const&) const = default;
};

/// Returns whether the engine is what is wanted. Thread-safe.
bool isMet(EngineWish const&, EngineState const&);

/// Returns whether meeting the wish loads anything from the weight store. Thread-safe.
bool needsLoad(EngineWish const&, EngineState const&);

/// Returns whether both states have the same role, model, adapter and version. Thread-safe.
bool haveSameSettings(EngineState const&, EngineState const&);

}
