#pragma once

#include <LibAuthority/Time.h>
#include <cstddef>

namespace Authority {

/// Rate limit for loads from the weight store: at most `burst` at once and `perMinute` on average. Does no I/O and is not
/// thread-safe.
class TokenBucket {
public:
    /// Creates a full bucket at `now`. Preconditions: `perMinute` >= 0; `burst` >= 1.
    TokenBucket(double perMinute, double burst, Time now);

    /// Consumes one token if one is available.
    bool tryConsume(Time now);

    /// Returns a token whose load was not ordered after all.
    void refund(Time now);

    /// Changes the rate from `now` on, as when this holder's share changes. Precondition: `perMinute` >= 0.
    void setRate(double perMinute, Time now);

    /// Returns the time until the next token; `Duration::max()` when the rate is 0.
    Duration untilNext(Time now) const;

private:
    void refill(Time now);
    double tokensAt(Time now) const;

    double m_perMinute;
    double m_burst;
    double m_tokens;
    Time m_refilledAt;
};

/// Returns a pool's share of the loads per minute that the weight store allows, proportional to its number of engines. So
/// the holders of all pools stay within the budget without communicating. Thread-safe.
double loadBudgetShare(double perMinute, std::size_t poolEngines, std::size_t allEngines);

}
