#pragma once

#include <LibRouting/Policy.h>
#include <array>
#include <cstddef>

namespace Routing {

/// Settings of a router. All times are in seconds.
struct Settings {
    Policy policy { Policy::PrefixAffinity };

    /// Added to a score by zone distance: same zone, same region, other region. All 0: distance is ignored.
    std::array<double, 3> zonePenaltySeconds { 0.0, 0.002, 0.050 };

    double secondsPerPromptToken { 1.0 / 7600 }; ///< Prefill time of one prompt token, including the engine's overheads.
    double secondsPerRequest { 0.004 }; ///< Slowdown per additional running request.
    double kvFullPenaltySeconds { 2.0 }; ///< Added when the request's KV cache does not fit in addition to the known load.
    std::uint32_t maxRunning { 24 }; ///< Requests that a target runs concurrently; more wait for a slot. 0: no known limit.
    double secondsPerSlot { 0.4 }; ///< Time for a full target to free one slot.

    /// Prompts that a mixed target computes concurrently with running requests are slower, and delay the tokens
    /// of those requests. Both penalties are in seconds: per such prompt token, and per multiple by which the
    /// recent rate exceeds what the target can take within the limit on the time between tokens.
    double interferenceSecondsPerPromptToken { 0.0002 };
    double interferenceTokensPerSecond { 600 };
    double interferenceTokensPerPrompt { 128 }; ///< Counted per prompt in addition to its tokens: half a chunk, since chunks are not shared.
    double interferenceWindowSeconds { 3 }; ///< Time constant of the measured rate.
    double interferenceOverloadSeconds { 3.0 };

    double transferSecondsPerPromptToken { 0.000025 }; ///< KV cache transfer time from a prefill target.

    double imbalanceSeconds { 0.25 }; ///< PrefixAffinity: wait above the minimum that is accepted for a cached prefix.

    /// How fast each target is, and how many requests at once it takes well, is learned from the answers of all daemons.
    bool learnsPace { false };

    // Policy::PromptHome.
    /// Where targets clearly differ in speed, fast ones are home to most shared parts, and parts that many prompts ask for get more homes.
    bool spreadsParts { false };
    /// A shared part that is computed away from its home takes memory there, and the next request does not find it: its cost
    /// is multiplied by this weight. At its second home, the next request that overflows finds it. Both are ratios, independent
    /// of the engine's speed; higher values than 20 and 4 bring no improvement (docs/design/platform.md).
    double nonHomeWeight { 20.0 };
    double secondHomeWeight { 4.0 };
    double decodeSeconds { 0.010 }; ///< Cost per concurrent output: about one step of a full batch.
    /// A KV cache transfer from another availability zone takes twice as long on both targets' links, and costs more.
    double crossZoneKvSeconds { 0.1 };
    /// Share of an output's extra time at a slow engine that counts as wait: an output of ten seconds avoids an engine that is
    /// a third slower until the others have about fifteen outputs more, so that the longest outputs meet their deadlines.
    double slowOutputWeight { 0.05 };
    double interferenceFactor { 3.0 }; ///< Prompts concurrent with outputs take twice the time and delay the outputs' tokens.

    /// Upper bound for the expected requests that peers have sent to the best-looking target since their last reports of open
    /// work: the older the reports, the fewer targets are compared, down to `sampleSize`. With reports every 0.1 s, all are.
    double maxUnseenAtBest { 2.0 };

    /// When only a sample is compared, it is drawn from this many targets preferred by the daemon, so that its few requests per
    /// second reuse open connections. With eight, loads differ by a tenth between targets.
    std::size_t preferredTargets { 8 };

    std::size_t sampleSize { 2 }; ///< Candidates sampled by the sampling policies; at least 2.
    std::size_t scanLimit { 1024 }; ///< With more candidates, LeastCorrected and PrefixAffinity sample `wideSampleSize` of them.
    std::size_t wideSampleSize { 32 };
};

}
