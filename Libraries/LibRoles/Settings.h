#pragma once

#include <LibCore/EnumNames.h>
#include <LibRoles/MixEstimator.h>

namespace Roles {

/// How roles follow the mix. docs/design/roles.md compares them.
enum class Policy : std::uint8_t {
    Fixed, ///< Roles stay as they are.
    Threshold, ///< One engine at a time moves when one side is busier than the other by a factor, for some time.
    Planner, ///< Moves when the requests expected to be gained outweigh those lost by the change.
};

inline constexpr Core::EnumNames<Policy, 3> policyNames { {
    { Policy::Fixed, "fixed" },
    { Policy::Threshold, "threshold" },
    { Policy::Planner, "planner" },
} };

/// What a planner is created with.
struct Settings {
    Policy policy { Policy::Planner };
    EngineRates rates;
    MixEstimator::Settings mix;

    std::size_t maxChanging { 3 }; ///< Engines that may be out of service for a change at once.
    std::size_t minPrefill { 1 }; ///< Engines kept for prefill, as far as selectors allow; 0: none need be.
    std::size_t minOutput { 1 }; ///< Serving engines kept that decode (decode or mixed). At least 1.
    TargetRole outputRole { TargetRole::Mixed }; ///< The role preferred for engines that decode.

    double changeSeconds { 5 }; ///< Time out of service for a change.
    double drainSeconds { 4 }; ///< Part of a drain that is lost, on average.
    double warmUpSeconds { 10 }; ///< No change before this much was counted.

    double horizonSeconds { 120 }; ///< Planner: how far gains are counted.
    double minGainShare { 0.02 }; ///< Planner: and so much of all requests over the horizon, since estimates err.
    double margin { 1.5 }; ///< Planner: a change must gain this many times its cost.

    double pressureRatio { 1.5 }; ///< Threshold: how much busier one side must be.
    double sustainSeconds { 10 }; ///< Threshold: and for how long.
};

}
