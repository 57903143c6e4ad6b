#pragma once

#include <LibCore/Error.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Request {

/// One connection of one attempt. Attempts count from 1 in a request; connections from 1 in an attempt
/// (the second and later ones resume the first one's stream).
struct Leg {
    std::uint32_t attempt { 0 };
    std::uint32_t connection { 0 };

    bool operator==(Leg const&) const = default;
};

/// A target's reply to a cancel.
enum class CancelOutcome : std::uint8_t {
    Canceled, ///< It was running and has been stopped.
    Finished, ///< It had already finished.
    NeverSeen, ///< The replying process has not seen it and will refuse it later.
    Unknown, ///< No answer.
};

inline constexpr Core::EnumNames<CancelOutcome, 4> cancelOutcomeNames { {
    { CancelOutcome::Canceled, "canceled" },
    { CancelOutcome::Finished, "finished" },
    { CancelOutcome::NeverSeen, "never-seen" },
    { CancelOutcome::Unknown, "unknown" },
} };

/// How a target ended the computation of a prompt apart from its output. None of them runs the request.
enum class PromptEnd : std::uint8_t {
    Refused, ///< The target did not begin it.
    Failed, ///< The target began it and answered with an error.
    Lost, ///< No answer came; the target may have computed it.
};

inline constexpr Core::EnumNames<PromptEnd, 3> promptEndNames { {
    { PromptEnd::Refused, "refused" },
    { PromptEnd::Failed, "failed" },
    { PromptEnd::Lost, "lost" },
} };

/// Admission control accepted the request.
struct Admitted { };
/// Admission control refused it or it timed out in the queue. The verdict of `error` must be 'not run'.
struct Refused {
    Core::Error error;
    std::chrono::milliseconds retryAfter { 0 };
};
/// Routing chose `target` for the attempt.
struct TargetPicked {
    std::uint32_t attempt { 0 };
    std::string target;
    bool isPeer { false }; ///< A peer makes the attempt, and further ones that it is allowed; `target` is its name.
};
/// The peer that makes the attempt has said how many attempts it made, and at which targets. Follow with the event of its answer.
struct PeerReported {
    std::uint32_t attempt { 0 };
    std::uint32_t attempts { 0 };
    std::vector<std::string> triedTargets;
};
/// The attempt's prompt, sent to a target for prefill separate from decoding, is overdue. Nothing follows if it may not be repeated.
struct PromptOverdue {
    Leg leg;
};
/// Routing found no target for the attempt.
struct NoTarget {
    std::uint32_t attempt { 0 };
    Core::Error error;
    std::chrono::milliseconds retryAfter { 0 };
};
/// A connection is open and nothing has been written on it. Write only if the answer is `WriteRequest`.
struct Connected {
    Leg leg;
    std::string targetIncarnation {}; ///< The target's incarnation, read at any time before; empty: unknown.
};
/// Connecting failed, or the first write is known to have written nothing.
struct ConnectFailed {
    Leg leg;
    bool keepsPrompt { false }; ///< The computed part of the prompt is kept for the next attempt.
};
/// The attempt's prompt was sent to a target for prefill separate from decoding, and was computed.
struct PromptComputed {
    std::uint32_t attempt { 0 };
};
/// The attempt's prompt was sent to a target for prefill separate from decoding, which has not returned it.
struct PromptFailed {
    Leg leg;
    PromptEnd end { PromptEnd::Lost };
};
/// The target stated explicitly that it did not run the request.
struct TargetRefused {
    Leg leg;
    bool keepsPrompt { false }; ///< The computed part of the prompt is kept for the next attempt.
};
/// The status line and headers of the answer came.
struct ResponseHead {
    Leg leg;
    int status { 0 };
};
/// A part of the answer. `index` counts the attempt's pieces from 0, across its connections.
struct Piece {
    Leg leg;
    std::uint64_t index { 0 };
    std::string bytes;
    bool endsEvent { false }; ///< The piece ends at the boundary of a server-sent event.
};
/// The answer ended according to its framing (length, last chunk, [DONE]) after `count` pieces of the attempt.
struct StreamEnded {
    Leg leg;
    std::uint64_t count { 0 };
};
/// The connection ended before the answer did, after something was written.
struct StreamBroken {
    Leg leg;
};
/// Heartbeats on the connection went unanswered, or a probe over a new one found that it is dead.
struct SilentConnection {
    Leg leg;
};
/// The target resumes the stream on this new connection.
struct ResumeAccepted {
    Leg leg;
};
/// The target does not know the stream.
struct ResumeUnknown {
    Leg leg;
};
/// The target's answer to `CancelAtTarget`, or `Unknown` when none came. 'Never seen' proves that the attempt did not run
/// only if the incarnation is that of `Connected`: a target that was replaced has never seen what the former one ran.
struct CancelAcknowledged {
    std::uint32_t attempt { 0 };
    CancelOutcome outcome { CancelOutcome::Unknown };
    std::string targetIncarnation {}; ///< Of the replying process, read with the reply or after it; empty: unknown.
};
/// A home's final answer to an entry that forwarded to it: the error and verdict that the caller gets.
struct HomeAnswered {
    Leg leg;
    Core::Error error;
    std::chrono::milliseconds retryAfter { 0 };
};
/// The caller's connection ended.
struct CallerGone { };
/// The deadline passed.
struct DeadlineReached { };
/// The daemon has to exit before the request ends.
struct ShutdownForced { };

/// All events that the request machine handles.
using RequestEvent = std::variant<Admitted, Refused, TargetPicked, PeerReported, PromptComputed, PromptFailed, PromptOverdue, NoTarget, Connected, ConnectFailed, TargetRefused,
    ResponseHead, Piece, StreamEnded, StreamBroken, SilentConnection, ResumeAccepted, ResumeUnknown,
    CancelAcknowledged, HomeAnswered, CallerGone, DeadlineReached, ShutdownForced>;

}
