#pragma once

#include <LibCore/Result.h>
#include <LibDaemon/FleetSnapshot.h>
#include <LibDaemon/Work.h>
#include <cstdint>
#include <vector>

namespace Daemon {

/// Returns the indices of the targets that serve the requested model or service and that the configured routes allow.
/// Errors (not run): NotFound if no target serves it, Unavailable if it is configured but has no eligible target now,
/// NotAllowed if no route permits the targets that serve it. Thread-safe.
Core::Result<std::vector<std::uint32_t>> eligibleTargets(FleetSnapshot const&, Work const&);

}
