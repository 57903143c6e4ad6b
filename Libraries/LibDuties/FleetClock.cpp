#include <LibDuties/FleetClock.h>
#include <algorithm>
#include <utility>
#include <vector>

namespace Duties {

namespace {

// Boot clocks drift by less than a millisecond in this time, so a partitioned daemon keeps the fleet's time.
constexpr std::chrono::minutes observationLifetime { 2 };

std::chrono::milliseconds sinceBoot(FleetClock::BootTime time)
{
    return std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch());
}

}

void FleetClock::observeOwn(WallTime wall, BootTime now)
{
    observe(std::string(), wall, now);
}

void FleetClock::observePeer(std::string const& peer, WallTime wall, BootTime now)
{
    observe(peer, wall, now);
}

void FleetClock::observe(std::string const& name, WallTime wall, BootTime now)
{
    m_offsets[name] = { wall.time_since_epoch() - sinceBoot(now), now };
    std::erase_if(m_offsets, [now](std::pair<std::string const, Observation> const& it) { return now - it.second.at > observationLifetime; });
    std::vector<Offset> offsets;
    for (std::pair<std::string const, Observation> const& it : m_offsets)
        offsets.push_back(it.second.offset);
    std::vector<Offset>::iterator median = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
    std::nth_element(offsets.begin(), median, offsets.end());
    m_offset = *median;
}

WallTime FleetClock::at(BootTime time) const
{
    return WallTime(sinceBoot(time) + m_offset);
}

}
