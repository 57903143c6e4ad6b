#pragma once

#include <LibAuthority/LeaseRecord.h>
#include <LibAuthority/LeaseState.h>
#include <LibCore/Result.h>
#include <LibState/Snapshot.h>
#include <LibState/SnapshotTracker.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Authority {

/// The outcome of applying a record of the lease stream.
enum class LeaseApplied : std::uint8_t {
    Accepted, ///< It changed the leases of `pools`.
    Void, ///< It was outdated or a duplicate; nothing changed.
    Undecodable, ///< Not a valid lease record; every reader skips it alike.
    SnapshotNoted, ///< A part of a snapshot; no lease changed.
    AlreadyRead, ///< Its offset was read before; nothing changed.
};

inline constexpr Core::EnumNames<LeaseApplied, 5> leaseAppliedNames { {
    { LeaseApplied::Accepted, "accepted" },
    { LeaseApplied::Void, "void" },
    { LeaseApplied::Undecodable, "undecodable" },
    { LeaseApplied::SnapshotNoted, "snapshot-noted" },
    { LeaseApplied::AlreadyRead, "already-read" },
} };

/// The result of applying one record.
struct LeaseApplyResult {
    LeaseApplied applied { LeaseApplied::Void };
    std::vector<std::string> pools; ///< The pools whose lease changed.
};

/// Computes the leases as a pure function of a prefix of their stream. Snapshots work as in `State::Fold`. The rules are
/// in docs/design/authority.md. Not thread-safe.
class LeaseFold {
public:
    /// Creates the fold of the empty prefix.
    LeaseFold() = default;

    /// Creates the fold of the prefix that the snapshot covers. Errors: Corrupt. Thread-safe.
    static Core::Result<LeaseFold> fromSnapshot(State::Snapshot const&);

    /// Applies the record at `offset`. Errors (Gap): earlier offsets are missing; nothing changed.
    Core::Result<LeaseApplyResult> apply(std::uint64_t offset, std::string_view bytes);

    /// Adopts a snapshot that covers a longer prefix; otherwise returns false and changes nothing. Errors: Corrupt.
    Core::Result<bool> adopt(State::Snapshot const&);

    /// Returns a snapshot of the prefix that was applied.
    State::Snapshot snapshot() const;

    /// Returns a pool's lease, or null if there never was one. The pointer is valid until the next change.
    Lease const* find(std::string const& pool) const;

    std::uint64_t nextOffset() const { return m_state.nextOffset; }
    LeaseState const& state() const { return m_state; }
    std::optional<std::uint64_t> coveredBelow() const { return m_tracker.coveredBelow(); }

private:
    std::vector<std::string> applyRecord(Claim const&);
    std::vector<std::string> applyRecord(Renewal const&);
    std::vector<std::string> applyRecord(Release const&);
    std::vector<std::string> applyRecord(Acknowledgement const&);
    std::vector<std::string> applyRecord(Settlement const&);
    std::vector<std::string> settle(std::string const& pool, std::uint64_t formerFencing);

    LeaseState m_state;
    State::SnapshotTracker m_tracker;
};

}
