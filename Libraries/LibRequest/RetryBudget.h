#pragma once

#include <LibCore/Result.h>
#include <LibRequest/Ticket.h>
#include <cstdint>
#include <mutex>

namespace Request {

/// Bounds what a daemon's retries add to the load. Each first dispatch earns a share of a retry; over any span
/// retries are at most `ratio` x first dispatches + `burst` + `floorPerSecond` x seconds. Thread-safe.
class RetryBudget {
public:
    struct Settings {
        double ratio { 0.1 }; ///< Retries earned by one first dispatch.
        double burst { 20 }; ///< Most retries saved up; also what a new daemon starts with.
        double floorPerSecond { 0.2 }; ///< Retries a second earned without any load.
    };

    explicit RetryBudget(Settings);

    /// Takes other settings over, as when other daemons share an allowance. What was saved up stays, up to the new burst.
    void change(Settings);

    /// Notes a first dispatch.
    void earn();

    /// Takes one retry if there is one. Precondition: `now` does not go back by more than thread scheduling does.
    bool take(TimePoint now);

private:
    Settings m_settings;
    std::mutex m_mutex;
    double m_tokens { 0 };
    TimePoint m_refilledAt;
};

}
