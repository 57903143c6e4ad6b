#pragma once

#include <LibModel/Job.h>

namespace Model {

/// A number of seconds as virtual time.
inline Time::duration duration(double seconds)
{
    return std::chrono::duration_cast<Time::duration>(std::chrono::duration<double>(seconds));
}

/// Seconds since the start of a run.
inline double secondsOf(Time time)
{
    return std::chrono::duration<double>(time.time_since_epoch()).count();
}

}
