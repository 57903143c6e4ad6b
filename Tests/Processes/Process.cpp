#include "Process.h"

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

Process::Process(std::vector<std::string> const& arguments, std::string const& outputFile, std::string const& logFile)
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
}

Process::~Process()
{
    kill();
}

void Process::send(int signal) const
{
    if (!m_status)
        ::kill(m_pid, signal);
}

void Process::kill()
{
    if (m_status)
        return;
    send(SIGKILL);
    int waited = 0;
    if (waitpid(m_pid, &waited, 0) == m_pid)
        m_status = statusOf(waited);
}

std::optional<int> Process::status()
{
    int waited = 0;
    if (!m_status && waitpid(m_pid, &waited, WNOHANG) == m_pid)
        m_status = statusOf(waited);
    return m_status;
}

}
