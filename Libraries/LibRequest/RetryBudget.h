#pragma once

#include <LibCore/Result.h>
#include <LibRequest/Ticket.h>
#include <cstdint>
#include <mutex>

namespace Request {

/// Limits the load that a daemon's retries add, counted in sends to targets: a retry whose prompt is recomputed counts
/// as two. Each first dispatch earns a share of a send; over any span they are at most `ratio` x first dispatches + `burst` +
/// `floorPerSecond` x seconds. Thread-safe.
class RetryBudget {
public:
    struct Settings {
        double ratio { 0.1 }; ///< Retries earned by one first dispatch.
        double burst { 20 }; ///< Most sends that can be saved; also the initial balance, unless `startsEmpty`.
        double floorPerSecond { 0.2 }; ///< Sends per second earned without any load.
        /// Starts with a balance of 0. For a shared allowance: a daemon that was killed and restarted may have just spent
        /// its share.
        bool startsEmpty { false };
    };

    /// `refillStart`: when the floor starts to accrue; by default, at the first `take`.
    explicit RetryBudget(Settings, TimePoint refillStart = {});

    /// Applies new settings, such as when the number of daemons that share an allowance changes. The balance is kept, up to
    /// the new burst.
    void change(Settings);

    /// Credits a first dispatch.
    void earn();

    /// Takes `n` sends to targets from the budget if that many are left, otherwise none. Precondition: `now` does not go
    /// back by more than thread scheduling does.
    bool take(TimePoint now, std::uint32_t n = 1);

private:
    Settings m_settings;
    std::mutex m_mutex;
    double m_tokens { 0 };
    TimePoint m_refilledAt;
};

}
