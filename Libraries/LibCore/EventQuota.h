#pragma once

#include <LibCore/Event.h>
#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>

namespace Core {

/// Bounds how many lines of each kind of event are written in a second, so that one kind never crowds out the others.
/// Thread-safe.
class EventQuota {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Whether a line may be written, and what is to be said before it.
    struct Admission {
        bool isAdmitted { true };
        std::uint32_t leftOut { 0 }; ///< Lines of this kind that were left out in the seconds before, told once.
    };

    explicit EventQuota(std::uint32_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// Asks for one line. Precondition: `Time` does not go back by more than a second between calls.
    Admission admit(Event, Time);

    /// Returns all lines that were left out and not told yet, and forgets them.
    std::uint32_t takeLeftOut(Event);

private:
    struct Count {
        std::int64_t second { 0 };
        std::uint32_t lines { 0 };
        std::uint32_t leftOut { 0 };
    };

    static std::size_t positionOf(Event);

    std::uint32_t m_linesPerSecond;
    std::mutex m_mutex;
    std::array<Count, eventNames.size()> m_counts {};
};

}
