#pragma once

#include <LibCore/Result.h>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/// The name and location of a daemon or target in the VM list.
struct LocatedNode {
    std::string name;
    std::string availabilityZone;
    std::string region;
};

/// A group of daemons and the targets that they share. All daemons are in one availability zone, and so are the
/// targets, except those whose own zone has no daemons.
struct Cell {
    std::string availabilityZone;
    std::vector<std::string> daemons;
    std::vector<std::string> targets;
};

/// Partitions daemons and targets into cells, so that no daemon has to watch every target. The result depends only
/// on the VM list: daemons with the same list agree without communicating. Daemons with different lists disagree on
/// few targets, which are then watched twice or late. Thread-safe once created.
class Cells {
public:
    /// Splits each availability zone's daemons into cells of about `daemonsPerCell`. Targets in a zone without
    /// daemons are assigned to the zones of their region, or to any zone if the region has no daemons. Fails with
    /// BadInput when `daemonsPerCell` is zero.
    static Core::Result<Cells> create(std::vector<LocatedNode> const& daemons, std::vector<LocatedNode> const& targets, std::size_t daemonsPerCell);

    std::vector<Cell> const& cells() const { return m_cells; }
    /// Returns the cell of a daemon or target, or nothing when it is unknown.
    Cell const* cellOfDaemon(std::string_view name) const;
    Cell const* cellOfTarget(std::string_view name) const;
    /// Returns the daemon that should watch the target: the one with the highest rendezvous weight among those of
    /// its cell that `isPresent` accepts. Empty when there is none.
    std::string watcherOf(std::string_view target, std::function<bool(std::string const&)> const& isPresent) const;

private:
    std::vector<Cell> m_cells;
    std::map<std::string, std::size_t, std::less<>> m_cellOfDaemon;
    std::map<std::string, std::size_t, std::less<>> m_cellOfTarget;
};

}
