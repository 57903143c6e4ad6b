#pragma once

#include <LibDuties/Usage.h>
#include <mutex>
#include <utility>

namespace Duties {

/// Counts a daemon's requests that started to run, per organisation and window of fleet time. Thread-safe.
class UsageCounter {
public:
    using BootTime = FleetClock::BootTime;

    /// A window length of zero disables counting.
    explicit UsageCounter(std::chrono::milliseconds windowLength)
        : m_windowLength(windowLength)
    {
    }

    /// Sets the offset of fleet time to the boot clock.
    void setOffset(FleetClock::Offset);

    /// Counts a request that started to run at `at`.
    void countRequest(std::string const& organisation, BootTime at);

    /// Records a request whose connection to the target broke at `at` before it was known whether it had started to run. A target
    /// that mostly answers is assumed to have run it and lost the answer; one that breaks most connections, not to have run it.
    /// The decision is made when the window is closed, by the outcomes at the target in that window.
    void noteLostAnswer(std::string const& organisation, std::uint64_t target, BootTime at);

    /// Adds recent outcomes of requests at a target, from this daemon or a peer.
    void noteOutcomes(std::uint64_t target, std::uint32_t answered, std::uint32_t broken, BootTime at);

    /// Closes all windows before `window`: no more requests are counted in them.
    void closeBefore(WindowNumber window);

    /// Returns the counts of all windows from `first` on, and discards earlier windows.
    std::map<WindowNumber, OrganisationCounts> takeFrom(WindowNumber first);

private:
    struct Outcomes {
        std::uint64_t answered { 0 };
        std::uint64_t broken { 0 };
    };

    struct Window {
        OrganisationCounts counts;
        std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> lostAnswers; ///< Keyed by organisation and target.
        std::map<std::uint64_t, Outcomes> outcomes; ///< Keyed by target.
    };

    /// Returns the window at a time; null if it is closed or counting is disabled. Precondition: the mutex is held.
    Window* findOpenWindow(BootTime at);

    std::chrono::milliseconds m_windowLength;
    std::mutex m_mutex;
    FleetClock::Offset m_offset { 0 };
    std::map<WindowNumber, Window> m_windows;
    WindowNumber m_closedBefore { 0 };
};

}
