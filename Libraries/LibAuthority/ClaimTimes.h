#pragma once

#include <LibCore/BootClock.h>
#include <cstdint>
#include <deque>
#include <optional>

namespace Authority {

/// Remembers by when claims of leases are known to have been made, from what their holders report of themselves. The claims of all
/// leases share one topic, so that a claim is no younger than any report of a later offset. Does no I/O and is not thread-safe.
class ClaimTimes {
public:
    using Time = Core::BootClock::time_point;

    /// Records that a holder has reported the offset after its newest claim; 0: it has none.
    void note(std::uint64_t next, Time now);

    /// Returns a time by which the claim at this offset had been made; nothing: no report says so.
    std::optional<Time> madeBy(std::uint64_t offset) const;

private:
    struct Report {
        std::uint64_t next { 0 };
        Time at;
    };

    /// Older claims are ascribed to the oldest report that is kept, which only makes them look younger.
    static constexpr std::size_t maxReports = 64;

    std::deque<Report> m_reports; ///< By offset and by time.
};

}
