#pragma once

#include <LibDuties/Usage.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <variant>

namespace Duties {

/// Times of the duty to report usage.
struct UsageDutySettings {
    std::chrono::milliseconds window { 0 }; ///< The length of a window; zero: there is no such duty.
    std::chrono::milliseconds dueWithin { 10'000 }; ///< After the end of a window its report is worth nothing any more.

    /// No window is reported sooner after its end: until then its last counts are on their way.
    std::chrono::milliseconds settleTime { 300 };
    /// For daemons that have not said that they have closed a window it is waited for this part of the time until it is due.
    double patiencePart { 0.25 };

    bool operator==(UsageDutySettings const&) const = default;
};

/// Decide what a window's report says, if nobody has: append it where the store's topic still ends as it was read.
struct DecideReport {
    WindowNumber window { 0 };
};

/// Send a report that the store holds, word for word.
struct SendReport {
    UsageReport report;
};

/// The time for a window's report is over.
struct GiveUpReport {
    WindowNumber window { 0 };
};

using UsageStep = std::variant<DecideReport, SendReport, GiveUpReport>;

/// What whoever has the duty does next. Windows are reported one after the other. What a report says is decided once, by a
/// conditional append to the store, before it is sent for the first time; whoever takes the duty over reads it there and repeats
/// just that, which the service ignores where it has it. So two reports of a window that differ are never sent, however often the
/// holder changes and whatever is carried out late. Pure and not thread-safe.
class UsageDuty {
public:
    explicit UsageDuty(UsageDutySettings const& settings)
        : m_settings(settings)
    {
    }

    /// Begins with the window that `now` is in: of earlier ones this daemon knows only what it is told. Later calls change nothing.
    void begin(WallTime now);

    /// Takes the first window that others have counted something in and not settled.
    void noteUnsettled(WindowNumber);

    /// Takes what others have settled. Windows that are settled are not reported again.
    void noteSettledBefore(WindowNumber);

    /// Takes a report that the store holds.
    void noteDecided(UsageReport const&);

    /// Notes that the service has accepted the report of a window, or that it was given up.
    void noteSettled(WindowNumber);

    /// Returns what is to be done at `now`. `isClosed` says whether all daemons have closed a window.
    std::optional<UsageStep> next(WallTime now, std::function<bool(WindowNumber)> const& isClosed) const;

    /// Returns the window in front of which all are known to be settled: what this daemon has settled, or been told. Of windows before
    /// it began it knows nothing by itself.
    WindowNumber settledBefore() const { return m_settledBefore; }

    /// Returns the report of a window, if it is known to be decided.
    std::optional<UsageReport> decided(WindowNumber) const;

private:
    UsageDutySettings m_settings;
    std::optional<WindowNumber> m_next; ///< The first window that is not settled.
    bool m_isBegun { false };
    WindowNumber m_settledBefore { 0 };
    std::map<WindowNumber, UsageReport> m_decided;
};

}
