#pragma once

#include <cstdint>

namespace Routing {

/// What a daemon knows about a target's load: the last report, and the counts of this daemon and its peers since then.
struct Load {
    // As reported by the target.
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t waitingPromptTokens { 0 };
    std::uint32_t kvUsedTokens { 0 };
    std::uint32_t kvCapacityTokens { 0 }; ///< 0: not reported; no limit is assumed.
    float ageSeconds { 0 }; ///< Time since the report's snapshot.

    // Counted since the report's snapshot. Negative if more ended than was sent.
    std::int32_t requestsSince { 0 };
    std::int32_t promptTokensSince { 0 };

    // Recent rates sent by this daemon and its peers.
    float promptsPerSecond { 0 };
    float promptTokensPerSecond { 0 };
};

}
