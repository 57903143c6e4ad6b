#pragma once

#include <LibCore/Error.h>
#include <LibRequest/RequestEvent.h>
#include <boost/container/small_vector.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Request {

/// Choose a target outside `excluded`, report `TargetPicked` or `NoTarget`, connect (a new connection or a pooled
/// one) and report `Connected` or `ConnectFailed`, with connection 1. Write nothing yet.
struct Dispatch {
    std::uint32_t attempt { 0 };
    std::vector<std::string> excluded;
    std::chrono::milliseconds delay { 0 }; ///< Wait this long first.
    bool isWhole { false }; ///< The target that generates the output also computes the prompt.
};
/// As `Dispatch`, with a request whose prompt is the caller's and the `delivered` pieces' text after it.
struct Continue {
    std::uint32_t attempt { 0 };
    std::vector<std::string> excluded;
    std::uint64_t delivered { 0 };
};
/// Write the request now on this connection, without delay: the decision to run has been made.
struct WriteRequest {
    Leg leg;
};
/// After `delay`, reconnect to `target` and request the attempt's stream from piece `from` on. Report
/// `ResumeAccepted`, `ResumeUnknown` or `ConnectFailed`.
struct Resume {
    Leg leg;
    std::string target;
    std::uint64_t from { 0 };
    std::chrono::milliseconds delay { 0 };
};
/// Cancel the attempt at its target and drop its connections. Report `CancelAcknowledged` when `needsOutcome`
/// (`Unknown` after a second or so without an answer).
struct CancelAtTarget {
    std::uint32_t attempt { 0 };
    std::string target;
    bool needsOutcome { false };
};
/// Send the head of this attempt's answer to the caller. At most once, before the first piece.
struct DeliverHead {
    std::uint32_t attempt { 0 };
    int status { 0 };
};
/// Send (and store) a piece. `position` numbers the pieces of the whole answer from 0, without gaps or duplicates.
struct DeliverPiece {
    std::uint64_t position { 0 };
    std::string bytes;
};
/// The one final answer. Without `error`, the answer delivered so far is complete.
struct Finish {
    Core::Verdict verdict { Core::Verdict::NotRun };
    std::optional<Core::Error> error;
    std::chrono::milliseconds retryAfter { 0 };
    std::uint32_t attempts { 0 }; ///< Targets that may have run the request, for the daemon that has passed it on.
    std::vector<std::string> triedTargets {}; ///< Likewise.
};

using RequestAction = std::variant<Dispatch, Continue, WriteRequest, Resume, CancelAtTarget, DeliverHead, DeliverPiece, Finish>;

/// Actions to start in this order, without waiting for one to complete: a `Finish` after a cancel is sent immediately.
using RequestActions = boost::container::small_vector<RequestAction, 2>;

}
