#pragma once

#include <LibCore/BootClock.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Authority {

/// Timing of a lease that is claimed by conditional appends.
struct StoreLeaseSettings {
    /// How long the holder may write orders, from before its claim was sent: a few round trips to the engines.
    std::chrono::milliseconds orderTime { 2'000 };
    /// How long no other holder sends orders after that: the platform's minimum between orders of two holders (`lease_ms`).
    std::chrono::milliseconds quietTime { 3'000 };
    /// Allowance for drift between boot clocks and for the duration of a read of the claim.
    std::chrono::milliseconds margin { 300 };
    /// The receiver of the orders rejects fencing tokens below the highest that it has seen. Then there is no need to wait for a
    /// former holder, as its late orders have no effect. Holders must only not alternate: one that held the lease and lost it
    /// doesn't claim it again before `quietTime` has passed since its last order.
    bool isFenced { false };
};

/// The holder of a lease: one process of one daemon.
struct StoreLeaseHolder {
    std::string daemon;
    std::uint64_t incarnation { 0 };

    bool operator==(StoreLeaseHolder const&) const = default;
};

/// The newest claim of a lease, as read from the store.
struct StoreLeaseClaim {
    std::uint64_t offset { 0 }; ///< Also its fencing token.
    StoreLeaseHolder holder;

    bool operator==(StoreLeaseClaim const&) const = default;
};

/// A claim to append on condition that the topic still ends at `expectedNext`.
struct StoreLeaseAppend {
    std::uint64_t expectedNext { 0 };
};

/// Manages, for one daemon, a lease whose claims are conditional appends to the platform's store: the store arbitrates
/// between concurrent claims, and the offset of a claim is its fencing token. A claim is made only when there are orders to
/// send, and is valid for a short time, so an idle lease costs nothing. Time is the boot clock's, so that the claim of a
/// holder that was suspended has expired. Does no I/O and is not thread-safe.
class StoreLease {
public:
    using Time = Core::BootClock::time_point;

    /// `startedAt`: when this process started. Until then an earlier process of the same daemon may have sent orders.
    StoreLease(StoreLeaseSettings const&, StoreLeaseHolder self, Time startedAt);

    /// Takes the newest claim (none if there never was one) and the end offset of its topic, as read at `now`. `madeBy`: a time by
    /// which the claim is known to have been made, if that is known.
    void observe(std::optional<StoreLeaseClaim> const&, std::uint64_t next, Time now, std::optional<Time> madeBy = {});

    /// Returns a claim to append now if this daemon has orders to send, may not send them yet, and the lease is free.
    std::optional<StoreLeaseAppend> poll(bool wantsToOrder, Time now);

    /// As `poll`, but without a prior read: only if the newest known claim is its own and its last append succeeded.
    std::optional<StoreLeaseAppend> pollReclaim(Time now);

    /// Handles an append that succeeded at `offset`.
    void claimAppended(std::uint64_t offset);

    /// Handles an append that failed without effect, as when the topic has grown past the expected end.
    void claimFailed();

    /// Handles an append without a response: only a read shows whether it succeeded.
    void claimUnknown();

    /// Records that an order was written, or may have been, at `now`.
    void recordOrder(Time now) { m_orderedAt = now; }

    /// Handles a rejected order or an intervening order of another daemon: that daemon holds the lease.
    void loseAuthority(Time now);

    /// Returns when the lease is free for this process to claim; nothing while no claim has been read.
    std::optional<Time> opensAt() const;

    /// Returns whether an order may be written now. Must be checked immediately before each write.
    bool mayOrder(Time now) const;

    /// Returns whether the claim before the newest one was another process's, so that orders of that process may be under way.
    bool isSuccessor() const { return m_isSuccessor; }

    /// Returns the fencing token for orders while the newest claim is this process's.
    std::optional<std::uint64_t> fencing() const { return m_fencing; }

private:
    bool isFree(Time now) const;
    Time termEnd() const;

    StoreLeaseSettings m_settings;
    StoreLeaseHolder m_self;
    Time m_startedAt;
    std::optional<StoreLeaseClaim> m_newest;
    std::uint64_t m_next { 0 };
    bool m_isRead { false };
    bool m_isEndKnown { false }; ///< The topic ended at `m_next` when this process last appended to it.
    Time m_changedAt; ///< By when the newest claim was made: when it was known or read first or, if it is this process's own, sent.
    bool m_isClaimPending { false }; ///< An append is in progress or its outcome is unknown.
    Time m_appendStartedAt; ///< When the last append was started.
    std::optional<std::uint64_t> m_fencing;
    bool m_isSuccessor { false };
    std::optional<Time> m_blockedUntil;
    std::optional<Time> m_orderedAt; ///< When this process last wrote an order.
};

}
