#pragma once

// The platform's limit of a process's memory. DEPLOY.md: "A process that exceeds `memory_mb` is killed."

#include "Site.h"

namespace Standin {

inline long residentMb(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind("VmRSS:", 0) == 0)
            return std::atol(line.c_str() + 6) / 1024;
    }
    return 0;
}

/// Watches a daemon until `until`; kills it where it holds too much, and starts it again half a second later.
class MemoryLimit {
public:
    explicit MemoryLimit(long limitMb)
        : m_limitMb(limitMb)
    {
    }
    void enforce(Daemon& daemon, Clock::time_point until, Record& record)
    {
        while (Clock::now() < until) {
            std::this_thread::sleep_for(milliseconds(10));
            long resident = residentMb(daemon.pid());
            m_peakMb = std::max(m_peakMb, resident);
            if (resident <= m_limitMb)
                continue;
            record.line("the daemon holds " + std::to_string(resident) + " MB, more than memory_mb = " + std::to_string(m_limitMb) + ": the platform kills it");
            daemon.kill(SIGKILL);
            ++m_kills;
            std::this_thread::sleep_for(milliseconds(500));
            daemon.start();
        }
    }
    long peakMb() const { return m_peakMb; }
    int kills() const { return m_kills; }

private:
    long m_limitMb;
    long m_peakMb { 0 };
    int m_kills { 0 };
};

}
