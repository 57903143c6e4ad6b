#pragma once

#include <LibCore/Event.h>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace Core {

/// One field of a log line. The value is quoted when it holds white space, quotes or '='.
using EventField = std::pair<std::string_view, std::string>;

/// Severity of an event line.
enum class Severity : std::uint8_t { Debug,
    Info,
    Warning,
    Error };

inline constexpr EnumNames<Severity, 4> severityNames { {
    { Severity::Debug, "debug" },
    { Severity::Info, "info" },
    { Severity::Warning, "warning" },
    { Severity::Error, "error" },
} };

/// Sets up log4cxx to write to standard output, lines at or above `threshold` only. A thread of its own writes: who logs
/// never waits for whoever reads standard output. Of lines that find the buffer full, a summary says how many were
/// left out and shows the most severe.
/// Precondition: called once, before threads start.
void startEventLog(Severity threshold);

/// Writes what is still buffered. Precondition: no thread logs any more.
void stopEventLog();

/// Changes the least severity that is written. Thread-safe.
void setEventLogThreshold(Severity threshold);

/// Returns whether lines of this severity are written: callers skip costly fields otherwise. Thread-safe.
bool isLogged(Severity);

/// Writes one line: `event=2001 name=route-decided key=value ...`. Of severity Info and Debug, 400 lines a second of each
/// event are written at most; a line says how many were left out. Thread-safe.
void logEvent(Severity, Event, std::initializer_list<EventField>);

/// Returns how many lines the limit on each event has left out since the start. Thread-safe.
std::uint64_t linesLeftOut();

/// Returns the line that `logEvent` writes, without its time and severity. Thread-safe.
std::string formatEvent(Event, std::initializer_list<EventField>);

}
