#pragma once

#include <LibCore/Result.h>
#include <LibMembership/Load.h>
#include <LibMembership/Record.h>
#include <vector>

namespace Membership {

/// What a message is for.
enum class Kind : std::uint8_t {
    Probe, ///< "Answer, if you hear me."
    Ack, ///< The answer to any other message.
    ProbeRequest, ///< "Probe `target` for me."
    IndirectAck, ///< "`target` has answered me."
    Rumours, ///< Records that changed.
    Sync, ///< Digests of the sender's records in buckets in which both differ.
};

inline constexpr Core::EnumNames<Kind, 6> kindNames { {
    { Kind::Probe, "probe" },
    { Kind::Ack, "ack" },
    { Kind::ProbeRequest, "probe-request" },
    { Kind::IndirectAck, "indirect-ack" },
    { Kind::Rumours, "rumours" },
    { Kind::Sync, "sync" },
} };

/// How many parts the digest of all records is split into.
inline constexpr std::size_t bucketCount = 32;

/// One message between two daemons.
struct Message {
    Kind kind { Kind::Probe };
    Record sender;
    std::uint32_t sequence { 0 }; ///< Joins an answer to its probe.
    std::uint64_t digest { 0 }; ///< Of all records of present members.
    std::uint64_t target { 0 };
    std::vector<Record> records;
    std::vector<MemberLoad> memberLoads;
    std::vector<ZoneLoad> zoneLoads;
    std::vector<std::uint32_t> buckets; ///< Empty, or the digest of each bucket.
    std::vector<std::uint32_t> wantedBuckets; ///< "Send me what you know of these."
    std::vector<std::uint32_t> recordDigests; ///< Of the sender's records in the wanted buckets.
    std::vector<std::uint32_t> wantedRecords; ///< "Send me those with these digests."
    std::vector<std::uint64_t> wantedProfiles; ///< "Tell me who these are."

    bool operator==(Message const&) const = default;
};

/// Limits on a message, checked on both ends.
inline constexpr std::size_t maxMessageBytes = 16 << 10;
inline constexpr std::size_t maxRecords = 256;
inline constexpr std::size_t maxLoads = 64;
inline constexpr std::size_t maxNameBytes = 255;

/// Returns a number that differs, nearly always, between two records that should be exchanged. Suspicion does
/// not count: it is passed on at once or not at all. Thread-safe.
std::uint32_t digestOf(Record const&);

/// Returns the bytes to send. Precondition: the message is within the limits. Thread-safe.
std::string encode(Message const&);

/// Reads a message. Fails with Corrupt when it is malformed or beyond a limit. Thread-safe.
Core::Result<Message> decode(std::string_view bytes);

}
