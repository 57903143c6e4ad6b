#pragma once

#include <LibCore/EnumNames.h>
#include <LibFleet/DaemonBook.h>
#include <LibFleet/Time.h>
#include <cstdint>
#include <optional>
#include <random>

namespace Fleet {

/// Why the store is called. Every call has a cost for the platform, so operators can see the reasons.
enum class StoreCallReason : std::uint8_t {
    Start, ///< First read of a topic.
    Reader, ///< This daemon reads continuously on behalf of the others.
    News, ///< A peer has newer records but could not deliver them.
    Unheard, ///< No live reader is known.
    Idle, ///< Periodic check for updates that were never announced.
    Stale, ///< The copy of the topic has not been confirmed as complete recently.
    Listing, ///< This daemon writes or removes its own entry.
    Suspect, ///< This daemon records that a request has crashed targets.
    Lease, ///< This daemon claims a lease.
    Report, ///< Usage reports are read or decided on.
    Streams, ///< This daemon records at which release streams began, or looks it up.
};

inline constexpr Core::EnumNames<StoreCallReason, 11> storeCallReasonNames { {
    { StoreCallReason::Start, "start" },
    { StoreCallReason::Reader, "reader" },
    { StoreCallReason::News, "news" },
    { StoreCallReason::Unheard, "unheard" },
    { StoreCallReason::Idle, "idle" },
    { StoreCallReason::Stale, "stale" },
    { StoreCallReason::Listing, "listing" },
    { StoreCallReason::Suspect, "suspect" },
    { StoreCallReason::Lease, "lease" },
    { StoreCallReason::Report, "report" },
    { StoreCallReason::Streams, "streams" },
} };

/// Controls how often a topic is read.
struct ReadTurnSettings {
    std::chrono::milliseconds interval { 150 }; ///< Minimum time between two reads.
    /// Whether some daemons read the topic continuously and announce updates to the others; otherwise it is only read
    /// occasionally.
    bool isToldByPeers { true };
    /// Without a live reader, each daemon reads at a random moment within a window proportional to the number of daemons, so that
    /// the site as a whole makes five to ten calls per second. Whichever gets an answer announces it to the others.
    std::chrono::milliseconds unheardTimePerDaemon { 200 };
    std::chrono::milliseconds minUnheardTime { 1'000 };
    /// Updates that were never announced are found by idle reads, one per second across all daemons.
    std::chrono::milliseconds idleTimePerDaemon { 1'000 };
    std::chrono::milliseconds minIdleTime { 30'000 };
};

/// Schedules a daemon's reads of a store topic: a few daemons read continuously, the others rarely, regardless of their number.
/// Does no I/O and is not thread-safe.
class ReadTurn {
public:
    /// `seed` must differ between daemons so that they do not read simultaneously.
    ReadTurn(ReadTurnSettings const& settings, std::uint64_t seed)
        : m_settings(settings)
        , m_random(seed)
    {
    }

    /// Records that the topic is now being read from the store or fetched from a peer.
    void begin(Time now) { m_begunAt = now; }

    /// Returns the reason to read the topic now, or empty if no read is due. `hasNews`: a peer has newer records of the topic.
    std::optional<StoreCallReason> due(SiteView const&, bool hasNews, Time now);

    /// Returns when the minimum time between two reads has elapsed.
    Time allowedAt() const { return m_begunAt + m_settings.interval; }

private:
    std::optional<StoreCallReason> dueUnheard(SiteView const&, bool hasNews, Time now);

    ReadTurnSettings m_settings;
    std::mt19937_64 m_random;
    Time m_begunAt;
    std::optional<Time> m_unheardReadAt; ///< When to read while there is no live reader.
};

}
