#pragma once

#include <LibCore/Error.h>
#include <chrono>
#include <cstdint>
#include <string>

namespace Admission {

/// Monotonic time, always passed in by the caller.
using TimePoint = std::chrono::steady_clock::time_point;

/// Caller-assigned id of a request, unique among those submitted, queued or in flight.
using RequestId = std::uint64_t;

/// Caller-assigned id of a target.
using TargetId = std::uint32_t;

/// Caller-assigned id of a set of targets that can run the same requests. Requests of a group share one queue.
using GroupId = std::uint32_t;

/// Number of priorities; 0 is the highest, 9 the lowest.
inline constexpr int priorityCount = 10;

/// Admission parameters of a request.
struct Demand {
    RequestId id { 0 };
    std::string organisation;
    GroupId group { 0 };
    int priority { priorityCount / 2 }; ///< Clamped to 0..9.
    std::uint64_t tokens { 1 }; ///< Estimated prompt and output tokens; 0 counts as 1.
    TimePoint latestStart; ///< Past this the caller's deadline can't be met.
};

/// Admission of a request to a target.
struct Grant {
    RequestId id { 0 };
    TargetId target { 0 };

    bool operator==(Grant const&) const = default;
};

/// Rejection of a request that is guaranteed not to have run.
struct Refusal {
    RequestId id { 0 };
    Core::Error error;
    std::chrono::milliseconds retryAfter { 0 }; ///< Estimated time until the queue has room; 0: no estimate.
};

}
