#pragma once

#include <cstdint>

namespace Routing {

/// What a daemon knows of a target's load: the last report, and what it and its peers counted since.
struct Load {
    // As reported by the target.
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t waitingPromptTokens { 0 };
    std::uint32_t kvUsedTokens { 0 };
    std::uint32_t kvCapacityTokens { 0 }; ///< 0: the target reports none, and no limit is assumed.
    float ageSeconds { 0 }; ///< Time since the state that the report shows.

    // Counted since the state that the report shows. Negative: more ended than was sent.
    std::int32_t requestsSince { 0 };
    std::int32_t promptTokensSince { 0 };

    // Sent to it lately, by this daemon and its peers.
    float promptsPerSecond { 0 };
    float promptTokensPerSecond { 0 };
};

}
