#pragma once

#include <chrono>
#include <cstddef>

namespace Membership {

/// Protocol timeouts and limits. They should be the same on all daemons.
struct Settings {
    std::chrono::milliseconds period { 1000 }; ///< One probe is sent in each period.
    std::chrono::milliseconds probeTimeout { 1000 }; ///< After this, other members are asked to probe.
    std::chrono::milliseconds indirectTimeout { 1000 }; ///< After this, the member is suspected.
    std::chrono::milliseconds suspicionTimeout { 4000 }; ///< After this, it is declared dead unless it has refuted.
    /// Added to the suspicion timeout for each other member suspected at the same time, because many
    /// refutations take longer to arrive.
    std::chrono::milliseconds suspicionPerSuspect { 50 };
    std::chrono::milliseconds absentProbeInterval { 5000 }; ///< Between probes of members that are unheard or dead.
    std::chrono::milliseconds isolationTimeout { 5000 }; ///< A daemon without any answer for this long is isolated.
    std::chrono::milliseconds pushDelay { 100 }; ///< Changes are batched for this long before they are pushed.
    std::chrono::milliseconds forgetAfter { 120'000 }; ///< After this, ended members not in the VM list are removed.
    std::chrono::milliseconds loadLifetime { 120'000 }; ///< Older loads are dropped.
    std::size_t zoneRings { 2 }; ///< Rings within the availability zone, each giving one neighbour.
    std::size_t globalRings { 2 }; ///< Rings over all members, each giving one neighbour.
    std::size_t helpers { 3 }; ///< Members asked to probe a member that does not answer.
    std::size_t memberLoadsPerMessage { 10 };
    std::size_t zoneLoadsPerMessage { 3 };
    std::size_t recordsPerPush { 40 };
    std::size_t arrivalsPerPeriod { 5 }; ///< New members pushed at once; digests sync the rest at less cost.
    std::size_t piggybackedRecordsPerMessage { 6 }; ///< Recent changes carried by a probe or its reply.
    int piggybackRepeats { 6 }; ///< Number of messages that carry each of them.
    std::size_t bucketsPerSync { 16 };
    std::size_t pushBytesPerSecond { 400 }; ///< Budget for pushing changes.
    std::size_t pushBurstBytes { 6000 }; ///< Upper limit of the accumulated push budget.
    std::size_t syncBytesPerSecond { 600 }; ///< Budget for synchronizing records when digests differ.
    std::size_t syncBurstBytes { 8000 };
    std::size_t overheadPerMessage { 200 }; ///< Estimated HTTP/2, TCP and IP overhead, charged to these budgets.
    std::size_t maxMembers { 2000 };
};

}
