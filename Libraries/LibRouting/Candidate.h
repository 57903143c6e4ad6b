#pragma once

#include <LibRouting/Load.h>
#include <LibRouting/OpenWork.h>
#include <LibRouting/TargetRole.h>
#include <LibRouting/ZoneDistance.h>

namespace Routing {

/// A target that labels and selectors allow for the request being routed. The caller of the router filters out
/// all others beforehand: no selected target means that none is allowed.
struct Candidate {
    std::uint32_t target { 0 }; ///< Identifier assigned by the caller.
    TargetRole role { TargetRole::Mixed };
    ZoneDistance distance { ZoneDistance::SameZone };
    bool closed { false }; ///< Draining, changing, leaving, suspected or at its limit; receives no new work.
    std::uint32_t prefixMatchTokens { 0 }; ///< Prompt tokens whose KV cache it is assumed to hold.
    Load load;
    TargetWork open; ///< Known unfinished work sent by all daemons. Used by `Policy::PromptHome`.
    bool isHome { false }; ///< Whether it is the home of the prompt's shared part, where that part should be computed.
    bool isSecondHome { false }; ///< Whether it is the second home of the prompt's shared part.
    bool fetchesCrossZoneKv { false }; ///< Whether the prompt's KV cache would be transferred from another availability zone.
    std::uint64_t preference { 0 }; ///< This daemon's constant preference for the target; it samples the most preferred ones.
    std::uint32_t slots { 0 }; ///< Requests that it runs concurrently; 0: unknown.
    double promptFactor { 1 }; ///< Prompt time relative to other targets of its service.
    double eventFactor { 1 }; ///< Time per stream event relative to other targets of its service.
};

}
