#pragma once

#include <LibQuarantine/Suspect.h>
#include <chrono>
#include <map>
#include <set>
#include <utility>

namespace Quarantine {

struct SuspectBookSettings {
    /// Number of ends after which a request is refused. One end implicates every request on the target, and two happen to
    /// innocent requests that are retried on the same target as the culprit.
    std::size_t endsToRefuse { 3 };
    std::size_t maxSuspects { 4'096 }; ///< About 200 bytes each. Also limits what a starting peer is sent.
    std::size_t maxEnds { 16 }; ///< Kept per request; further ones are ignored.
    /// A target may restart under the same id unnoticed and end again: two runs saw different ends if one began more than this
    /// long after the connection of the other broke. Exceeds the time difference between daemons.
    std::chrono::milliseconds minEndSeparation { 200 };
    std::size_t maxNewsPerBeacon { 64 }; ///< An engine runs no more requests than this at once.
};

/// Returns how long evidence is repeated in beacons of this interval, so that lost beacons do no harm. Thread-safe.
std::chrono::milliseconds newsLifetime(std::chrono::milliseconds beaconInterval);

/// Requests suspected of ending the targets that run them, and whether they are refused for it. Evidence is a pair of a request
/// and a target incarnation, so an end seen by several daemons or reported twice counts once. A completed run clears its
/// request. Evidence doesn't expire: a request that is resubmitted after an hour is still the same request.
/// Performs no I/O. Not thread-safe.
class SuspectBook {
public:
    explicit SuspectBook(SuspectBookSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Records that a target ended while running the request. Returns the finding; nothing if the end was known, if a target
    /// has completed the request since, or if the request has the maximum number of ends.
    std::optional<Finding> noteEnd(WorkKey const&, TargetEnd const&);

    /// Records that a target completed the request and survived. Returns whether the request was suspected.
    bool noteSurvived(WorkKey const&, Time at);

    /// Adds this daemon's own evidence to what `news` returns from now on.
    void addNews(SuspectNews, Time now);

    /// Returns this daemon's own evidence of the last `lifetime` to send to peers, the newest first.
    std::vector<SuspectNews> news(Time now, std::chrono::milliseconds lifetime);

    /// Returns the number of target ends that the request is suspected of.
    std::size_t ends(WorkKey const&) const;

    /// Whether the request or part is refused: it has ended enough targets, and a release that it ended is still in use. Ends of a
    /// part that another part or a request with more ends shares don't count: the two were sent together.
    bool isRefused(WorkKey const&) const;

    /// Whether a part is refused, and another part or a request has just the same ends: one of them may be innocent.
    bool isTied(WorkKey const& part) const;

    /// Sets the releases that each service's targets run now. A refused request may be retried once none of the releases that
    /// it ended is in use: the bug may be fixed, and one more end refuses it again. A service without targets is no evidence
    /// of a fix. Returns whether they have changed.
    bool setReleases(std::map<std::string, std::set<std::string>>);

    /// Equal at daemons that hold the same suspects with the same number of ends, up to the refusal limit. 0 without suspects.
    std::uint64_t digest() const { return m_digest; }

    /// All suspects, for a peer or an operator.
    std::vector<Suspect> suspects() const;

    /// One suspect; nothing if the request is unknown.
    std::optional<Suspect> suspect(WorkKey const&) const;

    std::size_t size() const { return m_suspects.size(); }
    std::size_t suspectedCount() const;
    std::size_t refusedCount() const;

private:
    bool isRefused(Suspect const&) const;
    std::size_t unexplainedEnds(Suspect const& part) const;
    void evictIfFull();
    void dropEndsUntil(Suspect&, Time);
    std::uint64_t digestOf(Suspect const&) const;
    bool isSoftwareInUse(Suspect const&) const;
    bool hasEnd(Suspect const&, TargetEnd const&) const;
    bool isSameEnd(TargetEnd const&, TargetEnd const&) const;

    SuspectBookSettings m_settings;
    std::map<WorkKey, Suspect> m_suspects;
    std::map<std::string, std::set<std::string>> m_releases;
    std::vector<std::pair<SuspectNews, Time>> m_news; ///< This daemon's own evidence and when it was added, the newest last.
    std::uint64_t m_digest { 0 };
};

}
