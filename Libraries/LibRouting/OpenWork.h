#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Routing {

/// Unfinished work that was sent to a target.
struct TargetWork {
    double prefillSeconds { 0 }; ///< Of prompts that are computed separately from their output.
    std::uint32_t requests { 0 }; ///< Whole requests and outputs; each occupies a slot.
    std::uint64_t kvTokens { 0 }; ///< KV cache tokens that those requests will hold when they end.

    bool operator==(TargetWork const&) const = default;
    TargetWork& operator+=(TargetWork const&);
};

/// The open work of one target, as exchanged between daemons. All daemons use the same `target` identifier.
struct TargetShare {
    std::uint64_t target { 0 };
    TargetWork work;
};

/// Work multiplied by the age of its report in seconds. Divided by the mean time that such work stays open, it estimates
/// the work sent since the report.
struct AgeWeightedWork {
    double prefillSeconds { 0 };
    double requests { 0 };

    AgeWeightedWork& operator+=(AgeWeightedWork const& other)
    {
        prefillSeconds += other.prefillSeconds;
        requests += other.requests;
        return *this;
    }
};

/// The open work at each target: sent by this daemon, and last reported by its peers. A target's own report lags by more
/// than the duration of a prompt, so daemons sum the work that they know they sent. Sums are updated with each peer report,
/// so that the cost of a lookup does not grow with the number of peers. Not thread-safe.
class OpenWork {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Minimum lifetime of a peer's report, however often it sends one.
    static constexpr std::chrono::milliseconds minLifetime { 1'000 };

    /// Records the start and the end of work that this daemon sent.
    void begin(std::uint64_t target, TargetWork const&);
    void end(std::uint64_t target, TargetWork const&);

    /// Replaces a peer's previous report. The report expires after `lifetime`, which must exceed the interval between reports
    /// of a peer, or open work would be dropped before the next report.
    void setPeer(std::string const& peer, std::vector<TargetShare> const&, Time now, std::chrono::milliseconds lifetime = minLifetime);

    /// Returns this daemon's own open work at targets that have some.
    std::vector<TargetShare> own() const;

    /// Returns the open work of all daemons at a target. Precondition: `now` does not go back.
    TargetWork total(std::uint64_t target, Time now);

    /// Returns the open work that peers reported at a target, multiplied by the age of their reports in seconds. Precondition:
    /// as for `total`.
    AgeWeightedWork ageWeighted(std::uint64_t target, Time now);

private:
    /// Work of peers at one target, in integers, so that additions and subtractions cancel out exactly.
    struct Sum {
        std::int64_t prefillMicroseconds { 0 };
        std::int64_t requests { 0 };
        std::int64_t kvTokens { 0 };
        std::int64_t prefillMoment { 0 }; ///< The first two, multiplied by the report time in milliseconds since `m_epoch`.
        std::int64_t requestMoment { 0 };

        bool isZero() const { return prefillMicroseconds == 0 && requests == 0 && kvTokens == 0; }
    };

    struct Peer {
        Time reportedAt;
        Time until;
        std::vector<TargetShare> shares;
    };

    void expire(Time now);
    void add(Peer const&, int sign);
    std::int64_t sinceEpoch(Time time) const { return std::chrono::duration_cast<std::chrono::milliseconds>(time - m_epoch).count(); }

    Time m_epoch; ///< Time of the first peer report.
    std::unordered_map<std::uint64_t, TargetWork> m_own;
    std::unordered_map<std::uint64_t, Sum> m_peerSums; ///< Of the peers in `m_peers`, by target.
    std::unordered_map<std::string, Peer> m_peers;
    std::set<std::pair<Time, std::string>> m_expiries; ///< Of the peers in `m_peers`.
};

}
