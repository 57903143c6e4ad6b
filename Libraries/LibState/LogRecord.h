#pragma once

#include <LibCore/Result.h>
#include <LibState/ConfigRecord.h>
#include <string>
#include <string_view>
#include <variant>

namespace State {

/// A piece of a snapshot. Pieces that agree in `nextOffset`, `digest` and `count` belong together.
struct SnapshotPart {
    std::uint64_t nextOffset { 0 }; ///< The snapshot covers all offsets below this one.
    std::string digest; ///< 16 bytes: XXH3-128 of the whole state.
    std::uint32_t index { 0 };
    std::uint32_t count { 0 };
    std::string data;

    bool operator==(SnapshotPart const&) const = default;
};

/// What a record of the configuration stream holds.
using LogRecord = std::variant<ConfigRecord, SnapshotPart>;

/// Returns the record's bytes. Errors (BadInput): larger than `maximumRecordBytes`. Thread-safe.
Core::Result<std::string> encode(LogRecord const&);

/// Reads a record. Errors (Corrupt): not such a record, an unknown kind, a newer format. Thread-safe.
Core::Result<LogRecord> decodeLogRecord(std::string_view bytes);

}
