#pragma once

#include <LibCore/Result.h>
#include <LibRouting/Load.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Routing {

/// A time point of the monotonic clock, supplied by the caller.
using Time = std::chrono::steady_clock::time_point;

/// A target's load snapshot, and its time on this daemon's clock.
struct LoadReport {
    Time asOf;
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t waitingPromptTokens { 0 };
    std::uint32_t kvUsedTokens { 0 };
    std::uint32_t kvCapacityTokens { 0 };
};

/// Work that was sent to a target or ended there, as counted by a daemon during an interval.
struct LoadCounts {
    std::uint32_t requestsSent { 0 };
    std::uint32_t requestsEnded { 0 };
    std::uint32_t promptTokensSent { 0 };
    std::uint32_t promptsSent { 0 }; ///< Sent requests that have a prompt to compute.
    std::uint32_t promptTokensDone { 0 }; ///< Of requests whose first token arrived or whose prefill ended.

    bool operator==(LoadCounts const&) const = default;
};

/// What one daemon knows about the load of each target: the newest report, and the counts since its
/// snapshot. Counts are kept in short intervals, so that a report supersedes only those that it already
/// includes, however late it arrives. Not thread-safe: needs a single owner or a lock.
class LoadTable {
public:
    struct Settings {
        std::chrono::milliseconds interval { 100 }; ///< Width of an interval.
        std::size_t intervals { 64 }; ///< Counts older than interval * intervals are discarded.

        /// Assumed prefill rate of a target: the reported backlog and the prompts sent since then are assumed
        /// to drain at this rate. 0: the backlog decreases only by counts of finished prompts.
        double promptTokensPerSecond { 7600 };

        double rateSeconds { 3 }; ///< Time constant of the rates of prompts sent to a target.
    };

    /// Creates an empty table. Fails with `BadInput` when a setting is zero.
    static Core::Result<LoadTable> create(Settings);

    /// Sets the targets to 0 .. n-1 and removes those beyond.
    void resize(std::size_t n);

    std::size_t size() const { return m_targets.size(); }

    /// Applies a report. Returns false, without a change, when it is not newer than the current one.
    /// Precondition: target < size().
    bool report(std::size_t target, LoadReport const&);

    /// Adds counts of this daemon or of a peer at time `now`. Counts that arrive out of order are added as
    /// long as their interval is still retained. Precondition: target < size().
    void count(std::size_t target, LoadCounts const&, Time now);

    /// Counts a sent request with this number of uncached prompt tokens.
    void sent(std::size_t target, std::uint32_t promptTokens, Time now) { count(target, { 1, 0, promptTokens, 1, 0 }, now); }

    /// Counts the finished prefill of a request that was sent earlier.
    void prefilled(std::size_t target, std::uint32_t promptTokens, Time now) { count(target, { 0, 0, 0, 0, promptTokens }, now); }

    /// Counts a finished request, whatever its outcome.
    void ended(std::size_t target, Time now) { count(target, { 0, 1, 0, 0, 0 }, now); }

    /// Clears the state of a target, for example when a new incarnation starts. Precondition: target < size().
    void forget(std::size_t target);

    /// Returns the load as known at `now`. Precondition: target < size().
    Load load(std::size_t target, Time now) const;

private:
    explicit LoadTable(Settings const& settings)
        : m_settings(settings)
    {
    }

    struct Interval {
        std::int64_t number { -1 };
        std::int32_t requests { 0 };
        std::int32_t promptTokens { 0 }; ///< Sent tokens; minus finished ones if no drain rate is set.
    };

    struct Target {
        std::optional<LoadReport> report;
        std::int64_t firstKept { 0 }; ///< Earlier intervals are included in the report.
        std::int32_t requests { 0 };
        double backlog { 0 }; ///< Estimated number of waiting prompt tokens at `backlogTime`.
        Time backlogTime {};
        double promptRate { 0 }; ///< Prompts and prompt tokens sent to it per second, as of `rateTime`.
        double tokenRate { 0 };
        Time rateTime {};
        std::vector<Interval> intervals;
    };

    std::int64_t intervalOf(Time) const;
    double drained(double backlog, Time from, Time to) const;
    static void clearInterval(Target&, std::int64_t number, std::int64_t firstKept);
    void replay(Target&) const;
    double rateDecay(Target const&, Time) const;

    Settings m_settings;
    std::vector<Target> m_targets;
};

}
