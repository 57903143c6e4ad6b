#pragma once

#include <atomic>
#include <sys/types.h>
#include <thread>

namespace Processes {

/// Lets a process run for a share of each period only, as a scheduler's processor quota does. What it does not use of one period is
/// lost with it. Works by SIGSTOP and SIGCONT on a thread of its own.
class ProcessorQuota {
public:
    /// `share`: of one processor, above 0 and up to 1. Preconditions: `process` is a child that is not reaped before this object ends.
    ProcessorQuota(pid_t process, double share);
    /// The process runs on without a quota, unless it is paused.
    ~ProcessorQuota();
    ProcessorQuota(ProcessorQuota const&) = delete;
    ProcessorQuota& operator=(ProcessorQuota const&) = delete;

    /// Stops the process until it is called with `false`, whatever the quota allows. Thread-safe.
    void setPaused(bool);

private:
    void run();

    pid_t m_process { 0 };
    double m_share { 1 };
    std::atomic<bool> m_isPaused { false };
    std::atomic<bool> m_isEnding { false };
    std::thread m_thread;
};

}
