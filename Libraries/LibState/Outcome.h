#pragma once

#include <LibCore/EnumNames.h>
#include <LibState/ObjectKey.h>
#include <LibState/RecordId.h>
#include <cstdint>
#include <optional>
#include <string>

namespace State {

/// What the log says of a configuration record.
enum class OutcomeKind : std::uint8_t {
    Accepted, ///< In force from `revision` on.
    Refused, ///< Void, also when sent again under its id.
    Unseen, ///< Not among the offsets read so far; it may still be on its way. Sending it again is safe.
    Forgotten, ///< Older than what is remembered: it may have been accepted once, and cannot be from now on.
};

inline constexpr Core::EnumNames<OutcomeKind, 4> outcomeKindNames { {
    { OutcomeKind::Accepted, "accepted" },
    { OutcomeKind::Refused, "refused" },
    { OutcomeKind::Unseen, "unseen" },
    { OutcomeKind::Forgotten, "forgotten" },
} };

/// Why a record is void.
enum class Refusal : std::uint8_t {
    None, ///< It is not void.
    Conflict, ///< An object has another revision than the edit's base.
    TooOld, ///< The writer's view is older than `Fold::window` offsets.
    FromTheFuture, ///< The writer claims to have read offsets that did not exist. Void, but not remembered.
    Invalid, ///< A field breaks its grammar.
};

inline constexpr Core::EnumNames<Refusal, 5> refusalNames { {
    { Refusal::None, "none" },
    { Refusal::Conflict, "conflict" },
    { Refusal::TooOld, "too-old" },
    { Refusal::FromTheFuture, "from-the-future" },
    { Refusal::Invalid, "invalid" },
} };

/// The outcome of a record by its id.
struct Outcome {
    OutcomeKind kind { OutcomeKind::Unseen };
    std::uint64_t revision { 0 }; ///< Offset at which it was accepted or refused.
    Refusal refusal { Refusal::None };
    std::string object; ///< `kind name` of the object that caused the refusal, if one did.
    std::optional<std::uint64_t> currentRevision; ///< Of that object: its revision, or that of its deletion.
    std::string detail; ///< For Invalid: what was read and what is allowed.

    /// Returns one sentence for the operator. Thread-safe.
    std::string message() const;

    bool operator==(Outcome const&) const = default;
};

}
