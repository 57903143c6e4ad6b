#pragma once

#include <LibDuties/Usage.h>
#include <mutex>

namespace Duties {

/// Counts, at one daemon, the requests of each organisation that began to run, by windows of true time. Thread-safe.
class UsageCounter {
public:
    using BootTime = FleetClock::BootTime;

    /// A length of zero: nothing is counted.
    explicit UsageCounter(std::chrono::milliseconds windowLength)
        : m_windowLength(windowLength)
    {
    }

    /// Sets how far true time is ahead of the boot clock.
    void setOffset(FleetClock::Offset);

    /// Counts a request that began to run at `at`.
    void note(std::string const& organisation, BootTime at);

    /// Returns the counts of all windows from `first` on, and forgets those before.
    std::map<WindowNumber, OrganisationCounts> take(WindowNumber first);

private:
    std::chrono::milliseconds m_windowLength;
    std::mutex m_mutex;
    FleetClock::Offset m_offset { 0 };
    std::map<WindowNumber, OrganisationCounts> m_windows;
};

}
