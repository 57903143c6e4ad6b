#pragma once

#include <LibState/LogRecord.h>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace State {

/// Notes which snapshots stand whole in the stream, without keeping their bytes, so that a daemon knows when
/// the next one is due. Not thread-safe.
class SnapshotTracker {
public:
    /// Notes a part that was read from the stream.
    void note(SnapshotPart const&);

    /// Returns up to where the newest whole snapshot of the stream covers it, if one was read.
    std::optional<std::uint64_t> coveredBelow() const { return m_coveredBelow; }

private:
    using PartsKey = std::pair<std::uint64_t, std::pair<std::string, std::uint32_t>>;

    std::map<PartsKey, std::vector<bool>> m_seen;
    std::optional<std::uint64_t> m_coveredBelow;
};

}
