#pragma once

#include <LibCore/BootClock.h>
#include <LibRequest/Fingerprint.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Quarantine {

/// Time since boot, so that evidence keeps ageing while the VM is suspended.
using Time = Core::BootClock::time_point;

/// Identifies a request by its content; equal for all attempts.
using WorkKey = Request::Fingerprint;

/// Returns the key of a part of prompts, the same for all requests to the service that have it. Thread-safe.
WorkKey partKeyOf(std::string_view service, std::uint64_t part);

/// Whether a key is that of a part and not that of a whole request. Thread-safe.
bool isPartKey(WorkKey const&);

/// A target as identified in evidence.
struct SuspectTarget {
    std::uint64_t incarnation { 0 }; ///< The same at every daemon; changes with a restart.
    std::string service;
    std::string release; ///< Software release; empty: unknown.
    std::string name {}; ///< For logs and operator output.

    bool operator==(SuspectTarget const&) const = default;
};

/// The end of a target's process while it ran a request.
struct TargetEnd {
    SuspectTarget target;
    Time begunAt; ///< When the request was sent to the target.
    Time at; ///< When the connection broke.
};

/// Evidence about a request, exchanged between daemons.
struct SuspectNews {
    WorkKey key;
    std::optional<SuspectTarget> ended; ///< The target that ended while running it; nothing: a target completed it and survived.
    Time begunAt; ///< When the request was sent to the target.
    Time at; ///< When the event happened. Both times are by the local clock of the daemon that holds the object.

    bool operator==(SuspectNews const&) const = default;
};

/// Everything known about one request.
struct Suspect {
    WorkKey key;
    std::vector<TargetEnd> ends; ///< One per end of a target's process.
    Time survivedAt; ///< When a target last completed it; earlier ends no longer count.
};

/// The effect of new evidence on a request.
struct Finding {
    WorkKey key;
    SuspectTarget target;
    std::size_t ends { 0 }; ///< Number of target ends, including this one.
    bool isRefused { false }; ///< The request is refused from now on and was not before.
};

}
