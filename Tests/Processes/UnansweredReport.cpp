#include "UnansweredReport.h"

#include <algorithm>
#include <cstring>
#include <ctime>
#include <iomanip>
#include <map>
#include <sstream>

namespace Processes {

namespace {

using Milliseconds = std::chrono::milliseconds;

// A line begins with its local time: 2026-01-31 12:00:00,123.
std::chrono::system_clock::time_point timeOf(std::string const& line)
{
    std::istringstream stream(line);
    std::tm fields {};
    char comma = 0;
    int milliseconds = 0;
    stream >> std::get_time(&fields, "%Y-%m-%d %H:%M:%S") >> comma >> milliseconds;
    fields.tm_isdst = -1;
    return std::chrono::system_clock::from_time_t(std::mktime(&fields)) + Milliseconds(milliseconds);
}

std::string millisecondsText(std::chrono::nanoseconds time)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(time).count()) + " ms";
}

}

UnansweredReport::UnansweredReport(KeyedSite const& site, std::vector<SentSignal> signals)
    : m_signals(std::move(signals))
    , m_lines(KeyedSite::daemonCount())
    , m_wallClock(std::chrono::system_clock::now())
    , m_steadyClock(std::chrono::steady_clock::now())
{
    for (std::size_t n = 0; n < m_lines.size(); ++n) {
        for (std::string_view event : { "connection-ended-unanswered", "connections-accepted-late", "shutdown-phase" }) {
            for (std::string const& line : site.logLines(KeyedSite::daemonName(n), std::string(event)))
                m_lines[n].push_back({ timeOf(line), line });
        }
    }
}

std::string UnansweredReport::text(Unanswered const& request, std::uint64_t runs) const
{
    TimedAnswer const& answer = request.answer;
    std::string came = answer.hasBegun ? "the head and " + std::to_string(answer.receivedBytes) + " bytes" : "nothing";
    return request.id + " at " + KeyedSite::daemonName(request.daemon) + ": written " + signalText(request) + ", ended " + millisecondsText(answer.sinceSent()) + " later with " + came + " of an answer, ran " + std::to_string(runs) + " times: " + answer.error + logText(request);
}

std::string UnansweredReport::signalText(Unanswered const& request) const
{
    std::vector<SentSignal>::const_reverse_iterator last = std::find_if(m_signals.rbegin(), m_signals.rend(), [&](SentSignal const& it) {
        return it.process == KeyedSite::daemonName(request.daemon) && it.at <= request.answer.endedAt;
    });
    if (last == m_signals.rend())
        return "without a signal before its end";
    std::chrono::nanoseconds since = request.answer.sentAt - last->at;
    char const* name = sigabbrev_np(last->number);
    return millisecondsText(std::chrono::abs(since)) + (since.count() < 0 ? " before SIG" : " after SIG") + (name ? name : std::to_string(last->number));
}

std::string UnansweredReport::logText(Unanswered const& request) const
{
    constexpr Milliseconds nearby { 500 };
    constexpr std::size_t mostLines = 8;
    std::chrono::system_clock::time_point endedAt = m_wallClock + std::chrono::duration_cast<std::chrono::system_clock::duration>(request.answer.endedAt - m_steadyClock);
    std::map<std::pair<std::chrono::system_clock::time_point, std::string>, std::size_t> times; // Many connections end at once, alike.
    for (LogLine const& line : m_lines[request.daemon]) {
        if (std::chrono::abs(line.at - endedAt) <= nearby)
            ++times[{ line.at, line.text }];
    }
    std::string text;
    std::size_t count = 0;
    for (std::pair<std::pair<std::chrono::system_clock::time_point, std::string> const, std::size_t> const& it : times) {
        if (++count <= mostLines)
            text += "\n    " + millisecondsText(it.first.first - endedAt) + " from its end, " + std::to_string(it.second) + " times: " + it.first.second;
    }
    if (count > mostLines)
        text += "\n    and " + std::to_string(count - mostLines) + " more lines";
    return count == 0 ? "\n    its daemon logged nothing of this then" : text;
}

}
