#pragma once

#include <LibCore/EnumNames.h>
#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Routing {

/// Outcome of a send to a target, as evidence of the target's health.
enum class TargetOutcome : std::uint8_t {
    Answered, ///< It answered successfully.
    Failed, ///< It answered with an error of its own.
    Refused, ///< It reported that it did not run the request.
    Unreachable, ///< No connection could be made.
    Replaced, ///< Another target has its address; it will not come back.
    Broken, ///< The connection closed before the answer was complete.
};

inline constexpr Core::EnumNames<TargetOutcome, 6> targetOutcomeNames { {
    { TargetOutcome::Answered, "answered" },
    { TargetOutcome::Failed, "failed" },
    { TargetOutcome::Refused, "refused" },
    { TargetOutcome::Unreachable, "unreachable" },
    { TargetOutcome::Replaced, "replaced" },
    { TargetOutcome::Broken, "broken" },
} };

/// Timeouts and thresholds of `TargetHealth`.
struct TargetHealthSettings {
    /// Backoff after a failed connection, doubled by each further one. A restarted target comes back under another name,
    /// so retries only find out whether the network path has recovered.
    std::chrono::milliseconds initialBackoff { 500 };
    std::chrono::milliseconds maxBackoff { 4'000 };
    /// This many consecutive broken answers count as a failed connection: healthy targets have occasional ones.
    std::uint32_t consecutiveBroken { 3 };
};

/// Tracks which targets this daemon temporarily avoids, by the outcomes of its own sends. The platform's list drops a
/// target only after three missed heartbeats; failed requests show it immediately. Not thread-safe.
class TargetHealth {
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit TargetHealth(TargetHealthSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Records the outcome of a send. All daemons use the same `target` identifier.
    void note(std::uint64_t target, TargetOutcome, Time now);

    /// Returns whether nothing should be sent to the target now.
    bool isClosed(std::uint64_t target, Time now) const;

    /// Returns the targets that were recently unreachable, for peers and for the role planner.
    std::vector<std::uint64_t> suspects(Time now) const;

    /// Removes what is known of a target: it is no longer listed, or has listed itself in a new role.
    void forget(std::uint64_t target) { m_failures.erase(target); }

private:
    struct FailureState {
        std::uint32_t failures { 0 };
        std::uint32_t consecutiveBroken { 0 };
        bool isReplaced { false };
        Time closedUntil;
    };

    TargetHealthSettings m_settings;
    std::unordered_map<std::uint64_t, FailureState> m_failures;
};

}
