#pragma once

#include <LibCore/BootClock.h>

namespace Fleet {

/// A reading of the boot clock. Functions get it as an argument and never read it themselves.
using Time = Core::BootClock::time_point;

}
