#pragma once

#include <LibQuarantine/RunTable.h>
#include <LibQuarantine/SoundParts.h>
#include <LibQuarantine/SuspectBook.h>
#include <mutex>

namespace Quarantine {

/// A daemon's state on requests that end targets: its own runs and the evidence of all daemons. Thread-safe.
class Guard {
public:
    explicit Guard(SuspectBookSettings const& suspects = {}, RunTableSettings const& runs = {})
        : m_suspects(suspects)
        , m_runs(runs)
    {
    }

    /// Whether and how a request may run now.
    enum class Disposition : std::uint8_t {
        Open, ///< It may run.
        Exclusive, ///< It may run, but only once at a time: one more end and it is refused.
        Refused,
    };

    Disposition disposition(WorkKey const&) const;

    /// Whether this daemon has a run of the request in progress at a target.
    bool isOpen(WorkKey const&) const;

    /// Returns the incarnations of targets at which this daemon runs other suspects. With one suspect per target the end
    /// of a target is stronger evidence, and an innocent request doesn't share a target with the culprit. Empty if the
    /// request itself is not suspected.
    std::set<std::uint64_t> targetsOfOtherSuspects(WorkKey const&) const;

    /// Records that a request is being sent to a target. End the run with one of the next three functions.
    RunTable::Id begin(WorkKey const&, SuspectTarget const&, Time now);

    /// Records that a request with a part is being sent to the target that will write the answer. `part` identifies the part, whatever
    /// else the request holds. End the run with `finish`, `noteBegun` or `noteConnectionLost`.
    RunTable::Id beginPart(WorkKey const& part, SuspectTarget const&, Time now);

    /// Ends the run of a part whose target has begun to write the answer. From then on the part is sound: ends with it accuse other
    /// parts, at all daemons that hear of it. Returns whether that cleared a suspect.
    bool noteBegun(RunTable::Id, Time now);

    /// Ends a run without evidence for or against the request. Unknown ids are ignored.
    void finish(RunTable::Id);

    /// Ends a run that the target completed. Returns whether that cleared a suspect.
    bool finishSuccessfully(RunTable::Id, Time now);

    /// Ends a run whose connection broke. Returns whether the caller has to probe the target and report the result with
    /// `noteEnded`, `noteAlive` or `noteUnknown`; and findings if the target is already known to have ended.
    struct ConnectionLoss {
        bool needsProbe { false };
        std::vector<Finding> findings;
    };
    ConnectionLoss noteConnectionLost(RunTable::Id, Time now);

    /// Records that a target's process has ended. Returns the findings on the requests that it was running.
    std::vector<Finding> noteEnded(std::uint64_t incarnation, Time now);

    void noteAlive(std::uint64_t incarnation, Time asOf);
    void noteUnknown(std::uint64_t incarnation);

    /// Merges evidence from a peer. Returns the resulting findings.
    std::vector<Finding> merge(std::vector<SuspectNews> const&, Time now);

    /// Sets the software releases that the targets of each service run now.
    void setReleases(std::map<std::string, std::set<std::string>>);

    /// Returns the evidence to send to peers now, and removes expired evidence and runs.
    std::vector<SuspectNews> news(Time now, std::chrono::milliseconds lifetime) { return news(now, lifetime, now); }

    /// As above, where the list of targets is known as of `listedAsOf`.
    std::vector<SuspectNews> news(Time now, std::chrono::milliseconds lifetime, Time listedAsOf);

    std::uint64_t digest() const;
    std::vector<Suspect> suspects() const;
    std::optional<Suspect> suspect(WorkKey const&) const;
    std::size_t refusedCount() const;
    std::size_t suspectedCount() const;

private:
    bool noteSurvived(WorkKey const&, Time now);
    std::vector<Finding> noteOwnEnds(std::uint64_t incarnation, Time now);

    mutable std::mutex m_mutex;
    SuspectBook m_suspects;
    RunTable m_runs;
    SoundParts m_sound;
};

}
