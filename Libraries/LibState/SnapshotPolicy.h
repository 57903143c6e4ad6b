#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace State {

/// How long the log keeps records, and which daemon goes first.
struct SnapshotPolicy {
    std::uint64_t retainedRecords { 0 }; ///< The log keeps at least that many; 0: unlimited.
    std::chrono::seconds retainedTime { 0 }; ///< The log keeps records at least that long; 0: unlimited.
    std::uint32_t rank { 0 }; ///< Place of this daemon among the live ones: the others wait for the first.
};

/// What a daemon knows of the stream when it asks.
struct SnapshotProgress {
    std::uint64_t nextOffset { 0 }; ///< Of its fold.
    std::optional<std::uint64_t> coveredBelow; ///< By the newest whole snapshot that it read from the stream.
    std::chrono::seconds sinceNewest { 0 }; ///< Time since it read that snapshot, or since it started when there is none.
};

/// Returns whether this daemon should append a snapshot now. It is due after a quarter of what the log keeps,
/// in records or in time, so that three quarters are left for writers that fail; without limits, every
/// 10,000 records. Daemons of higher rank wait longer, up to half of what the log keeps. Thread-safe.
bool isSnapshotDue(SnapshotPolicy const&, SnapshotProgress const&);

}
