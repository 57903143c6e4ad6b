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

/// What became of a record of the lease stream.
enum class LeaseApplied : std::uint8_t {
    Accepted, ///< It changed the leases of `pools`.
    Void, ///< It came too late or was a repeat; nothing changed.
    Undecodable, ///< Not a record of ours; skipped by every reader alike.
    SnapshotNoted, ///< A part of a snapshot; nothing changed.
    AlreadyRead, ///< Its offset was read before; nothing changed.
};

inline constexpr Core::EnumNames<LeaseApplied, 5> leaseAppliedNames { {
    { LeaseApplied::Accepted, "accepted" },
    { LeaseApplied::Void, "void" },
    { LeaseApplied::Undecodable, "undecodable" },
    { LeaseApplied::SnapshotNoted, "snapshot-noted" },
    { LeaseApplied::AlreadyRead, "already-read" },
} };

/// The result of one step.
struct LeaseApplyResult {
    LeaseApplied applied { LeaseApplied::Void };
    std::vector<std::string> pools; ///< Those whose lease changed.
};

/// The leases as a pure function of a prefix of their stream; its snapshots work as those of `State::Fold`.
/// docs/design/authority.md has the rules. Not thread-safe.
class LeaseFold {
public:
    /// Creates the fold of the empty prefix.
    LeaseFold() = default;

    /// Creates the fold of the prefix that the snapshot covers. Errors: Corrupt. Thread-safe.
    static Core::Result<LeaseFold> fromSnapshot(State::Snapshot const&);

    /// Reads the record at `offset`. Errors (Gap): offsets before it are missing; nothing changed.
    Core::Result<LeaseApplyResult> apply(std::uint64_t offset, std::string_view bytes);

    /// Goes on from a snapshot that covers more; false, with nothing changed, when it does not. Errors: Corrupt.
    Core::Result<bool> adopt(State::Snapshot const&);

    /// Returns the snapshot of what was read.
    State::Snapshot snapshot() const;

    /// Returns a pool's lease, or null when there never was one. Valid until the next change.
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
