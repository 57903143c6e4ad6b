#pragma once

#include <LibRouting/Phase.h>
#include <LibRouting/PromptCost.h>
#include <cstdint>
#include <optional>

namespace Routing {

/// The properties of a request that the router uses.
struct RequestShape {
    Phase phase { Phase::Whole };
    std::uint8_t priority { 5 }; ///< 0 is served first, 9 last.
    std::uint32_t promptTokens { 0 };
    std::uint32_t expectedOutputTokens { 0 };
    double pendingOutputs { 0 }; ///< Requests that each decoding target will get from prefill targets; see `pendingOutputs()`.
    double unseenRequests { 0 }; ///< Estimated requests per suitable target that peers have sent since their last reports.
    std::uint64_t prefixHash { 0 }; ///< Hash of the longest reusable prefix; 0: none. Only logged; matches are in the candidates.
    double outputSeconds { 0 }; ///< Learned duration of its output on an average engine; 0: unknown.
    double wholeSeconds { 0 }; ///< Learned time of such a request at an average target of a plain service; 0: not used.
    PromptCost promptCost {}; ///< Learned cost model of the engines that serve it.
    bool placesByLoad { false }; ///< What a shared part costs others away from its home follows the load.
    std::optional<double> promptUtilisation {}; ///< Part of the time that prompts keep the targets busy that are to get them; empty: unknown.
    std::uint32_t sharedTokens { 0 }; ///< Length of the prompt's beginning that other requests share.
};

}
