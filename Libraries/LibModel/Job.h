#pragma once

#include <LibRoles/Capacity.h>
#include <LibRouting/LoadTable.h>
#include <cstdint>

namespace Model {

using Routing::Time;

/// How a request ended.
enum class Outcome : std::uint8_t {
    Open, ///< Not yet.
    Good, ///< In full and in time.
    LateFirst, ///< In full, its first token late.
    Slow, ///< In full, more than one in twenty of its tokens late.
    Shed, ///< Refused on arrival: not run.
    Lost, ///< Not finished.
};

/// One request of the workload and what became of it.
struct Job {
    Time arrival;
    std::uint32_t organisation { 0 };
    std::uint8_t priority { 5 };
    Roles::PromptClass promptClass { Roles::PromptClass::Short };
    std::uint32_t promptTokens { 0 };
    std::uint32_t prefixTokens { 0 }; ///< The part that the organisation's requests share.
    std::uint64_t prefixHash { 0 };
    std::uint32_t outputTokens { 0 };
    std::uint32_t entry { 0 }; ///< The entry VM that its caller uses.

    // Changed as it runs.
    Outcome outcome { Outcome::Open };
    bool isImported { false }; ///< Its KV cache came from a prefill engine: output only.
    bool hasFirstToken { false };
    std::uint8_t attempts { 0 };
    std::uint32_t gate { 0 }; ///< The entry whose admission let it in.
    std::uint32_t engine { 0 };
    std::uint32_t countedTokens { 0 }; ///< Prompt tokens that its entry counted at the engine.
    std::uint32_t cachedTokens { 0 }; ///< Prompt tokens that the engine found in its cache.
    std::uint32_t promptLeft { 0 };
    Time firstToken;
    std::uint64_t iterationAtStart { 0 };
    std::uint64_t slowAtStart { 0 };
    std::uint32_t slowTokens { 0 };
};

}
