#pragma once

#include "KeyedSite.h"
#include "SentSignal.h"
#include "TimedAnswer.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Processes {

/// A request that got no whole answer although a connection had taken it.
struct Unanswered {
    std::string id;
    std::size_t daemon { 0 };
    TimedAnswer answer;
};

/// Says what is known of a request that got no whole answer, from its caller, its targets and its daemon's log. Not thread-safe.
class UnansweredReport {
public:
    /// Reads the daemons' logs. `signals`: what the daemons were sent, in the order of time.
    UnansweredReport(KeyedSite const&, std::vector<SentSignal> signals);

    /// Returns some lines: when it was written, after or before the last signal that its daemon had got when it ended, how much of
    /// an answer had come, how long it waited, and what its daemon logged of connections and of its stop about when it ended.
    /// `runs`: how often it ran, as far as targets remember.
    std::string text(Unanswered const&, std::uint64_t runs) const;

private:
    struct LogLine {
        std::chrono::system_clock::time_point at;
        std::string text;
    };

    std::string signalText(Unanswered const&) const;
    std::string logText(Unanswered const&) const;

    std::vector<SentSignal> m_signals;
    std::vector<std::vector<LogLine>> m_lines; ///< Of each daemon.
    std::chrono::system_clock::time_point m_wallClock; ///< At `m_steadyClock`: logs have the one, callers the other.
    std::chrono::steady_clock::time_point m_steadyClock;
};

}
