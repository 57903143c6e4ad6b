#pragma once

#include <LibRequest/RetryBudget.h>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Request {

/// An allowance of retries for each service that all daemons of a site share.
struct SharedAllowance {
    double ratio { 0.1 }; ///< Retries for each request to the service.
    double extra { 0 }; ///< Retries beyond that in a window, for all daemons together.
    std::chrono::milliseconds window { 10'000 };
};

/// The retry budgets of one daemon: for each service its part of an allowance that all daemons share. Each daemon's
/// requests earn its own part of the ratio; the extra is divided by the number of daemons. Thread-safe.
class RetryBudgets {
public:
    explicit RetryBudgets(SharedAllowance const&);

    /// Returns the budget of a service. It stays valid for as long as this object lives.
    RetryBudget& of(std::string const& service);

    /// Takes another allowance over.
    void change(SharedAllowance const&);

    /// Says how many daemons share the allowance, this one included. Precondition: at least 1.
    void setDaemons(std::size_t);

private:
    RetryBudget::Settings settings() const;
    void changeAll();

    SharedAllowance m_allowance;
    std::mutex m_mutex;
    std::size_t m_daemons { 1 };
    std::map<std::string, std::unique_ptr<RetryBudget>> m_budgets;
};

}
