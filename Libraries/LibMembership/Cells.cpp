#include <LibMembership/Cells.h>
#include <algorithm>
#include <xxhash.h>

namespace Membership {

namespace {

/// Returns the weight of `place` for `item` in rendezvous hashing. An item is assigned to the place with the greatest weight.
std::uint64_t rendezvousWeight(std::string_view item, std::string_view place)
{
    return XXH3_64bits_withSeed(item.data(), item.size(), XXH3_64bits(place.data(), place.size()));
}

std::string cellName(std::string const& zone, std::size_t index)
{
    return zone + '/' + std::to_string(index);
}

std::vector<LocatedNode> sortedByName(std::vector<LocatedNode> nodes)
{
    std::ranges::sort(nodes, {}, &LocatedNode::name);
    return nodes;
}

/// The region of an availability zone and the indices of its cells.
struct ZoneCells {
    std::string region;
    std::vector<std::size_t> cells;
};

/// Returns the zone with daemons that the target is assigned to.
std::string zoneFor(LocatedNode const& target, std::map<std::string, ZoneCells> const& zones)
{
    if (zones.contains(target.availabilityZone))
        return target.availabilityZone;
    bool const hasRegion = std::ranges::any_of(zones, [&target](std::pair<std::string const, ZoneCells> const& zone) { return zone.second.region == target.region; });
    std::string best;
    for (std::pair<std::string const, ZoneCells> const& zone : zones) {
        if (hasRegion && zone.second.region != target.region)
            continue;
        if (best.empty() || rendezvousWeight(target.name, zone.first) > rendezvousWeight(target.name, best))
            best = zone.first;
    }
    return best;
}

}

Core::Result<Cells> Cells::create(std::vector<LocatedNode> const& daemons, std::vector<LocatedNode> const& targets, std::size_t daemonsPerCell)
{
    if (daemonsPerCell == 0)
        return Core::fail(Core::ErrorCode::BadInput, "The number of daemons in a cell is zero.");
    std::map<std::string, std::vector<LocatedNode>> daemonsOfZone;
    for (LocatedNode const& daemon : sortedByName(daemons))
        daemonsOfZone[daemon.availabilityZone].push_back(daemon);

    Cells result;
    std::map<std::string, ZoneCells> zones;
    for (std::pair<std::string const, std::vector<LocatedNode>> const& zone : daemonsOfZone) {
        std::size_t const count = std::max<std::size_t>(1, (zone.second.size() + daemonsPerCell / 2) / daemonsPerCell);
        std::size_t const capacity = (zone.second.size() + count - 1) / count;
        ZoneCells& own = zones[zone.first];
        own.region = zone.second.front().region;
        for (std::size_t i = 0; i < count; ++i) {
            own.cells.push_back(result.m_cells.size());
            result.m_cells.push_back({ zone.first, {}, {} });
        }
        // Rendezvous hashing with bounded loads keeps the cells equal in size and moves few daemons when one is added or removed.
        for (LocatedNode const& daemon : zone.second) {
            std::size_t best = count;
            for (std::size_t i = 0; i < count; ++i) {
                bool const isFull = result.m_cells[own.cells[i]].daemons.size() >= capacity;
                if (!isFull && (best == count || rendezvousWeight(daemon.name, cellName(zone.first, i)) > rendezvousWeight(daemon.name, cellName(zone.first, best))))
                    best = i;
            }
            result.m_cells[own.cells[best]].daemons.push_back(daemon.name);
            result.m_cellOfDaemon[daemon.name] = own.cells[best];
        }
    }
    if (zones.empty())
        return result;
    for (LocatedNode const& target : sortedByName(targets)) {
        std::string const zone = zoneFor(target, zones);
        std::vector<std::size_t> const& cells = zones[zone].cells;
        std::size_t best = 0;
        for (std::size_t i = 1; i < cells.size(); ++i) {
            if (rendezvousWeight(target.name, cellName(zone, i)) > rendezvousWeight(target.name, cellName(zone, best)))
                best = i;
        }
        result.m_cells[cells[best]].targets.push_back(target.name);
        result.m_cellOfTarget[target.name] = cells[best];
    }
    return result;
}

Cell const* Cells::cellOfDaemon(std::string_view name) const
{
    auto const it = m_cellOfDaemon.find(name);
    return it == m_cellOfDaemon.end() ? nullptr : &m_cells[it->second];
}

Cell const* Cells::cellOfTarget(std::string_view name) const
{
    auto const it = m_cellOfTarget.find(name);
    return it == m_cellOfTarget.end() ? nullptr : &m_cells[it->second];
}

std::string Cells::watcherOf(std::string_view target, std::function<bool(std::string const&)> const& isPresent) const
{
    Cell const* const cell = cellOfTarget(target);
    std::string best;
    if (!cell)
        return best;
    for (std::string const& daemon : cell->daemons) {
        if (isPresent(daemon) && (best.empty() || rendezvousWeight(target, daemon) > rendezvousWeight(target, best)))
            best = daemon;
    }
    return best;
}

}
