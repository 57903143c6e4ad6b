#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>

namespace Routing {

/// The part of a request that is being routed.
enum class Phase : std::uint8_t {
    Whole, ///< Prompt and output, on a mixed target (or a plain service's call).
    Prefill, ///< The prompt, on a prefill target; a later decision places the output.
    Decode, ///< The output, on a decode or mixed target, from an exported KV cache.
    WholeOrPrefill, ///< Either of the two; the role of the chosen target determines which.
};

inline constexpr Core::EnumNames<Phase, 4> phaseNames { {
    { Phase::Whole, "whole" },
    { Phase::Prefill, "prefill" },
    { Phase::Decode, "decode" },
    { Phase::WholeOrPrefill, "whole-or-prefill" },
} };

}
