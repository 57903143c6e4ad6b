#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Result.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace StandIn {

/// Which part of the work an engine takes.
enum class Role : std::uint8_t { Mixed,
    Prefill,
    Decode };

inline constexpr Core::EnumNames<Role, 3> roleNames { {
    { Role::Mixed, "mixed" },
    { Role::Prefill, "prefill" },
    { Role::Decode, "decode" },
} };

/// Where an engine stands in a change that was ordered.
enum class Phase : std::uint8_t { Serving,
    Draining,
    Changing };

inline constexpr Core::EnumNames<Phase, 3> phaseNames { {
    { Phase::Serving, "serving" },
    { Phase::Draining, "draining" },
    { Phase::Changing, "changing" },
} };

/// What an engine serves.
struct EngineConfiguration {
    Role role { Role::Mixed };
    std::string model {};
    std::string adapter {};
    std::string version {};

    bool operator==(EngineConfiguration const&) const = default;
};

/// A declarative order: keys that are absent mean no change.
struct EngineOrder {
    std::uint64_t fencing { 0 };
    std::optional<Role> role {};
    std::optional<std::string> model {};
    std::optional<std::string> adapter {};
    std::optional<std::string> version {};
};

/// How a stand-in engine takes orders: it compares the fencing number, drains, changes, then serves.
/// Not thread-safe. Times handed in never go back.
class EngineControl {
public:
    using Time = std::chrono::steady_clock::time_point;

    EngineControl(EngineConfiguration, bool checksFencing, std::chrono::milliseconds changeTime);

    /// Takes an order. Error: LostAuthority when this engine checks and has seen a higher number.
    Core::Result<void> order(EngineOrder const&);

    /// Moves through draining and changing; `isIdle`: no request is left in the engine.
    void advance(bool isIdle, Time now);

    /// When `advance` has something to do next, while changing.
    std::optional<Time> nextDeadline() const;

    /// Tells that the weight store has granted the load that the change waits for.
    void grantWeights(Time now);

    Phase phase() const { return m_phase; }
    EngineConfiguration const& configuration() const { return m_current; }
    bool checksFencing() const { return m_checksFencing; }
    std::uint64_t fencing() const { return m_fencing; }
    std::uint64_t changes() const { return m_changes; }

    /// True while a change waits for `grantWeights`.
    bool isWaitingForWeights() const { return m_isWaitingForWeights; }
    /// The configuration that a change leads to.
    EngineConfiguration const& wanted() const { return m_wanted; }

    /// When true, a change of model, adapter or version waits for `grantWeights`.
    bool usesWeightStore { false };
    /// When true, the next change ends in a crash half-way.
    bool crashesDuringChange { false };
    bool hasCrashed() const { return m_hasCrashed; }

private:
    void startChange(Time now);
    void finishChange();

    EngineConfiguration m_current;
    EngineConfiguration m_wanted;
    EngineConfiguration m_target; ///< What the change under way leads to.
    bool m_checksFencing;
    std::chrono::milliseconds m_changeTime;
    std::uint64_t m_fencing { 0 };
    Phase m_phase { Phase::Serving };
    Time m_changeEnd;
    std::uint64_t m_changes { 0 };
    bool m_isWaitingForWeights { false };
    bool m_hasCrashed { false };
};

}
