#pragma once

#include <LibCore/BootClock.h>
#include <chrono>
#include <optional>

namespace Authority {

/// A reading of the boot clock: a VM that is suspended must not wake with a lease that others hold by then. Functions get it
/// as an argument and never read it themselves.
using Time = Core::BootClock::time_point;
using Duration = Core::BootClock::duration;

/// Returns whether `interval` has passed since `last`, or there was no last time. Thread-safe.
inline bool isDue(std::optional<Time> const& last, Time now, Duration interval)
{
    return !last || now - *last >= interval;
}

}
