#pragma once

#include <chrono>

namespace Daemon {

/// When a leaving daemon exits, and until when callers with an older list of daemons may still connect.
struct LeaveTimes {
    using Time = std::chrono::steady_clock::time_point;

    Time holdEnds;
    Time processEnds; ///< `Time::max()`: the process exits after its last request.

    /// Returns whether to accept a request with this timeout and expected duration (0 if unknown). A request that would be
    /// interrupted by the exit is rejected at once as not run, so that another daemon can serve it. After `holdEnds`, no
    /// caller should still connect, so that the estimate is ignored and the whole timeout must fit. Thread-safe.
    bool accepts(std::chrono::duration<double> timeout, std::chrono::duration<double> expected, Time now) const
    {
        if (processEnds == Time::max())
            return true;
        std::chrono::duration<double> left = processEnds - now;
        return timeout <= left || (now < holdEnds && expected <= left);
    }

    /// Returns whether an accepted request that has so much time left may still be sent to a target. One that has waited until the
    /// exit would interrupt it has not run, and another daemon can serve it. Thread-safe.
    bool maySend(std::chrono::duration<double> timeLeft, std::chrono::duration<double> expected, Time now) const
    {
        bool fits = expected.count() > 0 && processEnds != Time::max() && expected <= processEnds - now;
        return fits || accepts(timeLeft, expected, now);
    }
};

}
