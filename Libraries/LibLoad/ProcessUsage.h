#pragma once

#include <LibCore/Result.h>
#include <chrono>
#include <cstdint>

namespace Load {

/// What a process has used, as the kernel tells (proc(5)).
struct ProcessUsage {
    std::chrono::microseconds processorTime { 0 };
    std::uint64_t residentBytes { 0 };

    /// Reads the usage of a process on this machine. Error: NotFound. Thread-safe.
    static Core::Result<ProcessUsage> read(std::uint64_t pid);
};

}
