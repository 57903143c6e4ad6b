#pragma once

#include <LibCore/Result.h>
#include <LibDaemon/FleetSnapshot.h>
#include <LibDaemon/Work.h>
#include <cstdint>
#include <vector>

namespace Daemon {

/// Returns the positions of the targets that serve what the request names and that the operators' routes allow it.
/// Errors (not run): NotFound when no target serves it, NotAllowed when no route lets it go to one that does.
/// Thread-safe.
Core::Result<std::vector<std::uint32_t>> eligibleTargets(FleetSnapshot const&, Work const&);

}
