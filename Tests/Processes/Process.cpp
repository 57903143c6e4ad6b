#include "Process.h"

#include "ProcessorQuota.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace Processes {

namespace {

constexpr mode_t fileMode = 0600;
constexpr int signalStatus = 128;

int statusOf(int waited)
{
    return WIFEXITED(waited) ? WEXITSTATUS(waited) : signalStatus + WTERMSIG(waited);
}

}

Process::Process(std::vector<std::string> const& arguments, std::string const& outputFile, std::string const& logFile, double processorShare)
{
    std::vector<char*> pointers;
    for (std::string const& it : arguments)
        pointers.push_back(const_cast<char*>(it.c_str()));
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    // A process that starts again goes on in the files of the one before.
    int flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), flags, fileMode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(), flags, fileMode);
    int ec = posix_spawn(&m_pid, pointers.front(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0)
        throw std::runtime_error("cannot start " + arguments.front());
    if (processorShare < 1)
        m_quota = std::make_unique<ProcessorQuota>(m_pid, processorShare);
}

Process::~Process()
{
    kill();
}

void Process::send(int signal) const
{
    if (m_status)
        return;
    bool isPause = signal == SIGSTOP || signal == SIGCONT;
    if (m_quota && isPause)
        m_quota->setPaused(signal == SIGSTOP);
    else
        ::kill(m_pid, signal);
}

void Process::kill()
{
    if (m_status)
        return;
    ::kill(m_pid, SIGKILL);
    reap();
}

std::optional<int> Process::status()
{
    if (!m_status && hasEnded())
        reap();
    return m_status;
}

// Leaves it to be reaped.
bool Process::hasEnded() const
{
    siginfo_t info {};
    return waitid(P_PID, static_cast<id_t>(m_pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == m_pid;
}

void Process::reap()
{
    m_quota.reset();
    int waited = 0;
    if (waitpid(m_pid, &waited, 0) == m_pid)
        m_status = statusOf(waited);
}

}
