#include "ProcessorQuota.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <ctime>

namespace Processes {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds period { 100 }; // As the kernel's by default.
constexpr std::chrono::milliseconds pollInterval { 1 };

// Returns the processor time that a process has used; zero once it is gone.
std::chrono::nanoseconds usedBy(pid_t process)
{
    clockid_t clock {};
    timespec time {};
    if (clock_getcpuclockid(process, &clock) != 0 || clock_gettime(clock, &time) != 0)
        return {};
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

}

ProcessorQuota::ProcessorQuota(pid_t process, double share)
    : m_process(process)
    , m_share(share)
    , m_thread([this] { run(); })
{
}

ProcessorQuota::~ProcessorQuota()
{
    m_isEnding = true;
    m_thread.join();
    if (!m_isPaused)
        ::kill(m_process, SIGCONT);
}

void ProcessorQuota::setPaused(bool isPaused)
{
    m_isPaused = isPaused;
}

void ProcessorQuota::run()
{
    std::chrono::nanoseconds const quota(static_cast<std::int64_t>(m_share * static_cast<double>(std::chrono::nanoseconds(period).count())));
    std::chrono::nanoseconds allowed = usedBy(m_process) + quota;
    Clock::time_point next = Clock::now() + period;
    bool isStopped = false;
    while (!m_isEnding) {
        std::this_thread::sleep_for(pollInterval);
        std::chrono::nanoseconds used = usedBy(m_process);
        if (Clock::now() >= next) {
            // What was used beyond the quota, between two polls, is taken from the next period.
            allowed = std::min(used, allowed) + quota;
            next += period;
        }
        bool isToStop = m_isPaused || used >= allowed;
        if (isToStop != isStopped)
            ::kill(m_process, isToStop ? SIGSTOP : SIGCONT);
        isStopped = isToStop;
    }
}

}
