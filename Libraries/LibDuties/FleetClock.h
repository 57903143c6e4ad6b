#pragma once

#include <LibCore/BootClock.h>
#include <chrono>
#include <map>
#include <string>

namespace Duties {

/// Fleet time, in milliseconds since the Unix epoch.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// The fleet's common estimate of wall time. Wall clocks may be wrong or jump on some VMs; boot clocks are steady but have
/// arbitrary epochs. Each daemon tracks the offset of every wall clock to its own boot clock and uses the median, so fewer than
/// half of the clocks cannot move it outside the range of the others. Performs no I/O. Not thread-safe.
class FleetClock {
public:
    using BootTime = Core::BootClock::time_point;
    using Offset = std::chrono::milliseconds;

    /// Records this VM's wall clock at `now`.
    void observeOwn(WallTime, BootTime now);

    /// Records a peer's wall clock at `now`, corrected for the delay of its beacon.
    void observePeer(std::string const& peer, WallTime, BootTime now);

    /// Returns the offset of fleet time to this VM's boot clock; zero before the first observation.
    Offset offset() const { return m_offset; }

    /// Converts boot time to fleet time.
    WallTime at(BootTime time) const;

    /// Number of wall clocks in the median.
    std::size_t clocks() const { return m_offsets.size(); }

private:
    struct Observation {
        Offset offset { 0 };
        BootTime at;
    };

    void observe(std::string const& name, WallTime, BootTime now);

    std::map<std::string, Observation> m_offsets; ///< Keyed by daemon; the local daemon has an empty name.
    Offset m_offset { 0 };
};

}
