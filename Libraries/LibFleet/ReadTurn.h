#pragma once

#include <LibCore/EnumNames.h>
#include <LibFleet/DaemonBook.h>
#include <LibFleet/Time.h>
#include <cstdint>
#include <optional>
#include <random>

namespace Fleet {

/// Why the store is called. Each call costs the platform, so operators see what they are made for.
enum class StoreCallReason : std::uint8_t {
    Start, ///< A topic is read for the first time.
    Reader, ///< This daemon reads all the time for the others.
    News, ///< A peer knows more and could not hand it on.
    Unheard, ///< Nobody that reads for the others is heard.
    Idle, ///< In case something was never told.
    Stale, ///< Nobody has confirmed lately that the copy of the topic is whole.
    Listing, ///< This daemon writes or takes back its own entry.
    Suspect, ///< This daemon writes down that a request has ended targets.
    Lease, ///< This daemon claims a lease.
    Report, ///< What is reported of usage is read or decided.
};

inline constexpr Core::EnumNames<StoreCallReason, 10> storeCallReasonNames { {
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
} };

/// How often a topic is read.
struct ReadTurnSettings {
    std::chrono::milliseconds interval { 150 }; ///< Least time between two reads.
    /// Whether some daemons read it all the time and tell the others what is new; else it is only read now and then.
    bool isToldByPeers { true };
    /// Where no reader is heard each daemon reads at a random moment of a time that grows with their number, so that the site
    /// as a whole makes five to ten calls a second, and whoever is answered tells the others.
    std::chrono::milliseconds unheardTimePerDaemon { 200 };
    std::chrono::milliseconds leastUnheardTime { 1'000 };
    /// What nobody ever told is found by a read, of all daemons together one a second.
    std::chrono::milliseconds idleTimePerDaemon { 1'000 };
    std::chrono::milliseconds leastIdleTime { 30'000 };
};

/// Whose turn it is to read a topic of the store: of a few daemons all the time, of the others seldom, whatever their number.
/// Pure and not thread-safe.
class ReadTurn {
public:
    /// `seed` differs from daemon to daemon, so that they do not read at one moment.
    ReadTurn(ReadTurnSettings const& settings, std::uint64_t seed)
        : m_settings(settings)
        , m_random(seed)
    {
    }

    /// Notes that the topic is being read, or learnt from a peer.
    void begin(Time now) { m_begunAt = now; }

    /// Returns why the topic is to be read now; nothing when it is not. `hasNews`: a peer knows more of the topic.
    std::optional<StoreCallReason> due(SiteView const&, bool hasNews, Time now);

    /// Returns when the least time between two reads is over.
    Time allowedAt() const { return m_begunAt + m_settings.interval; }

private:
    std::optional<StoreCallReason> dueUnheard(SiteView const&, bool hasNews, Time now);

    ReadTurnSettings m_settings;
    std::mt19937_64 m_random;
    Time m_begunAt;
    std::optional<Time> m_unheardTurn; ///< When to read since no reader is heard.
};

}
