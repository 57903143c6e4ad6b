#pragma once

#include <LibDuties/Usage.h>
#include <compare>
#include <optional>

namespace Duties {

/// One process (incarnation) of a daemon.
struct DaemonProcess {
    std::string daemon;
    std::uint64_t incarnation { 0 };

    auto operator<=>(DaemonProcess const&) const = default;
};

/// The usage counts of all daemon processes, from their statements. Counts of a window only grow, so the latest statement of a
/// process is complete, and a process that is gone keeps its last one. Performs no I/O. Not thread-safe.
class UsageBook {
public:
    /// Merges a statement of a process. Counts never decrease, so older statements arriving late are harmless.
    void merge(DaemonProcess const&, UsageStatement const&);

    /// Returns the sum of all processes' counts in a window.
    OrganisationCounts total(WindowNumber) const;

    /// Whether a process has closed a window.
    bool hasClosed(DaemonProcess const&, WindowNumber) const;

    /// Returns the first window with counts; nothing: there is none.
    std::optional<WindowNumber> first() const;

    /// Removes windows before `window`, and processes without any other data.
    void forgetBefore(WindowNumber window);

private:
    struct ProcessUsage {
        std::map<WindowNumber, OrganisationCounts> windows;
        WindowNumber closedBefore { 0 };
    };

    std::map<DaemonProcess, ProcessUsage> m_processes;
};

}
