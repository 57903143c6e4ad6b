#pragma once

#include <LibCore/Error.h>
#include <chrono>
#include <cstdint>
#include <string>

namespace Admission {

/// Monotonic time, always handed in.
using TimePoint = std::chrono::steady_clock::time_point;

/// The shell's number for a request that asks, waits or is in flight; unique among those.
using RequestId = std::uint64_t;

/// The shell's number for a target.
using TargetId = std::uint32_t;

/// The shell's number for a set of targets that the same work may go to. Its requests share one queue.
using GroupId = std::uint32_t;

/// How many priorities there are: 0 goes first, 9 last.
inline constexpr int priorityCount = 10;

/// What a request asks for.
struct Demand {
    RequestId id { 0 };
    std::string organisation;
    GroupId group { 0 };
    int priority { priorityCount / 2 }; ///< Values outside 0..9 count as the nearest one.
    std::uint64_t tokens { 1 }; ///< Estimated work, prompt and output; 0 counts as 1.
    TimePoint latestStart; ///< Starting later is of no use to the caller.
};

/// A request that may go to a target now.
struct Grant {
    RequestId id { 0 };
    TargetId target { 0 };

    bool operator==(Grant const&) const = default;
};

/// A request that is not let in; it certainly has not run.
struct Refusal {
    RequestId id { 0 };
    Core::Error error;
    std::chrono::milliseconds retryAfter { 0 }; ///< When the queue is expected to have room; 0 for no estimate.
};

}
