#pragma once

#include <LibCore/EnumNames.h>
#include <LibRoles/MixEstimator.h>

namespace Roles {

/// How roles are adapted to the mix. docs/design/roles.md compares the policies.
enum class Policy : std::uint8_t {
    Fixed, ///< Roles never change.
    Threshold, ///< Moves one engine at a time when one side has been busier than the other by a factor for some time.
    Planner, ///< Moves engines when the expected gain in requests outweighs the requests lost by the change.
};

inline constexpr Core::EnumNames<Policy, 3> policyNames { {
    { Policy::Fixed, "fixed" },
    { Policy::Threshold, "threshold" },
    { Policy::Planner, "planner" },
} };

/// Settings of a planner.
struct Settings {
    Policy policy { Policy::Planner };
    EngineRates rates;
    MixEstimator::Settings mix;

    std::size_t maxChanging { 3 }; ///< Maximum number of engines out of service for a change at once.
    std::size_t minPrefill { 1 }; ///< Minimum number of serving prefill engines, as far as selectors allow; may be 0.
    std::size_t minOutput { 1 }; ///< Minimum number of serving decode or mixed engines. At least 1.
    TargetRole outputRole { TargetRole::Mixed }; ///< Preferred role of engines that decode.

    double changeSeconds { 5 }; ///< Downtime of an engine during a change.
    double drainSeconds { 4 }; ///< Average capacity lost while an engine drains, in seconds of its full work.
    double warmUpSeconds { 10 }; ///< No change until this much time has been observed.

    double horizonSeconds { 120 }; ///< Planner: time over which gains are counted.
    double minGainShare { 0.02 }; ///< Planner: minimum net gain as a share of all requests, since estimates err.
    double margin { 1.5 }; ///< Planner: the gain of a change must exceed this multiple of its cost.

    double pressureRatio { 1.5 }; ///< Threshold: minimum ratio of the utilisations of the two sides.
    double sustainSeconds { 10 }; ///< Threshold: how long the ratio must be exceeded.
};

}
