#pragma once

#include <LibFleet/Time.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Fleet {

/// Targets that other daemons have ordered to change their role, as these last said: a target under such an order refuses new
/// work until it is done. Pure and not thread-safe.
class ChangingTargets {
public:
    /// Takes the keys of all targets that a peer changes now, in place of what it said before. They count for `lifetime`: longer
    /// than the time between two words of the peer, also where some are lost. Returns whether the targets are others than before.
    bool hear(std::string const& peer, std::vector<std::uint64_t> const& targets, Time now, std::chrono::milliseconds lifetime);

    /// Notes that a target was seen in a new role. Returns whether it was under change.
    bool settle(std::uint64_t target) { return m_targets.erase(target) > 0; }

    /// Forgets what was not repeated in time. Returns whether there was any.
    bool expire(Time now);

    bool contains(std::uint64_t target) const { return m_targets.contains(target); }

private:
    struct Change {
        std::string peer;
        Time until;
    };

    std::map<std::uint64_t, Change> m_targets; ///< By key.
};

}
