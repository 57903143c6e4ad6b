#pragma once

#include "Fleet.h"

#include <LibLoad/Runner.h>
#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace Processes {

/// How the requests of a load ended.
struct LoadCounts {
    std::uint64_t sent { 0 };
    std::uint64_t whole { 0 };
    std::string text; ///< Of all endings, for messages.
};

/// Streams completions from a thread of its own, in rounds, until it is stopped, and checks each answer against
/// the text that its own prompt must give.
class StreamLoad {
public:
    /// Asks before each round where to send, and keeps to that for `round`.
    using Entries = std::function<std::vector<Endpoint>()>;

    StreamLoad(Entries, std::chrono::milliseconds round, Load::Shape = { 40, 32 });
    ~StreamLoad();
    StreamLoad(StreamLoad const&) = delete;
    StreamLoad& operator=(StreamLoad const&) = delete;

    /// Answers received so far. Thread-safe.
    std::uint64_t received() const { return m_received; }
    /// Lets the round end and returns the counts.
    LoadCounts stop();

private:
    void run();
    void runRound(std::uint64_t seed);

    Entries m_entries;
    std::chrono::milliseconds m_round;
    Load::Shape m_shape;
    std::atomic<bool> m_isStopped { false };
    std::atomic<std::uint64_t> m_received { 0 };
    LoadCounts m_counts; ///< Of the thread, until it has ended.
    std::thread m_thread;
};

}
