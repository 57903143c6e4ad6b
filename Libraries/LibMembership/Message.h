#pragma once

#include <LibCore/Result.h>
#include <LibMembership/Load.h>
#include <LibMembership/Record.h>
#include <vector>

namespace Membership {

/// The type of a message.
enum class Kind : std::uint8_t {
    Probe, ///< Asks the receiver for an Ack.
    Ack, ///< The reply to any other message.
    ProbeRequest, ///< Asks the receiver to probe `target` on behalf of the sender.
    IndirectAck, ///< Reports that `target` has answered a relayed probe.
    Rumours, ///< Carries records that have changed or were requested.
    Sync, ///< Carries digests of the sender's records in buckets that differ between both daemons.
};

inline constexpr Core::EnumNames<Kind, 6> kindNames { {
    { Kind::Probe, "probe" },
    { Kind::Ack, "ack" },
    { Kind::ProbeRequest, "probe-request" },
    { Kind::IndirectAck, "indirect-ack" },
    { Kind::Rumours, "rumours" },
    { Kind::Sync, "sync" },
} };

/// The number of buckets that the digest of all records is split into.
inline constexpr std::size_t bucketCount = 32;

/// One message between two daemons.
struct Message {
    Kind kind { Kind::Probe };
    Record sender;
    std::uint32_t sequence { 0 }; ///< Matches an answer to its probe.
    std::uint64_t digest { 0 }; ///< Over the records of all present members.
    std::uint64_t target { 0 };
    std::vector<Record> records;
    std::vector<MemberLoad> memberLoads;
    std::vector<ZoneLoad> zoneLoads;
    std::vector<std::uint32_t> buckets; ///< The digest of each bucket, or empty.
    std::vector<std::uint32_t> wantedBuckets; ///< Buckets whose records the sender requests.
    std::vector<std::uint32_t> recordDigests; ///< Digests of the sender's records in `wantedBuckets`.
    std::vector<std::uint32_t> wantedRecords; ///< Digests of the records that the sender requests.
    std::vector<std::uint64_t> wantedProfiles; ///< IDs of the members whose profiles the sender requests.

    bool operator==(Message const&) const = default;
};

/// Limits on a message, kept by the sender and checked by the receiver.
inline constexpr std::size_t maxMessageBytes = 16 << 10;
inline constexpr std::size_t maxRecords = 256;
inline constexpr std::size_t maxLoads = 64;
inline constexpr std::size_t maxNameBytes = 255;

/// Returns a hash that differs, barring collisions, between two records that should be exchanged. Alive and Suspect
/// hash alike, since suspicions are spread at once and not synchronized. Thread-safe.
std::uint32_t digestOf(Record const&);

/// Serializes a message. Precondition: the message is within the limits. Thread-safe.
std::string encode(Message const&);

/// Parses a message. Fails with Corrupt when it is malformed or beyond a limit. Thread-safe.
Core::Result<Message> decode(std::string_view bytes);

}
