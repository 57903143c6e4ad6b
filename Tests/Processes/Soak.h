#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Processes {

/// One run of the soak.
struct SoakSettings {
    std::uint64_t seed { 1 }; ///< Of the faults' kinds, moments and victims, and of what callers ask.
    std::chrono::milliseconds duration { 8'000 }; ///< Of the faults; recovery and checks come behind.
    std::size_t callers { 6 };
    bool hasLongStreams { false }; ///< Streams last one to four seconds.
    bool hasOnlyPlannedFaults { false }; ///< Daemons are stopped and the configuration changes; nothing fails.
    bool hasTwoReleases { false }; ///< Engines are of two software releases, and callers resume streams that broke off.
    bool hasReloads { false }; ///< Daemons read their settings anew now and then (SIGHUP).
    double processorShare { 1 }; ///< Of a daemon, as on small VMs; 1: no quota.
    std::chrono::milliseconds pause { 10 }; ///< Of a caller between two requests.
    bool isUneven { false }; ///< Targets differ in speed, and plain ones have fewer places than there are callers.
};

/// What came of it.
struct SoakReport {
    std::vector<std::string> violations; ///< One line each, with the request's id; empty when all promises were kept.
    std::vector<std::string> faults; ///< What was done, with its moment.
    std::vector<std::string> unanswered; ///< What is known of each request without a whole answer, excused or not.
    std::size_t requests { 0 };
    std::size_t served { 0 };
    std::size_t streamsAtStops { 0 }; ///< Streams that the stop of their daemon was judged to leave whole or not.
    std::size_t resumptions { 0 }; ///< Requests that resumed a stream.
    std::size_t resumed { 0 }; ///< Of these, those that brought further events.
    std::size_t divisions { 0 }; ///< How often daemons began or ended to divide scarce places, as far as their last processes logged.
};

/// Runs real daemons, targets and a store as processes of their own, lets callers use them over kept connections, and
/// injects faults from outside: processes are stopped, paused, killed and started again, connections are held up one way
/// or both, cut and slowed down, the store goes away, targets lose answers, the configuration changes. Faults overlap.
/// Checked: a request that may not be repeated runs once at most, and not at all where the caller was told so; an answer is
/// its target's own and whole; a request that a daemon took while it was not impaired gets an answer, in time, around planned
/// stops too; a stream holds events of one release, also over the requests with which its caller resumes it; a stream that has begun is not broken off by a planned stop while its daemon has time for it; nothing that is configured is denied; no daemon ends by itself; at the end all is served again, by the newest
/// configuration. Errors: std::runtime_error when the processes cannot be started.
SoakReport runSoak(SoakSettings const&);

}
