#pragma once

#include <LibFleet/Time.h>
#include <LibPlatform/Directory.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fleet {

/// Intervals and limits of the daemon registry.
struct DaemonBookSettings {
    /// A daemon is considered gone when no beacon has arrived for this long, and for at least `maxMissedBeacons` beacon
    /// intervals, so that lost datagrams do not matter.
    std::chrono::milliseconds silentAfter { 1'000 };
    int maxMissedBeacons { 3 };
    /// A prompt takes 50 to 400 ms, so load figures much older than this are misleading.
    std::chrono::milliseconds leastInterval { 100 };
    /// The interval grows with each other daemon, so that a daemon receives at most 200 beacons per second.
    std::chrono::milliseconds intervalPerDaemon { 5 };
    /// An urgent beacon is sent ahead of schedule, but no sooner than the beacon interval divided by this after the previous one.
    int promptIntervalDivisor { 3 };
    /// The daemon holding the singleton duties, plus those that could take over with the same information.
    std::size_t elders { 3 };
    std::size_t readers { 2 }; ///< Two, so that losing one does not delay updates.
    /// At most this many daemons read in place of readers whose reads fail, so that not all of them retry while the store is down
    /// for everyone.
    std::size_t substituteReaders { 2 };
    /// How long a listed daemon without any beacon still counts as a potential reader. By then its first beacon has arrived, or
    /// it is gone.
    std::chrono::milliseconds firstBeaconTimeout { 1'000 };
    /// Upper bound on a beacon's delay, whether in the network or in a stalled daemon.
    std::chrono::seconds maxBeaconDelay { 8 };
    /// A daemon silent for this long is removed; its next beacon adds it again.
    std::chrono::seconds forgetAfter { 60 };
};

/// The state that a daemon reports about itself in each beacon.
struct DaemonState {
    bool isLeaving { false };
    bool isReading { false }; ///< It reads the store continuously and received an answer recently.
    bool cannotPlan { false }; ///< It recently failed to get a lease on engines.
    std::uint64_t configVersion { 0 }; ///< The version in effect.
    std::uint64_t targetsChanged { 0 }; ///< Offset after the last target list record that was new to it.
    std::chrono::milliseconds storeFailingFor { 0 }; ///< How long its store reads have been failing; 0 if they are not.
    /// Maximum age of its copies of the configuration and the target list according to its own reads; empty if unknown.
    std::optional<std::chrono::milliseconds> configAge {};
    std::optional<std::chrono::milliseconds> targetsAge {};
    Time saidAt {}; ///< According to its own clock.
    bool cannotHoldDuties { false }; ///< It recently failed to get the lease on singleton duties.
    std::chrono::milliseconds runningFor { 0 }; ///< Process uptime, measured with its VM's boot clock.
    /// Process start in milliseconds since 1970 on the fleet's agreed true time; the process determines it once. 0 until then.
    std::chrono::milliseconds startedAt { 0 };
    std::uint64_t leaseClaimed { 0 }; ///< Offset after its newest claim of a lease on engines or duties; 0 if it has none.
    bool recordsStreams { false }; ///< It goes on with a stream at its own release only, and records streams for others.

    bool operator==(DaemonState const&) const = default;
};

/// Another daemon of the site.
struct BookedDaemon {
    Platform::ListedDaemon listed;
    Time knownSince;
    Time heardAt; ///< When its last beacon arrived; `Time()` if none has.
    std::uint64_t sequence { 0 }; ///< Sequence number of its last beacon.
    DaemonState said; ///< Ages are relative to `heardAt` and include the beacon's transit time.
    Time startedAt; ///< Process start on this daemon's clock, from beacons; never early, late by their transit time at most.
    /// The smallest observed difference between the send time in a beacon and its local arrival time: the clock offset plus the
    /// minimum transit time. A beacon with a larger difference was delayed by the excess, in the network or in this daemon's own
    /// socket.
    std::optional<Time::duration> minClockOffset;
    std::chrono::milliseconds heldUp { 0 }; ///< Delay of the last beacon.
};

/// One daemon's view of the site at one moment: which daemons read the store, and the newest state reported.
struct SiteView {
    std::size_t live { 1 }; ///< Number of live daemons, including this one.
    bool isReader { true }; ///< This daemon should read the store continuously.
    bool hasLiveReader { false }; ///< Another daemon that does so is live, so its beacons announce updates.
    bool isPlanner { true }; ///< This daemon should plan the roles of engines, unless another one holds a lease on them.
    std::uint64_t leaseClaimed { 0 }; ///< Greatest of all other live daemons that can plan; 0: none of them holds a lease.
    DaemonState newest; ///< The newest values reported by any live daemon.

    /// Whether this daemon should plan the roles of engines, given the offset after its own newest claim of a lease on them (0:
    /// none). Whoever holds the lease goes on planning while it lives, since another could only gain the lease after its term.
    bool plansWith(std::uint64_t ownClaim) const { return ownClaim != leaseClaimed ? ownClaim > leaseClaimed : isPlanner; }

    bool operator==(SiteView const&) const = default;
};

/// Tracks the site's other daemons: discovered through the store, then updated from their beacons.
/// Does no I/O and is not thread-safe.
class DaemonBook {
public:
    explicit DaemonBook(DaemonBookSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Applies a daemon's store entry. For a live daemon, an incarnation other than the known one is ignored unless it is
    /// greater: incarnations come from wall clocks, which can jump, and a restarted daemon soon sends beacons.
    void list(Platform::ListedDaemon const&, Time now);

    /// Applies a beacon. Returns false if it is outdated: older than the last one from the same process, or from a process that
    /// started earlier.
    bool hear(Platform::ListedDaemon const&, std::uint64_t sequence, DaemonState const&, Time now);

    /// Removes daemons that have been silent for `forgetAfter`.
    void expire(Time now);

    /// All known daemons by name; these are the recipients of beacons.
    std::map<std::string, BookedDaemon> const& daemons() const { return m_daemons; }

    /// Whether a beacon from this daemon arrived recently enough.
    bool isLive(BookedDaemon const&, Time now) const;

    /// Returns the beacon interval, which grows with the site so that total traffic does not grow quadratically.
    std::chrono::milliseconds beaconInterval() const;

    /// Returns the minimum time between a beacon and an urgent one that follows it.
    std::chrono::milliseconds promptInterval() const { return beaconInterval() / m_settings.promptIntervalDivisor; }

    /// Returns the site as seen by the daemon with this name. The first daemons by name that are not leaving read the store
    /// continuously, and the first that can get a lease plans; daemons that hear the same peers agree without coordination.
    /// Iterates over all daemons: call it about ten times per second, not per request.
    SiteView view(std::string const& name, Time now) const;

    /// Returns the names of the daemons that have the singleton duties (the first) or stand by: the one with the newest claim of a
    /// lease, so that a holder keeps it while it can, then the longest-running live ones. A restarted daemon sorts last, so the
    /// first ones know the recent history. `ownStart` and `ownClaim` are as `startedAt` and `leaseClaimed` in `DaemonState`; if
    /// `ownStart` is empty, this daemon is left out.
    std::vector<std::string> elders(std::string const& self, std::optional<std::chrono::milliseconds> ownStart, std::uint64_t ownClaim, Time now) const;

    /// Returns how long a silent daemon still counts as live, which is also how long its last reported state is valid.
    std::chrono::milliseconds livenessTimeout() const;

    /// Number of live daemons, including this one.
    std::size_t liveCount(Time now) const;

    /// Number of daemons that may be running, including this one: those without recent beacons may still serve callers.
    std::size_t knownCount() const { return m_daemons.size() + 1; }

    /// Returns the daemons that callers may be directed to: live ones that are not leaving or, if none are live, all known ones
    /// that are not leaving, since a dead address costs a caller less than having none.
    std::vector<BookedDaemon const*> usable(Time now) const;

private:
    void take(Platform::ListedDaemon const&, Time now);

    DaemonBookSettings m_settings;
    std::map<std::string, BookedDaemon> m_daemons;
};

}
