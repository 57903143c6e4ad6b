#pragma once

#include <LibFleet/Time.h>
#include <LibPlatform/Directory.h>
#include <map>
#include <string>
#include <vector>

namespace Fleet {

/// Intervals of the book of daemons.
struct DaemonBookSettings {
    /// A daemon that was not heard for this long is taken to be gone: ten beacons, so that lost datagrams do no harm.
    std::chrono::milliseconds silentAfter { 1'000 };
    /// One that was not heard for this long is forgotten; its next beacon brings it back.
    std::chrono::seconds forgetAfter { 60 };
};

/// Another daemon of the site.
struct BookedDaemon {
    Platform::ListedDaemon listed;
    Time knownSince;
    Time heardAt; ///< When its last beacon came; `Time()`: never.
    bool isLeaving { false };
    std::uint64_t sequence { 0 }; ///< Of its last beacon.
    std::uint64_t configVersion { 0 }; ///< That it has in force, as it last said.
};

/// Which other daemons there are: from the store to begin with, then from what they themselves say.
/// Pure and not thread-safe.
class DaemonBook {
public:
    explicit DaemonBook(DaemonBookSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Takes a daemon's entry in the store. An older incarnation than the known one changes nothing.
    void list(Platform::ListedDaemon const&, Time now);

    /// Takes what a beacon says. Returns false for one that is older than what is known.
    bool hear(Platform::ListedDaemon const&, std::uint64_t sequence, bool isLeaving, std::uint64_t configVersion, Time now);

    /// Forgets who has been silent for long.
    void expire(Time now);

    /// All known daemons, by name: beacons go to them.
    std::map<std::string, BookedDaemon> const& daemons() const { return m_daemons; }

    /// Whether a daemon was heard from lately.
    bool isLive(BookedDaemon const&, Time now) const;

    /// How many daemons share the site's budgets, this one included.
    std::size_t liveCount(Time now) const;

    /// Returns the daemons that callers may be sent to: those heard from lately that are not leaving; all that are not
    /// leaving when nobody is heard, for a dead address costs a caller less than none.
    std::vector<BookedDaemon const*> usable(Time now) const;

private:
    DaemonBookSettings m_settings;
    std::map<std::string, BookedDaemon> m_daemons;
};

}
