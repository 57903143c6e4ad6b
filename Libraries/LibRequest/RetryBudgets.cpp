#include <LibRequest/RetryBudgets.h>
#include <algorithm>

namespace Request {

namespace {

// Daemons disagree for a moment on how many they are, and a window may begin with what was saved up before it: a tenth
// of the allowance is kept back for that.
constexpr double usedShare = 0.9;

}

RetryBudgets::RetryBudgets(SharedAllowance const& allowance)
    : m_allowance(allowance)
{
}

// Over one window a budget spends at most ratio * requests + burst + floor * window: the extra is halved between the two.
RetryBudget::Settings RetryBudgets::settings() const
{
    constexpr double half = 0.5;
    double seconds = std::chrono::duration<double>(m_allowance.window).count();
    double extra = m_allowance.extra * usedShare / static_cast<double>(m_daemons);
    RetryBudget::Settings settings;
    settings.ratio = m_allowance.ratio * usedShare;
    settings.burst = std::max(1.0, extra * half);
    settings.floorPerSecond = extra * half / seconds;
    return settings;
}

RetryBudget& RetryBudgets::of(std::string const& service)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::unique_ptr<RetryBudget>& budget = m_budgets[service];
    if (!budget)
        budget = std::make_unique<RetryBudget>(settings());
    return *budget;
}

void RetryBudgets::change(SharedAllowance const& allowance)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_allowance = allowance;
    changeAll();
}

void RetryBudgets::setDaemons(std::size_t daemons)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_daemons = std::max<std::size_t>(1, daemons);
    changeAll();
}

// Precondition: the mutex is held.
void RetryBudgets::changeAll()
{
    for (std::pair<std::string const, std::unique_ptr<RetryBudget>> const& it : m_budgets)
        it.second->change(settings());
}

}
