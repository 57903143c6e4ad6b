#pragma once

#include <LibHttp/Server.h>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Daemon {

/// What a process may use.
struct ProcessLimits {
    std::uint64_t memoryBytes { 0 };
    std::size_t descriptors { 0 };

    /// Reads what the kernel says of this machine and process; what it does not tell counts as without a limit. `memoryMegabytes`:
    /// instead of the machine's memory, if it is not 0.
    static ProcessLimits read(std::uint64_t memoryMegabytes);
};

/// How a daemon's memory and descriptors are divided. What is left is for the process itself, its view of the fleet, targets, peers and
/// the store. docs/design/memory.md gives the reasons. Thread-safe.
struct MemoryPlan {
    std::uint64_t requestBytes { 0 }; ///< For requests that arrive, wait or run.
    std::uint64_t answerBytes { 0 }; ///< For answers that callers have not read yet.
    std::size_t receiveBuffer { 0 }; ///< Bytes that the kernel takes of a caller's connection before they are read, about.
    std::size_t callerConnections { 0 }; ///< Of all traffic threads.
    std::size_t directoryConnections { 0 };
    std::size_t statusConnections { 0 }; ///< Of each listener for operators, metrics and the platform's checks.

    /// `connectionLimit`: most connections that the settings allow all traffic threads together.
    static MemoryPlan of(ProcessLimits const&, std::size_t connectionLimit);

    /// Returns the settings of a listener whose requests have no bodies.
    Http::ServerSettings entrySettings(std::size_t connections) const;
};

/// Writes the log's line on a request that a listener refused for want of memory. Thread-safe.
void logMemoryRefusal(Http::MemoryRefusal const&, std::string_view listener);

}
