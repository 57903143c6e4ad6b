#pragma once

#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Processes {

class ProcessorQuota;

/// A child process whose output goes to files. It is killed and reaped when this object ends. Not thread-safe.
class Process {
public:
    /// Starts `arguments[0]`, with this share of one processor (above 0; 1: without a quota). Throws std::runtime_error when it cannot
    /// be started.
    Process(std::vector<std::string> const& arguments, std::string const& outputFile, std::string const& logFile, double processorShare = 1);
    ~Process();
    Process(Process const&) = delete;
    Process& operator=(Process const&) = delete;

    /// Sends a signal, unless the process has been reaped.
    void send(int signal) const;
    /// Kills it and waits until it is gone.
    void kill();
    pid_t id() const { return m_pid; }
    /// Returns the exit status once it has ended (128 + N after signal N), or nothing while it runs.
    std::optional<int> status();

private:
    bool hasEnded() const;
    void reap();

    pid_t m_pid { 0 };
    std::unique_ptr<ProcessorQuota> m_quota; ///< Empty once the process is reaped.
    std::optional<int> m_status;
};

}
