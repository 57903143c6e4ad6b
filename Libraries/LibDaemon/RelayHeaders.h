#pragma once

#include <LibHttp/Message.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Daemon {

/// Header with the name of the daemon that passed a request on.
inline constexpr std::string_view relayHeader = "Currantvale-Relayed-By";

/// Header with the verdict of an error that the daemon which serves a relayed request has met itself. An answer of a target bears no
/// such verdict.
inline constexpr std::string_view relayVerdictHeader = "Currantvale-Relay-Verdict";

/// The attempts at targets of a request that one daemon has passed on to another: on the request, what the peer may do; on its
/// answer, what it did.
struct RelayAttempts {
    std::uint32_t attempts { 0 }; ///< Targets that may be sent the request, or were sent it; 0: none was.
    std::vector<std::string> triedTargets; ///< Have failed the request, and are not asked again while others are left.

    bool operator==(RelayAttempts const&) const = default;
};

/// Sets the headers for it. Names of targets that a header cannot carry are left out. Thread-safe.
void writeRelayAttempts(Http::Fields&, RelayAttempts const&);

/// Sets the header with the release that began a stream, for the peer that goes on with it, or from the one that has begun it. One that a
/// header cannot carry is left out. Thread-safe.
void writeStreamRelease(Http::Fields&, std::string const& release);

/// Reads and removes that header. Thread-safe.
std::optional<std::string> takeStreamRelease(Http::Fields&);

/// Reads and removes the headers. Empty if there are none, as from a daemon of an earlier release; a number that cannot be read
/// counts as one attempt. Thread-safe.
std::optional<RelayAttempts> takeRelayAttempts(Http::Fields&);

}
