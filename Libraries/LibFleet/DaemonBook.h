#pragma once

#include <LibFleet/Time.h>
#include <LibPlatform/Directory.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fleet {

/// Intervals of the book of daemons.
struct DaemonBookSettings {
    /// A daemon that was not heard for this long is taken to be gone; at least `silentBeacons` beacons, so that lost
    /// datagrams do no harm.
    std::chrono::milliseconds silentAfter { 1'000 };
    int silentBeacons { 3 };
    /// A prompt takes 50 to 400 ms: loads much older than this mislead.
    std::chrono::milliseconds leastInterval { 100 };
    /// Each other daemon makes the interval longer, so that a daemon gets 200 beacons a second at most.
    std::chrono::milliseconds intervalPerDaemon { 5 };
    /// A beacon that others wait for is sent before the next one is due, this part of the interval after the last one, the reciprocal.
    int promptPartOfInterval { 3 };
    /// Whoever has the duties of one daemon at a time, and those who could take them over with all that it was told.
    std::size_t elders { 3 };
    std::size_t readers { 2 }; ///< One more than the one whose loss must not delay news.
    /// In place of readers whose reads fail others read, as many as this: while the store is away for all, not all are to try.
    std::size_t standIns { 2 };
    /// A daemon that is listed and was never heard counts among those who may read for so long: by then its first beacon is
    /// here, or it is gone.
    std::chrono::milliseconds greetTime { 1'000 };
    /// No beacon is held up for longer, by a daemon that stood still or on its way.
    std::chrono::seconds longestHoldUp { 8 };
    /// One that was not heard for this long is forgotten; its next beacon brings it back.
    std::chrono::seconds forgetAfter { 60 };
};

/// What a daemon says of itself in each beacon.
struct DaemonState {
    bool isLeaving { false };
    bool isReading { false }; ///< It reads the store all the time, and was answered lately.
    bool cannotPlan { false }; ///< It could not get a lease on engines lately.
    std::uint64_t configVersion { 0 }; ///< That it has in force.
    std::uint64_t targetsChanged { 0 }; ///< Offset behind the last record of the target list that was news to it.
    std::chrono::milliseconds storeFailingFor { 0 }; ///< Its reads of the store have failed for so long; 0: they do not.
    /// How old its copy of the configuration and of the target list may be; nothing: it does not know.
    std::optional<std::chrono::milliseconds> configAge {};
    std::optional<std::chrono::milliseconds> targetsAge {};
    Time saidAt {}; ///< By its own clock.
    bool cannotHoldDuties { false }; ///< It could not get the lease on singleton duties lately.
    std::chrono::milliseconds runningFor { 0 }; ///< Its process, by its VM's clock since boot.
    /// When its process started, in milliseconds of the fleet's true time since 1970, as the process itself found out once for all; 0:
    /// it has not yet.
    std::chrono::milliseconds startedAt { 0 };

    bool operator==(DaemonState const&) const = default;
};

/// Another daemon of the site.
struct BookedDaemon {
    Platform::ListedDaemon listed;
    Time knownSince;
    Time heardAt; ///< When its last beacon came; `Time()`: never.
    std::uint64_t sequence { 0 }; ///< Of its last beacon.
    DaemonState said; ///< Ages are as of `heardAt`: the time that the beacon took is added.
    Time startedAt; ///< Its process, by this daemon's clock, as far as beacons tell: no earlier, and later by their way at most.
    /// The least time between what its clock said in a beacon and what this daemon's said when it came: the clocks' difference,
    /// and the way. A beacon that came with more was held up by the difference, on its way or in this daemon's own socket.
    std::optional<Time::duration> leastLag;
    std::chrono::milliseconds heldUp { 0 }; ///< The last beacon.
};

/// Who reads the store for the site, and what is to be known, as one daemon sees it at one moment.
struct SiteView {
    std::size_t live { 1 }; ///< Daemons that are heard from, this one included.
    bool isReader { true }; ///< This daemon should read the store all the time.
    bool hearsReader { false }; ///< Another one that does so is heard, so that its beacons bring the news.
    bool isPlanner { true }; ///< This daemon should plan the roles of engines.
    DaemonState newest; ///< The newest that any daemon heard from lately said.

    bool operator==(SiteView const&) const = default;
};

/// Which other daemons there are: from the store to begin with, then from what they themselves say.
/// Pure and not thread-safe.
class DaemonBook {
public:
    explicit DaemonBook(DaemonBookSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Takes a daemon's entry in the store. Another incarnation than that of a daemon that is heard changes nothing, unless it is
    /// greater: numbers are of wall clocks, which jump, and a daemon that has started again tells of itself soon.
    void list(Platform::ListedDaemon const&, Time now);

    /// Takes what a beacon says. Returns false for one that is older than what is known: of the same process, or of one that started
    /// earlier.
    bool hear(Platform::ListedDaemon const&, std::uint64_t sequence, DaemonState const&, Time now);

    /// Forgets who has been silent for long.
    void expire(Time now);

    /// All known daemons, by name: beacons go to them.
    std::map<std::string, BookedDaemon> const& daemons() const { return m_daemons; }

    /// Whether a daemon was heard from lately.
    bool isLive(BookedDaemon const&, Time now) const;

    /// Returns how often to send beacons: seldom enough that their number does not grow with the square of the site.
    std::chrono::milliseconds beaconInterval() const;

    /// Returns the least time between a beacon and one that others wait for.
    std::chrono::milliseconds promptInterval() const { return beaconInterval() / m_settings.promptPartOfInterval; }

    /// Returns how the site looks to a daemon of this name. The first by name of those that stay read the store all the time,
    /// the first of those that can get a lease plans: all that hear the same ones agree without a word. One pass over all
    /// daemons: to be called some ten times a second, not for each request.
    SiteView view(std::string const& name, Time now) const;

    /// Returns the names of the live daemons that have run for longest, that first which has run for longest of all: the first that can
    /// get the lease has the duties of one daemon at a time. One that starts again comes last, so the first ones know what happened
    /// before. `ownStart` as in `DaemonState::startedAt`; nothing: this daemon does not count.
    std::vector<std::string> elders(std::string const& self, std::optional<std::chrono::milliseconds> ownStart, Time now) const;

    /// Returns how long a daemon may be silent and still count as live: what it last said holds as long.
    std::chrono::milliseconds silentTime() const;

    /// How many daemons are heard from, this one included.
    std::size_t liveCount(Time now) const;

    /// How many daemons may live, this one included: those that are not heard may serve callers all the same.
    std::size_t knownCount() const { return m_daemons.size() + 1; }

    /// Returns the daemons that callers may be sent to: those heard from lately that are not leaving; all that are not
    /// leaving when nobody is heard, for a dead address costs a caller less than none.
    std::vector<BookedDaemon const*> usable(Time now) const;

private:
    void take(Platform::ListedDaemon const&, Time now);

    DaemonBookSettings m_settings;
    std::map<std::string, BookedDaemon> m_daemons;
};

}
