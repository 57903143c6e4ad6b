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
    double secondsPerSlot { 0.4 }; ///< Time for a full target to free one slot.

    /// Prompts that a mixed target computes beside running requests go slower, and delay the tokens of the
    /// others. Both are seconds: for each such token, and for each time over that the recent rate exceeds
    /// what it can take without breaking the limit on the time between tokens.
    double besideSecondsPerPromptToken { 0.0002 };
    double besideTokensPerSecond { 600 };
    double besideTokensPerPrompt { 128 }; ///< Counted for each prompt beside its own: half a chunk, since chunks are not shared.
    double besideWindowSeconds { 3 }; ///< The time constant with which the rate was measured.
    double besideOverSeconds { 3.0 };

    double transferSecondsPerPromptToken { 0.000025 }; ///< Sending the KV cache of a prompt from a prefill target.

    double imbalanceSeconds { 0.25 }; ///< PrefixAffinity: how much more than the least wait is accepted for a prefix.

    // Policy::PromptHome.
    /// A shared part that is computed where it is not at home takes memory there and is missed by the next request:
    /// its cost counts this many times more. At its second home it is found by the next that spills over. Both are ratios of
    /// one time to another, so that no engine's speed is in them; from 20 and 4 on more brings nothing (docs/design/platform.md).
    double strayWeight { 20.0 };
    double secondHomeWeight { 4.0 };
    double decodeSeconds { 0.010 }; ///< One more output beside others: about a step of a full batch.
    /// A KV cache from another availability zone takes twice as long on both targets' links, and costs more.
    double farKvSeconds { 0.1 };
    /// Of the time that an output takes longer at a slow engine, so much counts as a wait: an output of ten seconds stays off
    /// an engine that takes a third more until the others have some fifteen outputs more, so that the longest end in time.
    double slowOutputWeight { 0.05 };
    double besideFactor { 3.0 }; ///< Prompts beside outputs take twice the time and delay the outputs' tokens.

    /// Of what peers have sent since they last told of their open work, the target that looks best is to have got so many requests
    /// at most: fewer targets are compared the staler their words are, down to `sampleSize`. At 0.1 s between words all are.
    double mostUnseenAtBest { 2.0 };

    /// While fewer targets are compared than there are, they are drawn from so many that are a daemon's own, so that what few requests
    /// it sends a second find its connections there still open. Eight make loads differ by a tenth between targets.
    std::size_t ownTargets { 8 };

    std::size_t sampleSize { 2 }; ///< Candidates drawn by the sampling policies; at least 2.
    std::size_t scanLimit { 1024 }; ///< LeastCorrected and PrefixAffinity draw `wideSampleSize` from more candidates than this.
    std::size_t wideSampleSize { 32 };
};

}
