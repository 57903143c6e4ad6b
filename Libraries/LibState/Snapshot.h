#pragma once

#include <LibCore/Result.h>
#include <LibState/LogRecord.h>
#include <cstdint>
#include <string>
#include <vector>

namespace State {

/// The state after a prefix of the configuration stream, in canonical bytes with their digest. It depends on
/// the prefix alone, so any daemon may append it. Immutable and thread-safe.
class Snapshot {
public:
    /// Wraps canonical bytes; computes their digest. Thread-safe.
    static Snapshot create(std::uint64_t nextOffset, std::string state);

    /// Joins all parts of one snapshot, in the order of their indexes. Errors (Corrupt): parts that are missing
    /// or do not belong together, and bytes that do not have the digest. Thread-safe.
    static Core::Result<Snapshot> join(std::vector<SnapshotPart> const&);

    /// Splits the snapshot into parts of at most `partBytes` bytes of state. Precondition: `partBytes` > 0. Thread-safe.
    std::vector<SnapshotPart> split(std::size_t partBytes) const;

    std::uint64_t nextOffset() const { return m_nextOffset; }
    std::string const& digest() const { return m_digest; }
    std::string const& state() const { return m_state; }

    bool operator==(Snapshot const&) const = default;

private:
    Snapshot(std::uint64_t nextOffset, std::string digest, std::string state)
        : m_nextOffset(nextOffset)
        , m_digest(std::move(digest))
        , m_state(std::move(state))
    {
    }

    std::uint64_t m_nextOffset;
    std::string m_digest;
    std::string m_state;
};

/// Bytes of state in one record of the log: half of what the log takes.
inline constexpr std::size_t snapshotPartBytes = maximumRecordBytes / 2;

}
