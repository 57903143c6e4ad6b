#pragma once

#include <chrono>

namespace Authority {

/// A reading of the monotonic clock. Functions get it as an argument and never read it themselves.
using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

}
