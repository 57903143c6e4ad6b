#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace Core {

/// The kernel's CLOCK_BOOTTIME: monotonic like the steady clock, but it also counts the time for which the VM was
/// suspended. Whatever expires in the view of others (leases, the age of a belief, the time that a caller has left)
/// is reckoned by it. `now` is thread-safe and never fails on Linux 2.6.39 or newer.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;

    // NOLINTNEXTLINE(readability-identifier-naming): the standard's requirements on clocks name it.
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        std::timespec time {};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

}
