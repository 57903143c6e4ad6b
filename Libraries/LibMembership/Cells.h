#pragma once

#include <LibCore/Result.h>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/// A daemon or a target, as the VM list has it.
struct Placed {
    std::string name;
    std::string availabilityZone;
    std::string region;
};

/// Some daemons and the targets that they share, all of one availability zone where it has daemons.
struct Cell {
    std::string availabilityZone;
    std::vector<std::string> daemons;
    std::vector<std::string> targets;
};

/// Splits daemons and targets into cells, so that no daemon follows every target. A pure function of the VM
/// list: daemons that have read the same list agree without a word, and those that have not disagree about few
/// targets, at the cost of watching them twice or late. Thread-safe once created.
class Cells {
public:
    /// Splits each availability zone's daemons into cells of about `daemonsPerCell`. Targets of a zone without
    /// daemons go to the zones of their region, or else to any. Fails with BadInput when `daemonsPerCell` is zero.
    static Core::Result<Cells> create(std::vector<Placed> const& daemons, std::vector<Placed> const& targets, std::size_t daemonsPerCell);

    std::vector<Cell> const& cells() const { return m_cells; }
    /// Returns the cell of a daemon or target, or nothing when it is unknown.
    Cell const* cellOfDaemon(std::string_view name) const;
    Cell const* cellOfTarget(std::string_view name) const;
    /// Returns the daemon that should watch the target: the first of its cell's daemons, in an order of the
    /// target's own, that `isPresent` accepts. Empty when there is none.
    std::string watcherOf(std::string_view target, std::function<bool(std::string const&)> const& isPresent) const;

private:
    std::vector<Cell> m_cells;
    std::map<std::string, std::size_t, std::less<>> m_cellOfDaemon;
    std::map<std::string, std::size_t, std::less<>> m_cellOfTarget;
};

}
