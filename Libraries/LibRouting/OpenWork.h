#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Routing {

/// Work that was sent to a target and has not ended.
struct TargetWork {
    double prefillSeconds { 0 }; ///< Of prompts that are computed apart from their output.
    std::uint32_t requests { 0 }; ///< Whole requests and outputs: each takes a slot.
    std::uint64_t kvTokens { 0 }; ///< That those requests will hold at their end.

    bool operator==(TargetWork const&) const = default;
    TargetWork& operator+=(TargetWork const&);
};

/// The open work of one target, as daemons tell each other. `target` is the same number at every daemon.
struct TargetShare {
    std::uint64_t target { 0 };
    TargetWork work;
};

/// Work times seconds since it was told: divided by the time that such work stays open, about what was sent since.
struct StaleWork {
    double prefillSeconds { 0 };
    double requests { 0 };

    StaleWork& operator+=(StaleWork const& other)
    {
        prefillSeconds += other.prefillSeconds;
        requests += other.requests;
        return *this;
    }
};

/// The open work at each target: what this daemon sent, and what its peers last said that they had sent. A target's own
/// report lags by more than a prompt takes, so daemons add up what they know for sure. Sums are kept up to date as peers
/// speak, so that a placement costs no more with many peers than with few. Not thread-safe.
class OpenWork {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// What a peer said counts for this long at least, however often it speaks.
    static constexpr std::chrono::milliseconds leastLifetime { 1'000 };

    /// Notes work that this daemon sent, and its end.
    void begin(std::uint64_t target, TargetWork const&);
    void end(std::uint64_t target, TargetWork const&);

    /// Replaces what a peer said before. It counts for `lifetime`: longer than the time between two words of a peer, or work
    /// that is open would be forgotten before the peer speaks again.
    void setPeer(std::string const& peer, std::vector<TargetShare> const&, Time now, std::chrono::milliseconds lifetime = leastLifetime);

    /// Returns this daemon's own open work, of targets that have some.
    std::vector<TargetShare> own() const;

    /// Returns the open work of all daemons at a target. Precondition: `now` does not go back.
    TargetWork total(std::uint64_t target, Time now);

    /// Returns what peers said that they have open at a target, times how long ago they said so, in seconds. Precondition: as for
    /// `total`.
    StaleWork stale(std::uint64_t target, Time now);

private:
    /// Work of peers at one target, in whole numbers: what was added is taken away again to the last unit.
    struct Sum {
        std::int64_t prefillMicroseconds { 0 };
        std::int64_t requests { 0 };
        std::int64_t kvTokens { 0 };
        std::int64_t prefillMoment { 0 }; ///< The first two, each times when it was said: milliseconds since the epoch below.
        std::int64_t requestMoment { 0 };

        bool isNothing() const { return prefillMicroseconds == 0 && requests == 0 && kvTokens == 0; }
    };

    struct Peer {
        Time saidAt;
        Time until;
        std::vector<TargetShare> shares;
    };

    void expire(Time now);
    void add(Peer const&, int sign);
    std::int64_t sinceEpoch(Time time) const { return std::chrono::duration_cast<std::chrono::milliseconds>(time - m_epoch).count(); }

    Time m_epoch; ///< When a peer first spoke.
    std::unordered_map<std::uint64_t, TargetWork> m_own;
    std::unordered_map<std::uint64_t, Sum> m_peerSums; ///< Of the peers in `m_peers`, by target.
    std::unordered_map<std::string, Peer> m_peers;
    std::set<std::pair<Time, std::string>> m_expiries; ///< Of the peers in `m_peers`.
};

}
