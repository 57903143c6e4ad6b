#pragma once

#include <LibAuthority/LeaseRecord.h>
#include <LibAuthority/LeaseState.h>
#include <LibAuthority/Time.h>
#include <LibCore/EnumNames.h>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace Authority {

/// Timing of a lease. All daemons must use the same values.
struct LeaseSettings {
    Duration duration { std::chrono::seconds(15) }; ///< How long a claim or renewal is valid.
    Duration renewInterval { std::chrono::seconds(5) };
    Duration retryInterval { std::chrono::seconds(2) }; ///< After an append that was not read back.
    Duration rankStep { std::chrono::seconds(1) }; ///< Additional delay of a claim per candidate rank.
    Duration clockMargin { std::chrono::milliseconds(500) }; ///< Maximum drift between two clocks over `duration`.
};

/// A daemon's relation to a pool's lease.
enum class KeeperPhase : std::uint8_t {
    Follower, ///< Another daemon holds the lease, or no daemon does.
    Holding, ///< It holds the lease and may send orders.
    Lapsed, ///< Its claim is still the newest, but has expired: it sends no orders until a renewal is read back.
    Releasing, ///< It sends no more orders and is releasing the lease.
    Superseded, ///< A newer claim was accepted, and it has not acknowledged that yet.
};

inline constexpr Core::EnumNames<KeeperPhase, 5> keeperPhaseNames { {
    { KeeperPhase::Follower, "follower" },
    { KeeperPhase::Holding, "holding" },
    { KeeperPhase::Lapsed, "lapsed" },
    { KeeperPhase::Releasing, "releasing" },
    { KeeperPhase::Superseded, "superseded" },
} };

/// Claims, renews and releases the lease of one pool for one daemon. The holder measures its term from before it sent the
/// append; all others measure it from when they read the last record. `observe` takes events, `poll` returns the appends.
/// Does no I/O and is not thread-safe.
class LeaseKeeper {
public:
    /// Preconditions: the settings' duration is more than twice `clockMargin`; `self.incarnation` is unique to this process.
    LeaseKeeper(LeaseSettings const&, std::string pool, Holder self, std::uint64_t seed);

    /// Takes the lease from the fold (null if there never was one) after a record was read at `now`, and once at
    /// startup.
    void observe(Lease const*, Time now);

    /// Sets whether this daemon is a candidate, and its rank: the candidate of rank 0 claims first.
    void setCandidate(bool isCandidate, std::uint32_t rank);

    /// Starts to release the lease, as at shutdown. It is not claimed again.
    void release();

    /// Returns a record to append now, if one is due. Its term starts at `now`, even if the append is delayed.
    /// While `hasUnansweredOrders`, nothing is released or acknowledged, as such an order may still reach its engine.
    std::optional<LeaseRecord> poll(Time now, bool hasUnansweredOrders);

    /// Returns whether an order may be written now. Must be checked immediately before each write.
    bool mayOrder(Time now) const;

    /// Returns the fencing token for orders while this daemon's claim is the newest, even if it has lapsed.
    std::optional<std::uint64_t> fencing() const { return m_fencing; }

    KeeperPhase phase(Time now) const;

private:
    bool isOwn(Lease const& lease) const { return lease.holder.incarnation == m_self.incarnation && !lease.isReleased; }
    std::optional<Time> claimableAt() const;
    std::uint64_t beginAppend(Time now);
    std::optional<LeaseRecord> pollFollower(Time now);
    std::optional<LeaseRecord> pollHolder(Time now);

    LeaseSettings m_settings;
    std::string m_pool;
    Holder m_self;
    std::mt19937_64 m_random;
    bool m_isCandidate { false };
    bool m_isReleasing { false };
    std::uint32_t m_rank { 0 };
    std::optional<Lease> m_lease;
    std::optional<Time> m_changedAt; ///< When the last record of the lease was read.
    std::optional<std::uint64_t> m_fencing; ///< Of this process's claim while it is the newest.
    std::optional<std::uint64_t> m_superseded; ///< Of this process's claim whose loss it has to acknowledge.
    Time m_validUntil; ///< Meaningful while `m_fencing` is set.
    std::map<std::uint64_t, Time> m_pendingAppends; ///< Start time of each append by its id.
    std::optional<Time> m_lastAppendAt;
};

}
