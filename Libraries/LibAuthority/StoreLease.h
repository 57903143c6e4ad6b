#pragma once

#include <LibCore/BootClock.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Authority {

/// Times of a lease that is claimed by conditional appends.
struct StoreLeaseSettings {
    /// The holder may write orders for this long from before its claim was sent: a few round trips to the engines.
    std::chrono::milliseconds orderTime { 2'000 };
    /// Nobody else orders for this long after it: the platform's bound for orders of two holders (`lease_ms`).
    std::chrono::milliseconds quietTime { 3'000 };
    /// Differences of the boot clocks' rates, and the time that a read of the claim takes.
    std::chrono::milliseconds margin { 300 };
    /// Whoever takes the orders refuses each number below one that it has seen: then a former holder need not be waited for, as
    /// nothing that it still sends is carried out. Only taking turns has to be kept from: one that held the lease, and lost it,
    /// does not claim it again before `quietTime` after its last order.
    bool isFenced { false };
};

/// Who holds a lease: one process of one daemon.
struct StoreLeaseHolder {
    std::string daemon;
    std::uint64_t incarnation { 0 };

    bool operator==(StoreLeaseHolder const&) const = default;
};

/// The newest claim of a lease, as read from the store.
struct StoreLeaseClaim {
    std::uint64_t offset { 0 }; ///< Also its fencing number.
    StoreLeaseHolder holder;

    bool operator==(StoreLeaseClaim const&) const = default;
};

/// A claim to append, if the topic still ends there.
struct StoreLeaseAppend {
    std::uint64_t expectedNext { 0 };
};

/// One daemon's part in a lease whose claims are conditional appends to the platform's store: the store decides between
/// racing claims, and the offset of a claim is its fencing number. A claim is made only when there is something to
/// order, and holds for a short time, so a lease costs nothing while nothing changes. Time is the boot clock's: a
/// holder that was suspended finds its time over. Pure and not thread-safe.
class StoreLease {
public:
    using Time = Core::BootClock::time_point;

    /// `startedAt`: when this process started. Until then a former process of the same daemon may have ordered.
    StoreLease(StoreLeaseSettings const&, StoreLeaseHolder self, Time startedAt);

    /// Takes the newest claim (none: there never was one) and the end of its topic, as read at `now`.
    void observe(std::optional<StoreLeaseClaim> const&, std::uint64_t next, Time now);

    /// Returns a claim to append now, when this daemon wants to order, may not yet, and the lease is free.
    std::optional<StoreLeaseAppend> poll(bool wantsToOrder, Time now);

    /// Returns a claim to append now without a read of the newest one, while that was this process's own as far as it knows.
    std::optional<StoreLeaseAppend> pollOwn(Time now);

    /// The append ended: it stands at `offset`.
    void claimAppended(std::uint64_t offset);

    /// The append ended: the topic has other records behind its end, or nothing was done.
    void claimFailed();

    /// The append ended without an answer: only reading tells.
    void claimUnknown();

    /// An order was written, or may have been, at `now`.
    void noteOrder(Time now) { m_orderedAt = now; }

    /// An engine refused an order, or another's order came between: whoever gave it has the lease.
    void loseAuthority(Time now);

    /// Whether an order may be written now. To be asked right before each write.
    bool mayOrder(Time now) const;

    /// The number to order under, while the newest claim is this process's.
    std::optional<std::uint64_t> fencing() const { return m_fencing; }

private:
    bool isFree(Time now) const;

    StoreLeaseSettings m_settings;
    StoreLeaseHolder m_self;
    Time m_startedAt;
    std::optional<StoreLeaseClaim> m_newest;
    std::uint64_t m_next { 0 };
    bool m_isRead { false };
    bool m_isEndKnown { false }; ///< The topic ended at `m_next` when this process last appended to it.
    Time m_changedAt; ///< When the newest claim was first read.
    bool m_isClaiming { false }; ///< An append is under way or its outcome is not known.
    Time m_begunAt; ///< Of the last append.
    std::optional<std::uint64_t> m_fencing;
    std::optional<Time> m_blockedUntil;
    std::optional<Time> m_orderedAt; ///< This process's last order.
};

}
