#pragma once

#include <LibCore/BootClock.h>
#include <chrono>
#include <map>
#include <string>

namespace Duties {

/// A moment of true time, in milliseconds since 1970.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// What the daemons together take for true time. Wall clocks may be wrong and jump on some VMs, boot clocks run evenly on all but
/// begin anywhere: so each daemon knows how far every wall clock is ahead of its own boot clock, and goes by the median. Fewer
/// than half of the clocks cannot move it beyond what the others say. Pure and not thread-safe.
class FleetClock {
public:
    using BootTime = Core::BootClock::time_point;
    using Offset = std::chrono::milliseconds;

    /// Takes what this VM's wall clock says at `now`.
    void observeOwn(WallTime, BootTime now);

    /// Takes what a peer's wall clock said at `now`, the way of its beacon taken off.
    void observePeer(std::string const& peer, WallTime, BootTime now);

    /// Returns how far true time is ahead of this VM's boot clock; zero before anything was observed.
    Offset offset() const { return m_offset; }

    /// Returns true time.
    WallTime at(BootTime time) const;

    /// How many wall clocks the median is of.
    std::size_t clocks() const { return m_offsets.size(); }

private:
    struct Observation {
        Offset offset { 0 };
        BootTime at;
    };

    void observe(std::string const& name, WallTime, BootTime now);

    std::map<std::string, Observation> m_offsets; ///< By daemon; this one's name is empty.
    Offset m_offset { 0 };
};

}
