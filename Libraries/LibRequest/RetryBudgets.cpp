#include <LibRequest/RetryBudgets.h>
#include <algorithm>
#include <utility>

namespace Request {

namespace {

// Daemons may briefly disagree on their number, and a window may begin with tokens saved before it: a tenth of the
// allowance is held in reserve for that.
constexpr double usedShare = 0.9;
// A retry whose prompt is recomputed takes two sends; a smaller burst would never allow it.
constexpr double minBurst = 2;

}

RetryBudgets::RetryBudgets(SharedAllowance const& allowance)
    : m_allowance(allowance)
{
}

// Over one window a budget spends at most ratio * requests + burst + floor * window: the extra is split between burst and floor.
RetryBudget::Settings RetryBudgets::settings() const
{
    constexpr double half = 0.5;
    double seconds = std::chrono::duration<double>(m_allowance.window).count();
    double extra = m_daemons == 0 ? 0 : m_allowance.extra * usedShare / static_cast<double>(m_daemons);
    RetryBudget::Settings settings;
    settings.ratio = m_allowance.ratio * usedShare;
    settings.burst = std::max(1.0, std::min(extra, std::max(minBurst, extra * half)));
    settings.floorPerSecond = std::max(0.0, extra - settings.burst) / seconds;
    settings.startsEmpty = true;
    return settings;
}

RetryBudget& RetryBudgets::of(std::string const& service)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::unique_ptr<RetryBudget>& budget = m_budgets[service];
    if (!budget)
        budget = std::make_unique<RetryBudget>(settings(), m_knownSince);
    return *budget;
}

void RetryBudgets::change(SharedAllowance const& allowance)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_allowance = allowance;
    changeAll();
}

void RetryBudgets::setDaemons(std::size_t daemons, TimePoint now)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_daemons == 0)
        m_knownSince = now;
    // Keeps only the counts that no later one reached, so the greatest comes first.
    std::erase_if(m_seenDaemons, [&](std::pair<TimePoint const, std::size_t> const& it) { return it.second <= daemons || now - it.first > memory * m_allowance.window; });
    m_seenDaemons[now] = std::max<std::size_t>(1, daemons);
    std::size_t most = m_seenDaemons.begin()->second;
    if (std::exchange(m_daemons, most) != most)
        changeAll();
}

// Precondition: the mutex is held.
void RetryBudgets::changeAll()
{
    for (std::pair<std::string const, std::unique_ptr<RetryBudget>> const& it : m_budgets)
        it.second->change(settings());
}

}
