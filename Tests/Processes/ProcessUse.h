#pragma once

#include "Fleet.h"

#include <cstddef>
#include <sys/types.h>

namespace Processes {

/// Returns the resident memory of a process, in bytes; 0 when it is gone. Thread-safe.
std::size_t residentBytes(pid_t);

/// Returns how many descriptors a process has open; 0 when it is gone. Thread-safe.
std::size_t openDescriptors(pid_t);

/// Returns the bytes that all connections of a local port have received and that its process has not read. Thread-safe.
std::size_t receivedBytes(Endpoint const&);

}
