#pragma once

#include <LibCore/BootClock.h>
#include <chrono>
#include <optional>

namespace Authority {

/// A time of the boot clock, which includes suspension: a VM must not resume with a lease that another daemon holds by then.
/// Functions take the current time as an argument and never read the clock themselves.
using Time = Core::BootClock::time_point;
using Duration = Core::BootClock::duration;

/// Returns whether `interval` has passed since `last`, or there is no `last`. Thread-safe.
inline bool isDue(std::optional<Time> const& last, Time now, Duration interval)
{
    return !last || now - *last >= interval;
}

}
