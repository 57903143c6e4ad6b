#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>

namespace Routing {

/// The work that a target takes. Plain services are always `Mixed`.
enum class TargetRole : std::uint8_t {
    Prefill, ///< Prompts only; the KV cache is exported.
    Decode, ///< Output only, from an imported KV cache.
    Mixed, ///< Whole requests, and output from an imported KV cache.
};

inline constexpr Core::EnumNames<TargetRole, 3> targetRoleNames { {
    { TargetRole::Prefill, "prefill" },
    { TargetRole::Decode, "decode" },
    { TargetRole::Mixed, "mixed" },
} };

}
