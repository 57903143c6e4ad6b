#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>

namespace Routing {

/// How a target is chosen among the allowed candidates. docs/design/routing.md compares them.
enum class Policy : std::uint8_t {
    Random, ///< Uniformly at random.
    LeastReported, ///< The least load as last reported.
    PeekTwo, ///< The one of two random targets with the lower reported load.
    PeekTwoRecheck, ///< As PeekTwo; the winner is kept only if it still beats the other after correction for requests sent since.
    LeastCorrected, ///< The least load, corrected for requests sent since the report.
    PrefixAffinity, ///< Among targets within a bound of the least corrected load, the least work left after cached prefixes.
    PromptHome, ///< The least time to the first token; shared parts of prompts are assigned to home targets.
};

inline constexpr Core::EnumNames<Policy, 7> policyNames { {
    { Policy::Random, "random" },
    { Policy::LeastReported, "least-reported" },
    { Policy::PeekTwo, "peek-two" },
    { Policy::PeekTwoRecheck, "peek-two-recheck" },
    { Policy::LeastCorrected, "least-corrected" },
    { Policy::PrefixAffinity, "prefix-affinity" },
    { Policy::PromptHome, "prompt-home" },
} };

}
