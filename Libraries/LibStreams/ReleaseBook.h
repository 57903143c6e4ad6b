#pragma once

#include <LibStreams/StreamOrigin.h>
#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace Streams {

/// The releases of a service under which streams may have begun, as the store keeps them.
struct ReleaseRecord {
    std::uint64_t offset { 0 }; ///< Of the record in the store.
    std::set<std::string> releases; ///< An empty name stands for targets that do not state theirs.

    bool operator==(ReleaseRecord const&) const = default;
};

/// Decides which releases of a service may begin streams. A release is in the service's record in the store before any daemon begins
/// a stream at it, and long after its last target is gone. So a stream of which nothing is known began at the one release of a record
/// that names one alone; this holds for records read after the stream began. Does no I/O and is not thread-safe.
class ReleaseBook {
public:
    struct Settings {
        /// A release stays in the record so long after its last target was listed. Longer than a daemon may be cut off from the store
        /// and all peers while it goes on serving, since it does not learn of the change.
        std::chrono::milliseconds retention { std::chrono::minutes(10) };
        /// Daemons that do not read the store for others leave a change to those that do for this long.
        std::chrono::milliseconds othersFirst { 1'000 };
        /// After it they write at a random moment within a window proportional to the number of daemons, so that a store that fails is
        /// not called more often by a larger site.
        std::chrono::milliseconds windowPerDaemon { 200 };
    };

    /// `seed` must differ between daemons so that they do not write at the same time.
    ReleaseBook(Settings const& settings, std::uint64_t seed)
        : m_settings(settings)
        , m_random(seed)
    {
    }

    /// Takes a service's record, from the store or a peer; an older one than the known is ignored. Returns whether it is news.
    bool take(std::string const& service, ReleaseRecord);

    /// Records that all records of the store, as of some moment since this daemon started, are known.
    void noteLoaded() { m_isLoaded = true; }
    bool isLoaded() const { return m_isLoaded; }

    std::map<std::string, ReleaseRecord> const& records() const { return m_records; } ///< By service.

    /// Takes the releases of all listed targets of services whose streams may go on elsewhere, by service.
    void setListed(std::map<std::string, std::set<std::string>>, Time now);

    /// Whether a target of this release may begin streams.
    bool mayBegin(StreamOrigin const&) const;

    /// Whether streams of a service may have begun at several releases, so that each one's origin has to be recorded.
    bool isMixed(std::string const& service) const;

    /// Returns the release at which streams of which nothing is known began, if there is only one.
    static std::optional<std::string> onlyRelease(ReleaseRecord const&);

    /// A record that should be written.
    struct Change {
        std::string service;
        std::set<std::string> releases;

        bool operator==(Change const&) const = default;
    };

    /// Returns a change that is due now, and leaves the next try to a later call. `isReader`: this daemon reads the store for the others;
    /// `daemons`: how many there are, this one included.
    std::optional<Change> dueChange(Time now, bool isReader, std::size_t daemons);

private:
    std::optional<Change> changeOf(std::string const& service, Time now) const;
    Time drawWriteTime(Time now, std::size_t daemons);

    Settings m_settings;
    std::mt19937_64 m_random;
    bool m_isLoaded { false };
    std::map<std::string, ReleaseRecord> m_records;
    std::map<std::string, std::map<std::string, Time>> m_listedAt; ///< When a release was last listed, or first found in a record, by service.
    std::map<std::string, std::set<std::string>> m_listed;
    std::map<std::string, Time> m_dueAt; ///< When this daemon makes a pending change, by service.
};

}
