#pragma once

#include <LibDuties/FleetClock.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Duties {

/// Number of a window of fleet time: window n begins n window lengths after the Unix epoch.
using WindowNumber = std::uint64_t;

/// Number of requests that started to run, per organisation.
using OrganisationCounts = std::map<std::string, std::uint64_t>;

/// A daemon's counts of the requests that started to run through it.
struct UsageStatement {
    std::map<WindowNumber, OrganisationCounts> windows; ///< Its counts in windows that are not settled.
    WindowNumber closedBefore { 0 }; ///< It counts no more requests in windows before this one.
    WindowNumber settledBefore { 0 }; ///< As far as it knows, all windows before this one are reported or given up.

    bool operator==(UsageStatement const&) const = default;
};

/// Returns the part of a statement that daemons get which do not collect counts. It closes no window: one of them that collects
/// later must not take a window without its counts to be complete. Thread-safe.
inline UsageStatement withoutCounts(UsageStatement const& statement)
{
    return { {}, 0, statement.settledBefore };
}

/// The usage report of one window.
struct UsageReport {
    WindowNumber window { 0 };
    OrganisationCounts counts;

    bool operator==(UsageReport const&) const = default;
};

/// Returns the window that contains a time. Precondition: the length is positive. Thread-safe.
inline WindowNumber windowAt(WallTime time, std::chrono::milliseconds length)
{
    return static_cast<WindowNumber>(time.time_since_epoch() / length);
}

/// Returns the end of a window. Thread-safe.
inline WallTime endOf(WindowNumber window, std::chrono::milliseconds length)
{
    return WallTime(length * static_cast<std::int64_t>(window + 1));
}

}
