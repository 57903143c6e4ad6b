#pragma once

#include <LibCore/Result.h>
#include <LibStandIn/Faults.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace StandIn {

/// The offsets that a stream still keeps.
struct LogRange {
    std::uint64_t first { 0 }; ///< The oldest offset kept.
    std::uint64_t next { 0 }; ///< The offset that the next append gets.
};

/// One record as read back.
struct LogRecord {
    std::uint64_t offset { 0 };
    std::string data;
};

/// The answer to a read.
struct LogPage {
    LogRange range;
    std::vector<LogRecord> records;
};

/// The state of the stand-in log service: named append-only streams with offsets that are never used twice.
/// Not thread-safe.
class LogStore {
public:
    /// The largest record taken, in bytes.
    static constexpr std::size_t maximumRecordBytes = 1U << 20U;

    /// Appends a record and returns its offset. Errors: Unavailable while down, BadInput above the size limit.
    Core::Result<std::uint64_t> append(std::string const& stream, std::string data);

    /// Returns up to `limit` records from offset `from` on. Errors: Unavailable while down; Gap when
    /// `from` has expired (`rangeOf` tells what is kept).
    Core::Result<LogPage> read(std::string const& stream, std::uint64_t from, std::size_t limit) const;

    /// Returns what is kept of a stream; an unknown stream is empty.
    LogRange rangeOf(std::string const& stream) const;

    /// Drops the records before `first`; offsets never go back.
    void trim(std::string const& stream, std::uint64_t first);

    /// Keeps so many records in each stream from now on; 0 keeps all.
    void setRetention(std::uint64_t records);
    std::uint64_t retention() const { return m_retention; }

    Faults& faults() { return m_faults; }

    /// Called after an append with the stream's name, so that waiting readers look again.
    std::function<void(std::string const&)> onAppend;

private:
    struct Stream {
        std::uint64_t first { 0 };
        std::deque<std::string> records;
    };
    void applyRetention(Stream&) const;

    std::map<std::string, Stream> m_streams;
    std::uint64_t m_retention { 0 };
    Faults m_faults;
};

}
