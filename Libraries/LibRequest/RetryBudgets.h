#pragma once

#include <LibRequest/RetryBudget.h>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Request {

/// The retry allowance of each service, shared by all daemons of a site.
struct SharedAllowance {
    double ratio { 0.1 }; ///< Retries for each request to the service.
    double extra { 0 }; ///< Retries beyond that in a window, in total for all daemons.
    std::chrono::milliseconds window { 10'000 };
};

/// The retry budgets of one daemon: for each service, its share of an allowance common to all daemons. Each daemon's
/// requests earn its own share of the ratio, which holds whatever the daemons know of each other. The extra is divided by
/// the largest recently known number of daemons (see `setDaemons`), and not used before any number is known. Thread-safe.
class RetryBudgets {
public:
    explicit RetryBudgets(SharedAllowance const&);

    /// Returns the budget of a service. It stays valid for as long as this object lives.
    RetryBudget& of(std::string const& service);

    /// Applies a new allowance.
    void change(SharedAllowance const&);

    /// Sets how many daemons share the allowance now, including this one; call it several times per window. A daemon that
    /// is not heard may still run and spend its share, so a smaller number takes effect only after `memory` windows.
    /// Preconditions: at least 1; `now` does not go back.
    void setDaemons(std::size_t, TimePoint now);

    /// Number of windows for which the largest number of daemons applies: one in which a daemon that is no longer heard may
    /// spend its saved tokens, and one more in which callers still know its address.
    static constexpr int memory = 2;

private:
    RetryBudget::Settings settings() const;
    void changeAll();

    SharedAllowance m_allowance;
    std::mutex m_mutex;
    std::size_t m_daemons { 0 }; ///< 0: unknown so far.
    TimePoint m_knownSince; ///< Time of the first `setDaemons` call.
    std::map<TimePoint, std::size_t> m_seenDaemons; ///< Daemon counts by the time they were last reported, largest first.
    std::map<std::string, std::unique_ptr<RetryBudget>> m_budgets;
};

}
