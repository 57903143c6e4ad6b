#pragma once

#include <LibAccess/Gate.h>
#include <LibCore/Result.h>
#include <LibDaemon/RelayHeaders.h>
#include <LibHttp/Message.h>
#include <LibLabel/LabelSet.h>
#include <LibRequest/Fingerprint.h>
#include <LibRouting/PrefixIndex.h>
#include <LibRouting/RequestShape.h>
#include <LibState/Config.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Daemon {

/// A stream that its caller resumes with a new request because the answer to an earlier one broke off.
struct Resumption {
    std::string streamId; ///< Id of the request that brought the stream's first event; empty if the caller does not name it.
    std::string lastEventId; ///< The stream is to go on behind this event.
};

/// A parsed request: the model or service that it names, and how to run it.
struct Work {
    enum class Kind : std::uint8_t { Model,
        Service };

    std::string requestId;
    Request::Fingerprint key; ///< Equal for requests with the same content, whatever their request id.
    Kind kind { Kind::Model };
    std::string name; ///< The model or the plain service.
    std::string organisation;
    std::optional<RelayAttempts> grant {}; ///< By the peer that has passed it on; empty if that peer states none.
    bool isRelayed { false }; ///< A peer has passed it on to this daemon, which is the last to serve it.
    std::string callerKey {}; ///< The API key as the caller sent it, for a peer that serves the request; empty: none.
    bool isAuthenticated { false }; ///< The request's API key belongs to the organisation.
    Label::LabelSet labels; ///< After the configured request rules were applied.
    int priority { 5 };
    bool isRepeatable { false };
    bool isStreamed { false }; ///< The answer is a stream of server-sent events.
    std::chrono::milliseconds waited { 0 }; ///< Since the request arrived whole; part of `timeout`.
    std::chrono::milliseconds timeout { 0 };
    std::chrono::milliseconds firstPieceLimit { 0 }; ///< Callers abandon a stream not started by then; 0 if they never do.
    std::uint32_t maxAttempts { 4 }; ///< Maximum number of targets to send it to.
    bool mayContinue { false }; ///< Another target may continue a stream after its last event.
    std::optional<std::string> streamRelease {}; ///< That began the stream, as the daemon says that has passed the request on.
    bool isServiceDrawn { false }; ///< The route draws among services, so that another request for the same may go to another one.
    std::optional<Resumption> resumption {}; ///< Only with `mayContinue`; empty: the stream is to begin.
    std::optional<std::string> ticket;
    std::string idempotencyKey;
    Routing::RequestShape shape;
    std::vector<Routing::PrefixBlock> prefix;
    std::vector<std::uint64_t> sharedParts; ///< Ids of the prompt's parts that other requests may have too, each once.
    Http::Request upstream; ///< The request to the target, without the fields set per attempt.
};

/// Limits and defaults for parsing requests.
struct WorkLimits {
    std::chrono::milliseconds defaultTimeout { 60'000 };
    std::chrono::milliseconds maxTimeout { 600'000 };
    Access::GateSettings keys {};
};

/// Reads a request to a model (`/v1/completions`, `/v1/chat/completions`) or a plain service
/// (`/services/NAME/...`). Precondition: if the configuration has organisations, the request has been authenticated by its
/// key and its organisation header is set accordingly. Errors (all NotRun): BadInput with the value read and the allowed
/// values; NotFound for any other path. Thread-safe.
Core::Result<Work> parseWork(Http::Request const&, State::Config const&, WorkLimits const&, std::string requestId);

/// Returns the fingerprint of a request's content: its host, method, path with query, body and sender. The sender is the
/// authenticated organisation, otherwise the credentials and the organisation in its headers. Thread-safe.
Request::Fingerprint workKeyOf(Http::Request const&, Work const&);

/// Returns the abbreviated form of a request's key for logs. Thread-safe.
std::string toLogText(Request::Fingerprint const&);

/// Header with the organisation that a request is accounted to, and the name used without it.
inline constexpr std::string_view organisationHeader = "Currantvale-Organisation";
inline constexpr std::string_view anonymousOrganisation = "anonymous";

inline constexpr std::string_view servicePrefix = "/services/";

}
