#pragma once

#include <LibCore/Result.h>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Operator {

/// One line of a daemon's log, taken apart.
struct LogLine {
    std::string time; ///< As written: date and time of day, comparable as text.
    std::string source; ///< The file, and what stands in front of the line there, such as the daemon's name.
    std::string event;
    std::map<std::string, std::string, std::less<>> fields;
    std::size_t order { 0 }; ///< In which it was read: that of lines of the same time.

    /// Returns a field's value, or nothing.
    std::string_view field(std::string_view name) const;
};

/// Returns the seconds from one line's time to another's, at most half a day apart, also over midnight. Precondition: both are the
/// times of log lines. Thread-safe.
int secondsBetween(std::string const& from, std::string const& to);

/// Reads a line of a log, whatever stands in front of its time. Errors: NotFound when it is no event line. Thread-safe.
Core::Result<LogLine> parseLogLine(std::string_view line, std::string const& file);

/// What the logs of all daemons say of one request, in order, with what happened meanwhile to the targets that it met.
/// Not thread-safe.
class Story {
public:
    explicit Story(std::string requestId)
        : m_requestId(std::move(requestId))
    {
    }

    /// Takes one file's lines in. Lines that are no events are skipped.
    void read(std::istream&, std::string const& file);

    /// Returns the request's own lines and those of its targets from five seconds before it to one second behind it, by
    /// time. Empty when no line names the request.
    std::vector<LogLine> lines() const;

    /// Returns one sentence: how the request ended, and what the lines say it was due to.
    std::string cause() const;

private:
    bool isOwn(LogLine const&) const;
    std::vector<LogLine> ownLines() const;

    std::string m_requestId;
    std::vector<LogLine> m_lines; ///< Of the request, and of targets and daemons.
};

}
