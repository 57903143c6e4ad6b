#pragma once

#include <LibMembership/MemberTable.h>
#include <LibMembership/Settings.h>

namespace Membership {

/// Returns the members that this daemon probes and pushes to: its present successor on each ring. A ring orders
/// the members of the availability zone, or all members, by a hash seeded with the ring. So each member is
/// probed by one predecessor on each ring, and the rings together stay connected when some members fail. If
/// several rings have the same successor, further rings are used. Each ID appears once.
/// Thread-safe for a table that does not change.
std::vector<std::uint64_t> neighboursOf(std::uint64_t ownId, std::uint32_t ownZone, MemberTable const&, Settings const&);

}
