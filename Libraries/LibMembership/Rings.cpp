#include <LibMembership/Rings.h>
#include <algorithm>
#include <functional>
#include <xxhash.h>

namespace Membership {

namespace {

constexpr std::size_t extraRings = 8;

std::uint64_t positionOf(std::uint64_t id, std::uint64_t ring)
{
    return XXH3_64bits_withSeed(&id, sizeof(id), ring);
}

/// Returns the next on the ring among those that `isOn` accepts, or 0 when there is none.
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

std::vector<std::uint64_t> contactsOf(std::uint64_t ownId, std::uint32_t ownZone, MemberTable const& table, Settings const& settings)
{
    std::vector<std::uint64_t> contacts;
    std::size_t const wanted = settings.zoneRings + settings.globalRings;
    // Where several rings lead to the same member, as in a small fleet, further ones are taken.
    std::size_t const rings = wanted + extraRings;
    for (std::size_t ring = 0; ring < rings && (ring < wanted || contacts.size() < wanted); ++ring) {
        bool const isZoneRing = ring < settings.zoneRings;
        std::uint64_t const next = successorOn(ring, ownId, table, [&](Member const& member) { return !isZoneRing || member.zoneId == ownZone; });
        if (next != 0 && std::ranges::find(contacts, next) == contacts.end())
            contacts.push_back(next);
    }
    return contacts;
}

}
