#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>

namespace Core {

/// Every kind of log line, by number. Numbers are never reused; docs/EVENTS.md catalogues them and a
/// test compares the two. Ranges: 1xxx process, 2xxx requests and routing, 3xxx configuration and log,
/// 4xxx leases, orders and roles, 5xxx membership and peers, 6xxx targets.
enum class Event : std::uint16_t {
    ProcessStarted = 1001,
    ProcessStopped = 1002,
    SettingsRejected = 1003,
    ShutdownStarted = 1004,
    ShutdownPhase = 1005,
    ListenerFailed = 1006,
    RouteDecided = 2001,
    RouteRefused = 2002,
    RequestFinished = 2003,
    AttemptFailed = 2004,
    RequestRetried = 2005,
    RequestRejected = 2006,
    AnswerResumed = 2007,
    AnswerDropped = 2008,
    RequestForwarded = 2009,
    ConfigurationAccepted = 3001,
    ConfigurationRefused = 3002,
    LogUnavailable = 3003,
    LogRecovered = 3004,
    LogGap = 3005,
    SnapshotWritten = 3006,
    SnapshotLoaded = 3007,
    PeerUnreachable = 5001,
    PeerRecovered = 5002,
    TargetAdded = 6001,
    TargetRemoved = 6002,
    TargetUnreachable = 6003,
    TargetRecovered = 6004,
};

inline constexpr EnumNames<Event, 28> eventNames { {
    { Event::ProcessStarted, "process-started" },
    { Event::ProcessStopped, "process-stopped" },
    { Event::SettingsRejected, "settings-rejected" },
    { Event::ShutdownStarted, "shutdown-started" },
    { Event::ShutdownPhase, "shutdown-phase" },
    { Event::ListenerFailed, "listener-failed" },
    { Event::RouteDecided, "route-decided" },
    { Event::RouteRefused, "route-refused" },
    { Event::RequestFinished, "request-finished" },
    { Event::AttemptFailed, "attempt-failed" },
    { Event::RequestRetried, "request-retried" },
    { Event::RequestRejected, "request-rejected" },
    { Event::AnswerResumed, "answer-resumed" },
    { Event::AnswerDropped, "answer-dropped" },
    { Event::RequestForwarded, "request-forwarded" },
    { Event::ConfigurationAccepted, "configuration-accepted" },
    { Event::ConfigurationRefused, "configuration-refused" },
    { Event::LogUnavailable, "log-unavailable" },
    { Event::LogRecovered, "log-recovered" },
    { Event::LogGap, "log-gap" },
    { Event::SnapshotWritten, "snapshot-written" },
    { Event::SnapshotLoaded, "snapshot-loaded" },
    { Event::PeerUnreachable, "peer-unreachable" },
    { Event::PeerRecovered, "peer-recovered" },
    { Event::TargetAdded, "target-added" },
    { Event::TargetRemoved, "target-removed" },
    { Event::TargetUnreachable, "target-unreachable" },
    { Event::TargetRecovered, "target-recovered" },
} };

}
