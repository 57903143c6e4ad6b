#pragma once

#include <LibQuarantine/Suspect.h>
#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace Quarantine {

struct CatchUpSettings {
    /// New evidence reaches all daemons within one or two beacons; a digest that differs for longer triggers a query.
    std::chrono::milliseconds gracePeriod { 300 };
    /// At beacon intervals up to this there are few daemons, so those that start together may all query at once.
    std::chrono::milliseconds unspreadGracePeriod { 100 };
    std::chrono::milliseconds minInterval { 300 }; ///< Between two queries; doubled while replies change nothing.
    std::chrono::milliseconds maxInterval { 10'000 };
};

/// Anti-entropy for suspected requests: selects a peer to fetch the full state from when its digest has differed for a while.
/// After lost beacons, a partition or a restart, a daemon detects missing evidence by the next beacon of any peer.
/// A daemon has caught up once it has the state of a peer that has caught up, or has read the store.
/// Performs no I/O. Not thread-safe.
class CatchUp {
public:
    /// `seed` must differ between daemons, so that those that start together don't all query one peer at the same time.
    explicit CatchUp(std::uint64_t seed, CatchUpSettings const& settings = {})
        : m_settings(settings)
        , m_interval(settings.minInterval)
        , m_random(seed)
    {
    }

    /// Records the digest from a peer's beacon; nothing: the peer has not caught up itself.
    void notePeerDigest(std::string const& peer, std::optional<std::uint64_t> digest, std::uint64_t ownDigest, Time now);

    /// Returns the peer to query now, if any, chosen at random from those whose digest has differed for long enough. A daemon
    /// that has not caught up queries immediately, or with many daemons after a random part of a beacon interval. `gracePeriod`
    /// overrides the setting if it is longer, for long beacon intervals. Peers not heard from for `peerTimeout` are dropped.
    std::optional<std::string> peerToQuery(std::uint64_t ownDigest, std::chrono::milliseconds gracePeriod, std::chrono::milliseconds peerTimeout, Time now);

    /// Records the outcome of the last query: whether the peer replied, and whether that changed the local state.
    void noteReply(bool hasReplied, bool hasChanged, Time now);

    /// Records that all suspects in the store have been read.
    void noteLoaded() { m_isCaughtUp = true; }

    bool isCaughtUp() const { return m_isCaughtUp; }

private:
    struct PeerState {
        std::uint64_t digest { 0 };
        Time at;
        std::optional<Time> differsSince;
    };

    CatchUpSettings m_settings;
    std::map<std::string, PeerState> m_peers;
    std::chrono::milliseconds m_interval;
    std::mt19937_64 m_random;
    std::optional<double> m_initialDelayFraction; ///< Random part of the grace period, before the first query.
    Time m_nextQueryAt;
    bool m_isQueryPending { false };
    bool m_isCaughtUp { false };
};

}
