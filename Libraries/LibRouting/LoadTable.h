#pragma once

#include <LibCore/Result.h>
#include <LibRouting/Load.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Routing {

/// A point of the monotonic clock, handed in by the caller.
using Time = std::chrono::steady_clock::time_point;

/// What a target says of itself, and the time at which it was so on this daemon's clock.
struct LoadReport {
    Time asOf;
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t waitingPromptTokens { 0 };
    std::uint32_t kvUsedTokens { 0 };
    std::uint32_t kvCapacityTokens { 0 };
};

/// Work that was sent to a target or that ended there, as counted by a daemon over some time.
struct LoadCounts {
    std::uint32_t requestsSent { 0 };
    std::uint32_t requestsEnded { 0 };
    std::uint32_t promptTokensSent { 0 };
    std::uint32_t promptsSent { 0 }; ///< Requests sent that have a prompt to compute.
    std::uint32_t promptTokensDone { 0 }; ///< Of requests whose first token came (or whose prefill ended).

    bool operator==(LoadCounts const&) const = default;
};

/// What one daemon knows of the load of each target: the newest report, and the counts since the state
/// that it shows. Counts are kept in short intervals, so that a report takes away just those which it
/// already includes, however late it comes. Not thread-safe: one owner, or a lock around it.
class LoadTable {
public:
    struct Settings {
        std::chrono::milliseconds interval { 100 }; ///< Width of an interval.
        std::size_t intervals { 64 }; ///< Counts older than interval * intervals are forgotten.

        /// How fast a target works its prompts off: what was reported waiting, and what was sent since, is
        /// taken to shrink at this rate. 0: it shrinks by the counts of prompts done alone.
        double promptTokensPerSecond { 7600 };

        double rateSeconds { 3 }; ///< Time constant of the rates of prompts sent to a target.
    };

    /// Creates an empty table. Fails with `BadInput` when a setting is zero.
    static Core::Result<LoadTable> create(Settings);

    /// Makes room for targets 0 .. n-1. Those beyond are forgotten.
    void resize(std::size_t n);

    /// Number of targets.
    std::size_t size() const { return m_targets.size(); }

    /// Takes a report in. Returns false, and changes nothing, when it is no newer than the one known.
    /// Precondition: target < size().
    bool report(std::size_t target, LoadReport const&);

    /// Adds counts of this daemon or of a peer at time `now`. Counts that come out of order are added as
    /// long as their interval is still kept. Precondition: target < size().
    void count(std::size_t target, LoadCounts const&, Time now);

    /// Shorthand: a request with so many prompt tokens left to compute was sent.
    void sent(std::size_t target, std::uint32_t promptTokens, Time now) { count(target, { 1, 0, promptTokens, 1, 0 }, now); }

    /// Shorthand: the prompt of a request sent earlier is done.
    void prefilled(std::size_t target, std::uint32_t promptTokens, Time now) { count(target, { 0, 0, 0, 0, promptTokens }, now); }

    /// Shorthand: a request ended, in whichever way.
    void ended(std::size_t target, Time now) { count(target, { 0, 1, 0, 0, 0 }, now); }

    /// Forgets what is known of a target, as after a new incarnation. Precondition: target < size().
    void forget(std::size_t target);

    /// What is known at `now`. Precondition: target < size().
    Load load(std::size_t target, Time now) const;

private:
    explicit LoadTable(Settings const& settings)
        : m_settings(settings)
    {
    }

    struct Interval {
        std::int64_t number { -1 };
        std::int32_t requests { 0 };
        std::int32_t promptTokens { 0 }; ///< Sent; less those done when nothing is taken to shrink by itself.
    };

    struct Target {
        std::optional<LoadReport> report;
        std::int64_t firstKept { 0 }; ///< Intervals before this one are part of the report.
        std::int32_t requests { 0 };
        double backlog { 0 }; ///< Prompt tokens waiting at `backlogTime`, as estimated.
        Time backlogTime {};
        double promptRate { 0 }; ///< Prompts and their tokens a second sent to it, at `rateTime`.
        double tokenRate { 0 };
        Time rateTime {};
        std::vector<Interval> intervals;
    };

    std::int64_t intervalOf(Time) const;
    double shrunk(double backlog, Time from, Time to) const;
    static void takeAway(Target&, std::int64_t number, std::int64_t firstKept);
    void replay(Target&) const;
    double rateKept(Target const&, Time) const;

    Settings m_settings;
    std::vector<Target> m_targets;
};

}
