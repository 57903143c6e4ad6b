#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>

namespace Daemon {

/// What a daemon does before it takes requests where the platform's store keeps the configuration, as the log names it.
enum class StartStep : std::uint8_t {
    Found, ///< It has read where the other daemons were before it started.
    Met, ///< It has listed itself, and read the list of daemons again.
    Configuration,
    Targets,
    Suspects, ///< It knows which requests end the targets that run them.
    Ready, ///< It takes requests.
};

inline constexpr Core::EnumNames<StartStep, 6> startStepNames { {
    { StartStep::Found, "found" },
    { StartStep::Met, "met" },
    { StartStep::Configuration, "configuration" },
    { StartStep::Targets, "targets" },
    { StartStep::Suspects, "suspects" },
    { StartStep::Ready, "ready" },
} };

}
