#pragma once

#include <LibRouting/Phase.h>
#include <LibRouting/PromptCost.h>

namespace Routing {

/// What the router needs to know of a request.
struct RequestShape {
    Phase phase { Phase::Whole };
    std::uint8_t priority { 5 }; ///< 0 is served first, 9 last.
    std::uint32_t promptTokens { 0 };
    std::uint32_t expectedOutputTokens { 0 };
    double pendingOutputs { 0 }; ///< Requests that each target which decodes will get from prefill targets; see `pendingOutputs()`.
    double unseenRequests { 0 }; ///< That peers are expected to have sent to each target that fits since they last spoke.
    std::uint64_t prefixHash { 0 }; ///< Of the longest reusable prefix; 0: none. Logged only; matches are in the candidates.
    double outputSeconds { 0 }; ///< That its output takes on average engines, as learnt; 0: not known.
    PromptCost promptCost {}; ///< Of the engines that serve it, as learnt.
    std::uint32_t sharedTokens { 0 }; ///< Of the prompt: its beginning, which other requests have too.
};

}
