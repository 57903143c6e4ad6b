#pragma once

#include <LibAccess/Gate.h>
#include <LibCore/Result.h>
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

/// What a request asks for, read from its HTTP form once.
struct Work {
    enum class Kind : std::uint8_t { Model,
        Service };

    std::string requestId;
    Request::Fingerprint key; ///< The same whenever a caller asks for the same, under whatever request id.
    Kind kind { Kind::Model };
    std::string name; ///< The model or the plain service.
    std::string organisation;
    bool isAuthenticated { false }; ///< The organisation holds the key that the request came with.
    Label::LabelSet labels; ///< After the operators' request rules.
    int priority { 5 };
    bool isRepeatable { false };
    bool isStreamed { false }; ///< The answer is a stream of server-sent events.
    std::chrono::milliseconds timeout { 0 };
    std::chrono::milliseconds firstPieceLimit { 0 }; ///< A caller gives a stream up that has not begun by then; 0: never.
    std::uint32_t maxAttempts { 4 }; ///< Targets to which it may be sent.
    bool mayContinue { false }; ///< A stream may go on at another target behind its last event.
    std::optional<std::string> ticket;
    std::string idempotencyKey;
    Routing::RequestShape shape;
    std::vector<Routing::PrefixBlock> prefix;
    Http::Request upstream; ///< What the target gets, but for the attempt's own fields.
};

/// Bounds and defaults that reading a request needs.
struct WorkLimits {
    std::chrono::milliseconds defaultTimeout { 60'000 };
    std::chrono::milliseconds longestTimeout { 600'000 };
    Access::GateSettings keys {};
};

/// Reads a request to a model (`/v1/completions`, `/v1/chat/completions`) or a plain service
/// (`/services/NAME/...`). Precondition: where the configuration has organisations, the request has been let in by its key, and names
/// the organisation. Errors (all NotRun): BadInput with what was read and what is allowed; NotFound for
/// another path. Thread-safe.
Core::Result<Work> parseWork(Http::Request const&, State::Config const&, WorkLimits const&, std::string requestId);

/// Returns what tells a caller's request from others that ask for something else: its host, method, path with query, body, and
/// who asks: the organisation that holds its key, else whoever the request says. Thread-safe.
Request::Fingerprint workKeyOf(Http::Request const&, Work const&);

/// Returns the form of a request's key that logs have. Thread-safe.
std::string toLogText(Request::Fingerprint const&);

/// Header that names the organisation that a request counts for, and the name that counts without it.
inline constexpr std::string_view organisationHeader = "Currantvale-Organisation";
inline constexpr std::string_view anonymousOrganisation = "anonymous";

inline constexpr std::string_view servicePrefix = "/services/";

}
