#pragma once

#include <LibCore/BootClock.h>

namespace Fleet {

/// A boot clock timestamp. Functions in this library take it as an argument and never read the clock themselves.
using Time = Core::BootClock::time_point;

}
