#pragma once

#include <LibDuties/FleetClock.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Duties {

/// The number of a window of true time: window n begins n window lengths after the start of 1970.
using WindowNumber = std::uint64_t;

/// How many requests of each organisation began to run.
using OrganisationCounts = std::map<std::string, std::uint64_t>;

/// What a daemon says of the requests that began to run through it.
struct UsageStatement {
    std::map<WindowNumber, OrganisationCounts> windows; ///< All that it has counted in windows that are not settled.
    WindowNumber closedBefore { 0 }; ///< In windows before this one it counts nothing more.
    WindowNumber settledBefore { 0 }; ///< Windows before this one are reported, or given up, as far as it knows.

    bool operator==(UsageStatement const&) const = default;
};

/// What is reported of one window.
struct UsageReport {
    WindowNumber window { 0 };
    OrganisationCounts counts;

    bool operator==(UsageReport const&) const = default;
};

/// Returns the window that a moment is in. Precondition: the length is above zero. Thread-safe.
inline WindowNumber windowAt(WallTime time, std::chrono::milliseconds length)
{
    return static_cast<WindowNumber>(time.time_since_epoch() / length);
}

/// Returns when a window ends. Thread-safe.
inline WallTime endOf(WindowNumber window, std::chrono::milliseconds length)
{
    return WallTime(length * static_cast<std::int64_t>(window + 1));
}

}
