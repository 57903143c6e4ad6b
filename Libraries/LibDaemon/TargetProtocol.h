#pragma once

#include <LibDaemon/FleetSnapshot.h>
#include <LibDaemon/Work.h>
#include <LibHttp/Message.h>
#include <LibRouting/TargetNotices.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Daemon {

/// One send of a request to a target.
struct TargetSend {
    std::uint32_t attempt { 1 };
    std::string targetIncarnation; ///< Of the target that is meant; empty while unknown.
    std::chrono::milliseconds timeLeft { 0 }; ///< Until the caller has given up.
    std::string kvSource; ///< Where the decoding target fetches the prompt's KV cache; empty: nowhere.
    int urgency { 5 }; ///< At an engine: 0 first, 9 last.
    std::string lastEventId; ///< The stream goes on behind this event; empty: from its beginning.
};

/// What the head of a target's answer proves about the request that was sent.
enum class AnswerProof : std::uint8_t {
    Answer, ///< It is the target's answer to this request.
    NotRun, ///< The target did not run it, and never will.
    Replaced, ///< As NotRun: whoever is at the address now is not the target that was meant.
    Foreign, ///< It belongs to another request.
    Unusable, ///< It is no answer that may be passed on; the request may have run.
};

/// What targets speak, as pure functions. Set all hooks but those marked optional. Thread-safe.
struct TargetProtocol {
    /// The request as a target gets it.
    std::function<Http::Request(Work const&, TargetSend const&)> request;

    /// The same request, to have its prompt computed and its KV cache kept.
    std::function<Http::Request(Work const&, TargetSend const&)> prefillRequest;

    /// Reads the answer to that: the `kvSource` of the decoding send. Errors: Unavailable, with the verdict NotRun when
    /// the target refused; NotFound when another one is at its address now.
    std::function<Core::Result<std::string>(FleetTarget const&, Work const&, Http::Response const&)> readPrefill;

    /// Judges an answer by its head, and by its body where that was read (null: not).
    std::function<AnswerProof(Work const&, TargetSend const&, Http::ResponseHead const&, std::string const* body)> judge;

    /// Optional: reads what a target says of itself in the head of any of its answers.
    std::function<Routing::TargetNotice(std::uint16_t status, Http::Fields const&)> readNotice;

    /// Optional: the request to the prefill target that frees a KV cache which nobody will fetch.
    std::function<Http::Request(std::string const& kvSource)> releaseKv;

    bool marksStreamEnd { true }; ///< Streams end with an event of their own; else with their framing alone.
    bool resumesAtTarget { true }; ///< Targets keep streams and resume them on a new connection.
    bool takesCancels { true }; ///< Targets take cancels by request id; else the end of the connection cancels.
    bool keepsConnectionsForAll { false }; ///< Requests that may not be repeated use kept connections too.
    bool countsUnsent { true }; ///< A try of which nothing reached a target counts as an attempt.
    bool outputsTakePrompts { false }; ///< Targets that generate outputs take requests whose prompt nobody has computed.
    bool hidesSilence { false }; ///< A silent target is waited for until the deadline: its connection is probed instead.
};

/// The protocol of docs/design/platform-protocols.md.
TargetProtocol ownTargetProtocol();

}
