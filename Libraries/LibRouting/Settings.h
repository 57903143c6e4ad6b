#pragma once

#include <LibRouting/Policy.h>
#include <array>
#include <cstddef>

namespace Routing {

/// What a router is created with. Seconds throughout.
struct Settings {
    Policy policy { Policy::PrefixAffinity };

    /// Added to a score by zone distance: same zone, same region, other region. All 0: nearness plays no part.
    std::array<double, 3> zonePenaltySeconds { 0.0, 0.002, 0.050 };

    double secondsPerPromptToken { 1.0 / 7600 }; ///< Prefill time of one prompt token, the engine's overheads included.
    double secondsPerRequest { 0.004 }; ///< How much one more running request slows a target down.
    double fullPenaltySeconds { 2.0 }; ///< Added when the request's KV cache does not fit beside the known load.
    std::uint32_t maxRunning { 24 }; ///< Requests that a target runs at once; more wait for a slot. 0: no limit known.
    double secondsPerSlot { 0.25 }; ///< Time for a full target to free one slot.

    /// Added for each prompt token that a mixed target would compute beside running requests: it goes
    /// slower there, and it delays the tokens of the others.
    double besideSecondsPerPromptToken { 0.0005 };

    double transferSecondsPerPromptToken { 0.000025 }; ///< Sending the KV cache of a prompt from a prefill target.

    double imbalanceSeconds { 0.25 }; ///< PrefixAffinity: how much more than the least wait is accepted for a prefix.
    std::size_t sampleSize { 2 }; ///< Candidates drawn by the sampling policies; at least 2.
    std::size_t scanLimit { 1024 }; ///< LeastCorrected and PrefixAffinity draw `wideSampleSize` from more candidates than this.
    std::size_t wideSampleSize { 32 };
};

}
