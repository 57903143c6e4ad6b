#pragma once

#include <LibCore/Result.h>
#include <LibState/FoldState.h>
#include <LibState/LogRecord.h>
#include <LibState/Snapshot.h>
#include <LibState/SnapshotTracker.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace State {

/// What became of a record that was handed to the fold.
enum class Applied : std::uint8_t {
    Accepted, ///< All of its edits are in force.
    Refused, ///< None of its edits is, nor ever will be.
    Repeated, ///< Its id was decided before; nothing changed.
    Undecodable, ///< Not a record of ours; skipped by every reader alike.
    SnapshotNoted, ///< A part of a snapshot; nothing changed.
    AlreadyRead, ///< Its offset was read before; nothing changed, not even the next offset.
};

inline constexpr Core::EnumNames<Applied, 6> appliedNames { {
    { Applied::Accepted, "accepted" },
    { Applied::Refused, "refused" },
    { Applied::Repeated, "repeated" },
    { Applied::Undecodable, "undecodable" },
    { Applied::SnapshotNoted, "snapshot-noted" },
    { Applied::AlreadyRead, "already-read" },
} };

/// The result of one step of the fold.
struct ApplyResult {
    Applied applied { Applied::Undecodable };
    std::optional<ConfigRecord> record; ///< For Accepted, Refused and Repeated: what was read.
    Outcome outcome; ///< For the same: the outcome of its id.
};

/// The configuration as a pure function of a prefix of its stream. docs/design/configuration.md has the rules.
/// Copies share their objects, so a copy is cheap to hand to another thread. Not thread-safe by itself.
class Fold {
public:
    /// Outcomes and deletions are remembered for that many offsets, and a record whose writer's view is older is
    /// refused. So a late repeat is known by its id while it is young, and void by its age afterwards.
    static constexpr std::uint64_t window = 4096;

    /// Creates the fold of the empty prefix.
    Fold() = default;

    /// Creates the fold of the prefix that the snapshot covers. Errors: Corrupt. Thread-safe.
    static Core::Result<Fold> fromSnapshot(Snapshot const&);

    /// Reads the record at `offset`. Errors (Gap): offsets between `nextOffset()` and `offset` are missing;
    /// nothing changed.
    Core::Result<ApplyResult> apply(std::uint64_t offset, std::string_view bytes);

    /// Goes on from a snapshot that covers more than was read, to get over a gap. Returns false, with nothing
    /// changed, when it does not. Errors (Corrupt): nothing changed.
    Core::Result<bool> adopt(Snapshot const&);

    /// Returns the snapshot of what was read.
    Snapshot snapshot() const;

    /// Returns what is known of a record that was, or will be, sent under `id`.
    Outcome outcome(RecordId const& id) const;

    /// Returns an object, or null when it does not exist.
    ObjectPointer find(ObjectKey const&) const;

    std::uint64_t nextOffset() const { return m_state.nextOffset; }
    FoldState const& state() const { return m_state; }

    /// Returns up to where the newest whole snapshot that was read from the stream covers it.
    std::optional<std::uint64_t> coveredBelow() const { return m_tracker.coveredBelow(); }

private:
    ApplyResult applyConfig(ConfigRecord);
    Outcome decide(ConfigRecord const&, std::vector<std::optional<Content>>& contents) const;
    std::optional<Outcome> conflictOf(Edit const&, RecordId const&) const;
    std::string sharedKey(ConfigRecord const&, std::vector<std::optional<Content>> const& contents) const;
    void commit(ConfigRecord const&, std::vector<std::optional<Content>>& contents);
    void noteKeys(ObjectKey const&);
    void forgetKeys(ObjectKey const&);
    void remember(RecordId const&, Outcome const&);
    void forgetOld();
    void indexState();

    FoldState m_state;
    std::deque<std::pair<std::uint64_t, RecordId>> m_outcomeOrder;
    std::deque<std::pair<std::uint64_t, ObjectKey>> m_deletionOrder;
    std::map<Access::KeyDigest, std::string> m_keyHolders; ///< By the digest of a key, the organisation that holds it.
    SnapshotTracker m_tracker;
};

}
