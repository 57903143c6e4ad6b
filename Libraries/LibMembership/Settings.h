#pragma once

#include <chrono>
#include <cstddef>

namespace Membership {

/// Times and limits. All daemons should have the same ones.
struct Settings {
    std::chrono::milliseconds period { 1000 }; ///< One probe is sent in each.
    std::chrono::milliseconds probeTimeout { 1000 }; ///< Then others are asked to probe.
    std::chrono::milliseconds indirectTimeout { 1000 }; ///< Then the member is suspected.
    std::chrono::milliseconds suspicionTimeout { 4000 }; ///< Then it is dead, unless it has refuted.
    /// Added to the suspicion timeout for each other member suspected at the same time, because the
    /// refutations of many take longer to arrive.
    std::chrono::milliseconds suspicionPerSuspect { 50 };
    std::chrono::milliseconds healInterval { 5000 }; ///< Between probes of members that are unheard or dead.
    std::chrono::milliseconds isolationTimeout { 5000 }; ///< Without any answer for so long: isolated.
    std::chrono::milliseconds pushDelay { 100 }; ///< Changes are collected for so long before they are passed on.
    std::chrono::milliseconds forgetAfter { 120'000 }; ///< The dead that are in no list are then forgotten.
    std::chrono::milliseconds loadLifetime { 120'000 }; ///< Older loads are dropped.
    std::size_t zoneRings { 2 }; ///< Members watched within the availability zone.
    std::size_t globalRings { 2 }; ///< Members watched anywhere.
    std::size_t helpers { 3 }; ///< Members asked to probe one that does not answer.
    std::size_t memberLoadsPerMessage { 10 };
    std::size_t zoneLoadsPerMessage { 3 };
    std::size_t recordsPerPush { 40 };
    std::size_t arrivalsPerPeriod { 5 }; ///< Passed on at once; of more, the comparison of digests carries the rest at less cost.
    std::size_t newsPerMessage { 6 }; ///< Late changes that a probe or its answer carries.
    int newsRepeats { 6 }; ///< In how many messages each of them is carried.
    std::size_t bucketsPerSync { 16 };
    std::size_t pushBytesPerSecond { 400 }; ///< For passing on what has changed.
    std::size_t pushBurstBytes { 6000 }; ///< What of that may be saved up.
    std::size_t syncBytesPerSecond { 600 }; ///< For exchanging records after a comparison of digests.
    std::size_t syncBurstBytes { 8000 };
    std::size_t overheadPerMessage { 200 }; ///< Of HTTP/2, TCP and IP, counted against these.
    std::size_t maxMembers { 2000 };
};

}
