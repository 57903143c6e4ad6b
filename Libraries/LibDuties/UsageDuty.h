#pragma once

#include <LibDuties/Usage.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <variant>

namespace Duties {

/// Timing of usage reports.
struct UsageDutySettings {
    std::chrono::milliseconds window { 0 }; ///< Window length; zero disables usage reports.
    std::chrono::milliseconds dueWithin { 10'000 }; ///< Time after the end of a window until its report is useless.

    /// Minimum delay after the end of a window, for its last counts to arrive.
    std::chrono::milliseconds settleTime { 300 };
    /// Fraction of `dueWithin` to wait for daemons that have not closed the window.
    double closeWaitFraction { 0.25 };
    /// Fraction of `dueWithin` by which a window is decided whatever is missing; the rest is for the calls.
    double lastDecisionFraction { 0.7 };

    bool operator==(UsageDutySettings const&) const = default;
};

/// Decide a window's report, unless another daemon has: append it to the store if the topic is unchanged since it was read.
struct DecideReport {
    WindowNumber window { 0 };
};

/// Send the report from the store unchanged.
struct SendReport {
    UsageReport report;
};

/// Give up on a window whose report is past due.
struct GiveUpReport {
    WindowNumber window { 0 };
};

using UsageStep = std::variant<DecideReport, SendReport, GiveUpReport>;

/// Selects the next step of the daemon that holds the usage reporting duty. Windows are reported in order. The content of a
/// report is decided once, by a conditional append to the store, before it is first sent. A new holder reads it there and
/// resends it unchanged; the service ignores duplicates. So two different reports of a window are never sent, however often the
/// holder changes and however late calls take effect. Performs no I/O. Not thread-safe.
class UsageDuty {
public:
    explicit UsageDuty(UsageDutySettings const& settings)
        : m_settings(settings)
    {
    }

    /// Starts with the window that contains `now`; earlier windows become known only from peers. Later calls have no effect.
    void begin(WallTime now);

    /// Records the first window that has counts of other daemons and is not settled.
    void noteUnsettled(WindowNumber);

    /// Records that others have settled all windows before this one. Settled windows are not reported again.
    void noteSettledBefore(WindowNumber);

    /// Sets when the statements of all daemons that can be heard will have arrived, for a daemon that has begun to collect them.
    void setCollectedAt(WallTime time) { m_collectedAt = time; }

    /// Records a report that was read from or appended to the store.
    void noteDecided(UsageReport const&);

    /// Records that the service has accepted a window's report, or that it was given up.
    void noteSettled(WindowNumber);

    /// Returns the next step at `now`, if any. `isClosed` tells whether all daemons have closed a window.
    std::optional<UsageStep> next(WallTime now, std::function<bool(WindowNumber)> const& isClosed) const;

    /// Returns the window before which all are known to be settled, by this daemon or from peers. A daemon has no knowledge of
    /// its own about windows before it started.
    WindowNumber settledBefore() const { return m_settledBefore; }

    /// Returns the decided report of a window, if known.
    std::optional<UsageReport> decided(WindowNumber) const;

private:
    UsageDutySettings m_settings;
    std::optional<WindowNumber> m_next; ///< First window that is not settled.
    bool m_isBegun { false };
    WindowNumber m_settledBefore { 0 };
    WallTime m_collectedAt;
    std::map<WindowNumber, UsageReport> m_decided;
};

}
