#pragma once

#include <LibAuthority/Time.h>
#include <cstddef>

namespace Authority {

/// A budget of loads at the weight store: at most `burst` at once and `perMinute` over time. Pure and not
/// thread-safe.
class TokenBucket {
public:
    /// Starts full at `now`. Preconditions: `perMinute` >= 0; `burst` >= 1.
    TokenBucket(double perMinute, double burst, Time now);

    /// Takes one token if there is one.
    bool tryTake(Time now);

    /// Puts back a token whose load was not ordered after all.
    void giveBack(Time now);

    /// Changes the rate from `now` on, as when this holder's share changes. Precondition: `perMinute` >= 0.
    void setRate(double perMinute, Time now);

    /// Returns how long until the next token; `Duration::max()` when the rate is 0.
    Duration untilNext(Time now) const;

private:
    void refill(Time now);
    double tokensAt(Time now) const;

    double m_perMinute;
    double m_burst;
    double m_tokens;
    Time m_refilledAt;
};

/// Returns a pool's share of the loads a minute that the weight store allows: by its part of all engines, so
/// that the holders of all pools keep within the budget without speaking to each other. Thread-safe.
double weightShare(double perMinute, std::size_t poolEngines, std::size_t allEngines);

}
