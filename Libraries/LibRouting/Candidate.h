#pragma once

#include <LibRouting/Load.h>
#include <LibRouting/OpenWork.h>
#include <LibRouting/TargetRole.h>
#include <LibRouting/ZoneDistance.h>

namespace Routing {

/// A target that labels and selectors allow for the request at hand. The caller of the router drops all
/// others beforehand: nothing selected means nothing allowed.
struct Candidate {
    std::uint32_t target { 0 }; ///< The caller's own number for it.
    TargetRole role { TargetRole::Mixed };
    ZoneDistance distance { ZoneDistance::SameZone };
    bool closed { false }; ///< Draining, changing, leaving, suspected or at its limit: gets no new work.
    std::uint32_t prefixMatchTokens { 0 }; ///< Prompt tokens whose KV cache it is believed to hold.
    Load load;
    TargetWork open; ///< Sent by all daemons and not ended, as far as known. For `Policy::PromptHome`.
    bool isHome { false }; ///< Of the prompt's shared part: whoever computes it should do so here.
    bool isSecondHome { false }; ///< Of the prompt's shared part.
    bool fetchesFarKv { false }; ///< The prompt's KV cache would come from another availability zone.
    std::uint64_t preference { 0 }; ///< The daemon's own for this target, the same at each decision: the greatest are its own few.
    std::uint32_t slots { 0 }; ///< Requests that it runs at once; 0: not known.
    double promptFactor { 1 }; ///< How many times as long as others of its service it takes for a prompt,
    double eventFactor { 1 }; ///< and for an event of a stream.
};

}
