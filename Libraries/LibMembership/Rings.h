#pragma once

#include <LibMembership/MemberTable.h>
#include <LibMembership/Settings.h>

namespace Membership {

/// Returns whom this daemon watches and tells: on each ring, the next present member after itself. A ring
/// orders the members of the availability zone, or all, by a hash of its own; so each member has one
/// watcher on each ring, and the rings together stay connected when some members fail. Where
/// some lead to the same member, further rings are taken. Each id appears once.
/// Thread-safe for a table that does not change.
std::vector<std::uint64_t> contactsOf(std::uint64_t ownId, std::uint32_t ownZone, MemberTable const&, Settings const&);

}
