#pragma once

#include <LibQuarantine/Suspect.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Quarantine {

struct RunTableSettings {
    /// How long a run with a broken connection is kept. The platform's target list, the slowest source on ended targets, lags by
    /// three heartbeats of about a second, and by two more seconds after a store outage.
    std::chrono::seconds brokenRunRetention { 8 };
    std::size_t maxBrokenRuns { 4'096 }; ///< While the list of targets cannot be read they are kept for longer.
    /// How long the end of a target is remembered. Connections to it break within this time.
    std::chrono::seconds endedTargetRetention { 30 };
};

/// What a run is evidence on.
enum class RunKind : std::uint8_t {
    Request, ///< A whole request, from when it is sent until its answer ends.
    Part, ///< A part of a request's prompt, from when it is sent until its answer begins.
};

/// This daemon's runs of requests at targets, and those whose connection broke. A broken connection alone is no evidence: it
/// counts only once the target is known to have ended. Performs no I/O. Not thread-safe.
class RunTable {
public:
    using Id = std::uint64_t;

    explicit RunTable(RunTableSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Records that a request is being sent to a target. The id is never 0.
    Id begin(WorkKey const&, SuspectTarget const&, Time now, RunKind = RunKind::Request);

    /// Ends a run for any reason other than a broken connection. Unknown ids are ignored.
    void finish(Id);

    /// A request in progress at a target.
    struct Run {
        WorkKey key;
        SuspectTarget target;
        Time begunAt;
        RunKind kind { RunKind::Request };
    };

    /// Returns a run. Precondition: it is in progress.
    Run const& at(Id id) const { return m_open.at(id); }

    /// What to do after a broken connection.
    enum class BreakAction : std::uint8_t {
        None, ///< A probe of the target is already pending.
        Probe, ///< Probe whether the target's process has ended, then call one of the three functions below.
        TargetEnded, ///< The target is known to have ended since the run began; call `noteEnded` again to get this run.
    };

    /// Ends a run whose connection broke. Unknown ids are ignored.
    BreakAction noteConnectionLost(Id, Time now);

    /// Records that the target's process has ended. Returns the requests whose connections to it broke; those still open follow
    /// as they break. May be called again for a target that restarted under the same id without this daemon's knowledge.
    std::vector<std::pair<WorkKey, TargetEnd>> noteEnded(std::uint64_t incarnation, Time now);

    /// Ends a run that the target completed. Its connection was open from its begin until now, so that other connections that broke
    /// meanwhile failed in the network. Runs of the same request that broke before, at any target, are no evidence any more.
    /// Precondition: the run is in progress.
    void finishSuccessfully(Id, Time now);

    /// Records that the target's process of `since` was alive at `asOf`: connections that broke between failed in the network.
    void noteAlive(std::uint64_t incarnation, Time asOf, Time since = Time());

    /// Records that the probe was inconclusive; later evidence may still decide.
    void noteUnknown(std::uint64_t incarnation) { m_pendingProbes.erase(incarnation); }

    /// Removes broken runs and ended targets past their retention.
    void expire(Time now) { expire(now, now); }

    /// As above, where the list of targets is known as of `listedAsOf`: targets that ended later are not known to have.
    void expire(Time now, Time listedAsOf);

    /// Returns the incarnations of targets with runs in progress of other whole requests that satisfy `matches`.
    std::set<std::uint64_t> targetsWithOthers(WorkKey const&, std::function<bool(WorkKey const&)> const& matches) const;

    /// Whether a run of the request is in progress at any target.
    bool isOpen(WorkKey const&) const;

private:
    struct BrokenRun {
        Run run;
        Time at;
    };

    RunTableSettings m_settings;
    Id m_lastId { 0 };
    std::unordered_map<Id, Run> m_open;
    std::map<std::uint64_t, std::vector<BrokenRun>> m_broken; ///< Keyed by the target's incarnation.
    std::set<std::uint64_t> m_pendingProbes; ///< Incarnations of targets being probed.
    std::map<std::uint64_t, Time> m_ended; ///< When the last end of each incarnation became known.
};

}
