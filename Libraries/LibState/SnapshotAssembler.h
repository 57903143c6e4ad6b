#pragma once

#include <LibState/Snapshot.h>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace State {

/// Collects the parts of snapshots from a stream or from a peer, and keeps the newest whole one. Incomplete
/// ones are kept too, `maximumIncomplete` at most, the oldest dropped first. Not thread-safe.
class SnapshotAssembler {
public:
    static constexpr std::size_t maximumIncomplete = 4;

    /// Takes a part, in any order and as often as it comes. Errors (Corrupt): the last part of a snapshot came
    /// and its digest is wrong; that snapshot is forgotten.
    Core::Result<void> add(SnapshotPart);

    /// Returns the newest whole snapshot so far.
    std::optional<Snapshot> const& newest() const { return m_newest; }

private:
    /// The prefix that is covered, the digest and the number of parts.
    using PartsKey = std::pair<std::uint64_t, std::pair<std::string, std::uint32_t>>;

    std::map<PartsKey, std::map<std::uint32_t, SnapshotPart>> m_incomplete;
    std::optional<Snapshot> m_newest;
};

}
