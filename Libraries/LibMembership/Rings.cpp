#include <LibMembership/Rings.h>
#include <algorithm>
#include <functional>
#include <xxhash.h>

namespace Membership {

namespace {

constexpr std::size_t maxExtraRings = 8;

std::uint64_t positionOf(std::uint64_t id, std::uint64_t ring)
{
    return XXH3_64bits_withSeed(&id, sizeof(id), ring);
}

/// Returns the successor on the ring among the present members that `isOn` accepts, or 0 when there is none.
std::uint64_t successorOn(std::uint64_t ring, std::uint64_t ownId, MemberTable const& table, std::function<bool(Member const&)> const& isOn)
{
    std::uint64_t const own = positionOf(ownId, ring);
    std::uint64_t best = 0;
    std::uint64_t bestDistance = 0;
    for (std::pair<std::uint64_t const, Member> const& entry : table.members()) {
        if (!entry.second.isPresent() || !entry.second.hasProfile() || !isOn(entry.second))
            continue;
        std::uint64_t const distance = positionOf(entry.first, ring) - own; // Wraps around the ring.
        if (best == 0 || distance < bestDistance) {
            best = entry.first;
            bestDistance = distance;
        }
    }
    return best;
}

}

std::vector<std::uint64_t> neighboursOf(std::uint64_t ownId, std::uint32_t ownZone, MemberTable const& table, Settings const& settings)
{
    std::vector<std::uint64_t> neighbours;
    std::size_t const wanted = settings.zoneRings + settings.globalRings;
    // In a small fleet several rings have the same successor; further rings then fill up the neighbours.
    std::size_t const rings = wanted + maxExtraRings;
    for (std::size_t ring = 0; ring < rings && (ring < wanted || neighbours.size() < wanted); ++ring) {
        bool const isZoneRing = ring < settings.zoneRings;
        std::uint64_t const next = successorOn(ring, ownId, table, [&](Member const& member) { return !isZoneRing || member.zoneId == ownZone; });
        if (next != 0 && std::ranges::find(neighbours, next) == neighbours.end())
            neighbours.push_back(next);
    }
    return neighbours;
}

}
