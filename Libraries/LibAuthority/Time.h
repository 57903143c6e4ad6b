#pragma once

#include <chrono>
#include <optional>

namespace Authority {

/// A reading of the monotonic clock. Functions get it as an argument and never read it themselves.
using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Returns whether `interval` has passed since `last`, or there was no last time. Thread-safe.
inline bool isDue(std::optional<Time> const& last, Time now, Duration interval)
{
    return !last || now - *last >= interval;
}

}
