#pragma once

#include <LibFleet/Time.h>
#include <LibPlatform/Directory.h>
#include <map>
#include <optional>
#include <string>

namespace Fleet {

/// Intervals of the list of targets.
struct TargetBookSettings {
    /// Reads that failed for this long, or an answer that came so late, mean that the store was away: targets' entries
    /// lapse after three missed heartbeats of a second or so.
    std::chrono::milliseconds awayAfter { 1'500 };
    /// Targets whose entry lapsed while the store was away list themselves again within about two seconds of its
    /// return (the platform's word); one that is missing after that is gone.
    std::chrono::milliseconds lapseGrace { 2'200 };
};

/// A target that may be alive.
struct BookedTarget {
    Platform::ListedTarget listed;
    bool isLapsed { false }; ///< Its entry is missing, which may be due to the store alone.
    Time lapsedAt {}; ///< When that was seen.
};

/// Which targets are there, from what the store lists and from when it could be read. Pure and not thread-safe.
class TargetBook {
public:
    explicit TargetBook(TargetBookSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Notes that a read of the list failed. A time without any read says nothing of the store.
    void noteFailure(Time now);

    /// Notes that the reads of a daemon which reads for all have failed for so long. What this daemon knows to have been answered
    /// since counts against it, and one that knows of no answer at all, as it has just started, cannot tell.
    void notePeerFailure(Time now, std::chrono::milliseconds failingFor);

    /// Notes that the store answered a read of the list.
    void noteRead(Time now);

    /// Notes that a daemon which reads the list for all is answered: it tells itself how long lapsed entries are kept.
    void noteReadElsewhere(Time now);

    /// Notes until when whatever the store had taken is known here, whoever told it: a store that was away leaves a gap in that.
    void noteKnownUntil(Time asOf, Time now);

    /// Notes that the store has come back at a daemon that reads it all the time: for so long more, targets whose entries
    /// lapsed may list themselves again. That daemon alone may have been cut off: it is not believed where this one has known
    /// the list all the while.
    void noteReturnElsewhere(Time now, std::chrono::milliseconds graceLeft);

    /// Returns how long targets whose entries lapsed are kept, as this daemon's own reads tell; 0: they are not.
    std::chrono::milliseconds graceLeft(Time now) const;

    /// Takes a target's entry. Returns whether anything but its heartbeat changed.
    bool list(Platform::ListedTarget const&);

    /// Takes the removal of an entry. Returns whether the targets changed.
    bool remove(std::string const& id, Time now);

    /// Takes an entry that names no target to use, in place of the one before. Returns whether the targets changed.
    bool drop(std::string const& id) { return m_targets.erase(id) > 0; }

    /// Drops lapsed targets whose grace is over, and those that have had a whole one: another daemon that comes back to the store
    /// later prolongs nothing for them. Returns whether there were any.
    bool expire(Time now);

    /// All targets, by id.
    std::map<std::string, BookedTarget> const& targets() const { return m_targets; }

private:
    bool mayHaveBeenAway(Time now) const;

    TargetBookSettings m_settings;
    std::map<std::string, BookedTarget> m_targets;
    std::optional<Time> m_answeredAt; ///< When the store was last known to answer, here or elsewhere.
    std::optional<Time> m_failingSince; ///< Since the first failed read behind the last good one.
    std::optional<Time> m_knownUntil; ///< Whatever the store had taken by then is known.
    std::optional<Time> m_gapEndedAt; ///< When something was known again after a time as long as the store's absence.
    std::optional<Time> m_graceUntil; ///< Set when the store came back lately.
    std::optional<Time> m_ownGraceUntil; ///< The same, by this daemon's own reads alone: only that is told to others.
};

}
