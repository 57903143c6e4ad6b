#pragma once

#include <LibDuties/Usage.h>
#include <mutex>
#include <utility>

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

    /// Notes that a request was sent to a target and the connection broke, at `at`, before anything told whether it began to run. A
    /// target that mostly answers has run it and lost the answer; one that breaks most requests off runs none of them. So it is
    /// counted, or not, when the window is closed, by how requests ended at the target meanwhile.
    void noteLost(std::string const& organisation, std::uint64_t target, BootTime at);

    /// Notes how requests ended at a target lately, at this daemon or another.
    void noteEnds(std::uint64_t target, std::uint32_t answered, std::uint32_t broken, BootTime at);

    /// Closes all windows before `window`: nothing counts in them any more.
    void closeBefore(WindowNumber window);

    /// Returns the counts of all windows from `first` on, and forgets those before.
    std::map<WindowNumber, OrganisationCounts> take(WindowNumber first);

private:
    struct Ends {
        std::uint64_t answered { 0 };
        std::uint64_t broken { 0 };
    };

    struct Window {
        OrganisationCounts counts;
        std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> lost; ///< By organisation and target.
        std::map<std::uint64_t, Ends> ends; ///< By target.
    };

    /// Returns the window of a moment; null: it is closed, or nothing is counted. Precondition: the mutex is held.
    Window* openWindow(BootTime at);

    std::chrono::milliseconds m_windowLength;
    std::mutex m_mutex;
    FleetClock::Offset m_offset { 0 };
    std::map<WindowNumber, Window> m_windows;
    WindowNumber m_closedBefore { 0 };
};

}
