#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>

namespace Routing {

/// The kind of work that a target accepts. Plain services are always `Mixed`.
enum class TargetRole : std::uint8_t {
    Prefill, ///< Only prompts; the KV cache is exported.
    Decode, ///< Only output, from an imported KV cache.
    Mixed, ///< Whole requests, and output from an imported KV cache.
};

inline constexpr Core::EnumNames<TargetRole, 3> targetRoleNames { {
    { TargetRole::Prefill, "prefill" },
    { TargetRole::Decode, "decode" },
    { TargetRole::Mixed, "mixed" },
} };

}
