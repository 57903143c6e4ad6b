#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Result.h>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Platform {

/// What the platform's store keeps for the system: one log each, of which the newest record of each key stays.
enum class StoreTopic : std::uint8_t {
    Configuration, ///< Written by the operators.
    Targets, ///< Written by the targets, each under its incarnation.
    Daemons, ///< Written by the daemons, each under its name.
    Leases, ///< Written by whoever claims a lease.
    Reports, ///< What is reported of usage, decided once for each window.
    Suspects, ///< Requests that ended targets, written by daemons that saw it, each under its work's key.
    Streams, ///< Streams that began lately, written by daemons that record them, each under its name.
    StreamReleases, ///< The releases under which streams may have begun, each service under its name.
};

inline constexpr Core::EnumNames<StoreTopic, 8> storeTopicNames { {
    { StoreTopic::Configuration, "configuration" },
    { StoreTopic::Targets, "targets" },
    { StoreTopic::Daemons, "daemons" },
    { StoreTopic::Leases, "leases" },
    { StoreTopic::Reports, "reports" },
    { StoreTopic::Suspects, "suspects" },
    { StoreTopic::Streams, "streams" },
    { StoreTopic::StreamReleases, "stream-releases" },
} };

/// One record of a topic.
struct KeyedRecord {
    std::uint64_t offset { 0 };
    std::string key;
    std::optional<std::string> value; ///< Absent: the key was removed.

    bool operator==(KeyedRecord const&) const = default;
};

/// A run of records of a topic, in the order of their offsets.
struct KeyedBatch {
    std::uint64_t first { 0 }; ///< The oldest offset still kept.
    std::uint64_t next { 0 }; ///< The offset that the next append gets.
    std::vector<KeyedRecord> records;
    bool isExpired { false }; ///< What was asked for lies before `first`; there are no records.
};

/// A part of the newest records of all keys. The parts together are no snapshot of one moment.
struct KeyedPage {
    std::vector<KeyedRecord> records;
    std::uint64_t next { 0 }; ///< The offset that the next append gets.
    bool hasMore { false }; ///< Ask again behind the last key.
};

/// What became of an append that only holds where the topic ends as expected.
struct ConditionalAppend {
    bool isAppended { false };
    std::uint64_t offset { 0 }; ///< Of the record, when appended.
    std::uint64_t next { 0 }; ///< The end of the topic, as the store knows it now.
};

/// The platform's store of keyed records. Use from the thread of the client that it was created with.
class KeyedStore {
public:
    virtual ~KeyedStore() = default;

    /// Reads records from `from` on, waiting up to `wait` for the first. Errors: Unavailable, Overloaded, Timeout, Corrupt.
    virtual boost::asio::awaitable<Core::Result<KeyedBatch>> read(StoreTopic, std::uint64_t from, std::chrono::milliseconds wait) = 0;

    /// Reads the newest records of the keys behind `after` (empty: from the first one on). Errors: as `read`.
    virtual boost::asio::awaitable<Core::Result<KeyedPage>> newest(StoreTopic, std::string after) = 0;

    /// Appends a record; with `expectedNext` only if the topic ends there. Errors with verdict MayHaveRun: it may
    /// stand in the topic, or come to stand there seconds later, while its condition holds. NotRun: it does not.
    virtual boost::asio::awaitable<Core::Result<ConditionalAppend>> append(StoreTopic, std::string key, std::string value, std::optional<std::uint64_t> expectedNext) = 0;
};

}
