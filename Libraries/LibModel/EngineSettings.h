#pragma once

#include <cstdint>

namespace Model {

/// The speed and limits of a model engine. An iteration takes
/// base + running * perRunning + resident / 1000 * perThousandResident + chunk * perPromptToken seconds.
struct EngineSettings {
    double baseSeconds { 0.012 }; ///< Reading the weights once.
    double secondsPerRunning { 0.0004 };
    double secondsPerThousandResident { 0.00002 }; ///< Reading the KV cache of running requests.
    double secondsPerPromptToken { 0.000125 }; ///< 8,000 prompt tokens a second.
    std::uint32_t maxRunning { 24 };
    std::uint32_t kvCapacityTokens { 220000 };
    std::uint32_t cacheCapacityTokens { 40000 }; ///< Memory for cached prefixes, beside that of running requests.
    std::uint32_t chunkTokens { 256 }; ///< Prompt tokens an iteration when others decode: what disturbs their tokens.
    std::uint32_t aloneChunkTokens { 2048 }; ///< When none decode.
    double changeSeconds { 5 }; ///< Time for a change of role, once drained.
    double kvBytesPerToken { 310000 };
    double transferBytesPerSecond { 12.5e9 };
};

}
