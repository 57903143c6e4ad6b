#pragma once

#include <LibCore/EnumNames.h>
#include <LibState/ConfigRecord.h>
#include <LibState/Fold.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Operator {

/// An accepted object as the operators' listener shows it.
struct ObjectEntry {
    State::ObjectKey key;
    std::uint64_t revision { 0 };
    State::Fields fields;

    bool operator==(ObjectEntry const&) const = default;
};

/// The answer to `GET /v1/config`: the configuration of the log's prefix that ends before `offset`.
struct ConfigDocument {
    std::uint64_t offset { 0 };
    std::vector<ObjectEntry> objects;

    bool operator==(ConfigDocument const&) const = default;
};

/// What became of a change.
enum class ChangeOutcome : std::uint8_t { Accepted,
    Refused,
    Unknown };

inline constexpr Core::EnumNames<ChangeOutcome, 3> changeOutcomeNames { {
    { ChangeOutcome::Accepted, "accepted" },
    { ChangeOutcome::Refused, "refused" },
    { ChangeOutcome::Unknown, "unknown" },
} };

/// The answer to `POST /v1/config/records`.
struct ChangeReply {
    ChangeOutcome outcome { ChangeOutcome::Unknown };
    std::uint64_t revision { 0 }; ///< When accepted: in force from this offset on.
    std::string reason; ///< Why it was refused or is unknown; else empty.
    std::optional<std::uint64_t> currentRevision; ///< When refused for a conflict: the revision that won.

    bool operator==(ChangeReply const&) const = default;
};

/// One record of the answer to `GET /v1/config/history`.
struct HistoryEntry {
    std::uint64_t offset { 0 };
    State::Applied applied { State::Applied::Accepted };
    std::string reason; ///< The outcome in a sentence.
    State::ConfigRecord record;

    bool operator==(HistoryEntry const&) const = default;
};

/// How far one daemon has read the configuration.
struct DaemonProgress {
    std::string name;
    std::uint64_t offset { 0 };

    bool operator==(DaemonProgress const&) const = default;
};

/// The answer to `GET /v1/config/progress?revision=N`.
struct Progress {
    std::vector<DaemonProgress> daemons;
    bool isInForce { false }; ///< Every live daemon has read beyond the revision.

    bool operator==(Progress const&) const = default;
};

}
