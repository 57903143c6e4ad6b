// The part of Dispatcher that learns how long prompts take and says when one is overdue: docs/design/request-stages.md.

#include <LibDaemon/DispatcherWaiter.h>
#include <algorithm>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

}

// Called with the mutex held.
void Dispatcher::noteUsualPrompt(Waiter const& waiter, Clock::duration duration)
{
    double estimate = waiter.aheadSeconds + waiter.work.prefillSeconds;
    m_promptTimes.note(waiter.request.work, estimate, std::chrono::duration<double>(duration).count(), Clock::now());
}

std::optional<std::chrono::milliseconds> Dispatcher::overdueAfter(std::uint64_t id)
{
    std::lock_guard lock(m_mutex);
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::const_iterator it = m_waiters.find(id);
    if (it == m_waiters.end() || !it->second->outcome.position)
        return std::nullopt;
    Waiter const& waiter = *it->second;
    std::uint64_t key = waiter.request.fleet->targets[*waiter.outcome.position].key;
    // More urgent prompts that were sent there since go first.
    double estimate = std::max(waiter.aheadSeconds + waiter.work.prefillSeconds, m_openWork.total(key, Clock::now()).prefillSeconds);
    return m_promptTimes.overdueAfter(waiter.request.work, estimate, Clock::now());
}

void Dispatcher::notePromptGivenUp(std::uint64_t id, Clock::duration duration)
{
    std::lock_guard lock(m_mutex);
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::iterator it = m_waiters.find(id);
    if (it != m_waiters.end() && it->second->outcome.position)
        noteUsualPrompt(*it->second, duration);
}

}
