#pragma once

#include <exception>

namespace Core {

/// Completion handler of coroutines that nobody awaits: logs the exception that ended one, if any did, and goes on. Thread-safe.
void logUncaughtException(std::exception_ptr);

}
