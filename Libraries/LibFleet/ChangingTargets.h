#pragma once

#include <LibFleet/Time.h>
#include <LibRouting/TargetRole.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fleet {

/// Targets that other daemons have ordered to change role, according to their latest beacons. Such a target refuses new work
/// until the change is complete. Does no I/O and is not thread-safe.
class ChangingTargets {
public:
    /// Replaces the set of target keys whose roles a peer is currently changing. Entries expire after `lifetime`, which must
    /// exceed the peer's reporting interval even when some reports are lost. Returns whether the set of targets changed.
    bool hear(std::string const& peer, std::vector<std::uint64_t> const& targets, Time now, std::chrono::milliseconds lifetime) { return hear(peer, targets, {}, now, lifetime); }

    /// As above, with the new roles by the target's key.
    bool hear(std::string const& peer, std::vector<std::uint64_t> const& targets, std::map<std::uint64_t, Routing::TargetRole> const& roles, Time now, std::chrono::milliseconds lifetime);

    /// Records that a target was seen in a new role. Returns whether a role change was pending.
    bool settle(std::uint64_t target) { return m_targets.erase(target) > 0; }

    /// Removes entries that were not refreshed in time. Returns whether any were removed.
    bool expire(Time now);

    bool contains(std::uint64_t target) const { return m_targets.contains(target); }

    /// Returns the role that a target is changing to; empty: it is not changing, or its peer has not reported the role.
    std::optional<Routing::TargetRole> roleOf(std::uint64_t target) const;

private:
    struct Change {
        std::string peer;
        Time until;
        std::optional<Routing::TargetRole> role;
    };

    std::map<std::uint64_t, Change> m_targets; ///< By key.
};

}
