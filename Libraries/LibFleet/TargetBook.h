#pragma once

#include <LibFleet/Time.h>
#include <LibPlatform/Directory.h>
#include <map>
#include <optional>
#include <string>

namespace Fleet {

/// Intervals for tracking the list of targets.
struct TargetBookSettings {
    /// Reads failing for this long, or an answer this late, count as a store outage: targets' entries lapse after three missed
    /// heartbeats of about a second each.
    std::chrono::milliseconds outageAfter { 1'500 };
    /// According to the platform, targets whose entry lapsed during an outage list themselves again within about two seconds of
    /// recovery. A target that is still missing after that is gone.
    std::chrono::milliseconds lapseGrace { 2'200 };
};

/// A target that may be alive.
struct BookedTarget {
    Platform::ListedTarget listed;
    bool isLapsed { false }; ///< Its entry is missing, possibly only because of a store outage.
    Time lapsedAt {}; ///< When the entry was found missing.
};

/// Tracks which targets exist, based on the store's list and on when the store could be read. Does no I/O and is not thread-safe.
class TargetBook {
public:
    explicit TargetBook(TargetBookSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Records a failed read of the list. A period without reads implies nothing about the store.
    void noteFailure(Time now);

    /// Records that a reader daemon reports its reads failing for `failingFor`. Any later answer that this daemon knows of
    /// overrides the report. A daemon that knows of no answer, such as one that has just started, cannot conclude anything from
    /// it.
    void notePeerFailure(Time now, std::chrono::milliseconds failingFor);

    /// Records a successful read of the list.
    void noteRead(Time now);

    /// Records that a reader daemon's reads of the list succeed; that daemon itself announces how long to keep lapsed entries.
    void noteReadElsewhere(Time now);

    /// Records that every change the store accepted until `asOf` is known here, from whichever source. An outage shows as a gap.
    void noteKnownUntil(Time asOf, Time now);

    /// Records that a reader daemon has seen the store recover, and that targets with lapsed entries may list themselves again
    /// for another `graceLeft`. Ignored if this daemon's copy of the list stayed current meanwhile: then only the reader was cut
    /// off.
    void noteReturnElsewhere(Time now, std::chrono::milliseconds graceLeft);

    /// Returns how much longer to keep targets with lapsed entries, judging by this daemon's own reads; 0 if not at all.
    std::chrono::milliseconds graceLeft(Time now) const;

    /// Applies a target's entry. Returns whether anything but its heartbeat changed.
    bool list(Platform::ListedTarget const&);

    /// Applies the removal of an entry. Returns whether the set of targets changed.
    bool remove(std::string const& id, Time now);

    /// Removes a target whose entry was replaced by an unusable one. Returns whether the set of targets changed.
    bool drop(std::string const& id) { return m_targets.erase(id) > 0; }

    /// Removes lapsed targets whose grace period is over or that have already had a full one, so that another daemon reconnecting
    /// to the store later does not extend it. Returns whether any were removed.
    bool expire(Time now);

    /// All targets by id, including lapsed ones.
    std::map<std::string, BookedTarget> const& targets() const { return m_targets; }

private:
    bool mayHaveBeenAway(Time now) const;

    TargetBookSettings m_settings;
    std::map<std::string, BookedTarget> m_targets;
    std::optional<Time> m_answeredAt; ///< Last known answer of the store, to this daemon or another.
    std::optional<Time> m_failingSince; ///< First failed read after the last successful one.
    std::optional<Time> m_knownUntil; ///< Every change that the store accepted by then is known.
    std::optional<Time> m_gapEndedAt; ///< End of the last gap in knowledge as long as an outage.
    std::optional<Time> m_graceUntil; ///< Set after a recent recovery of the store.
    std::optional<Time> m_ownGraceUntil; ///< The same from this daemon's own reads only; the one announced to peers.
};

}
