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

/// Times of a lease. All daemons need the same.
struct LeaseSettings {
    Duration duration { std::chrono::seconds(15) }; ///< How long a claim or renewal counts.
    Duration renewInterval { std::chrono::seconds(5) };
    Duration retryInterval { std::chrono::seconds(2) }; ///< After an append that was not read back.
    Duration rankStep { std::chrono::seconds(1) }; ///< How much longer each further candidate waits.
    Duration clockMargin { std::chrono::milliseconds(500) }; ///< By how much clocks may drift apart in `duration`.
};

/// What a daemon is to a pool's lease.
enum class KeeperPhase : std::uint8_t {
    Follower, ///< Another daemon holds it, or nobody does.
    Holding, ///< It holds the lease and may order.
    Lapsed, ///< Its claim is still the last one, but its time is up: it orders nothing until a renewal is read back.
    Releasing, ///< It orders nothing any more and gives the lease up.
    Superseded, ///< A newer claim won, and it has not yet acknowledged that.
};

inline constexpr Core::EnumNames<KeeperPhase, 5> keeperPhaseNames { {
    { KeeperPhase::Follower, "follower" },
    { KeeperPhase::Holding, "holding" },
    { KeeperPhase::Lapsed, "lapsed" },
    { KeeperPhase::Releasing, "releasing" },
    { KeeperPhase::Superseded, "superseded" },
} };

/// One daemon's part in the lease of one pool. The holder counts its time from before it sent the append; all
/// others count from when they read the last record. Events come in by `observe`, appends go out by `poll`.
/// Pure and not thread-safe.
class LeaseKeeper {
public:
    /// Preconditions: the settings' duration is more than twice `clockMargin`; `self.incarnation` is this process's own.
    LeaseKeeper(LeaseSettings const&, std::string pool, Holder self, std::uint64_t seed);

    /// Takes the lease as the fold has it (null: there never was one) after a record was read at `now`, and
    /// once at the start.
    void observe(Lease const*, Time now);

    /// Says whether this daemon is a candidate, and which: the candidate of rank 0 claims first.
    void setCandidate(bool isCandidate, std::uint32_t rank);

    /// Starts to give the lease up, as at a shutdown. It is not claimed again.
    void release();

    /// Returns a record to append now, if one is due. Its time counts from `now`, however late it gets there.
    /// While `hasUnansweredOrders`, nothing is released or acknowledged: such an order may yet reach its engine.
    std::optional<LeaseRecord> poll(Time now, bool hasUnansweredOrders);

    /// Returns whether an order may be written now. To be asked right before each write.
    bool mayOrder(Time now) const;

    /// Returns the number to order under while the lease is this daemon's, also when it has lapsed.
    std::optional<std::uint64_t> fencing() const { return m_fencing; }

    KeeperPhase phase(Time now) const;

private:
    bool isOwn(Lease const& lease) const { return lease.holder.incarnation == m_self.incarnation && !lease.isReleased; }
    std::optional<Time> claimableAt() const;
    std::uint64_t sendAt(Time now);
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
    std::optional<Time> m_changedAt; ///< When the last change of the lease was read.
    std::optional<std::uint64_t> m_fencing; ///< Of this process's claim while it is the last one.
    std::optional<std::uint64_t> m_superseded; ///< Of this process's claim that it has to acknowledge.
    Time m_validUntil; ///< Meaningful while `m_fencing` is set.
    std::map<std::uint64_t, Time> m_sent; ///< When an append was begun, by its id.
    std::optional<Time> m_lastSent;
};

}
