#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>

namespace Routing {

/// How a target is chosen among the allowed ones. docs/design/routing.md compares them.
enum class Policy : std::uint8_t {
    Random, ///< Uniformly at random.
    LeastReported, ///< The least load as last reported.
    PeekTwo, ///< The less loaded, as reported, of two at random.
    PeekTwoRecheck, ///< As PeekTwo; the winner is kept only if it still beats the other with what was sent since.
    LeastCorrected, ///< The least load, corrected for what was sent since the report.
    PrefixAffinity, ///< Of those within a bound of the least corrected load, the least work left after cached prefixes.
    PromptHome, ///< The least time to the first token, where a shared part of the prompt has a home among the targets.
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
