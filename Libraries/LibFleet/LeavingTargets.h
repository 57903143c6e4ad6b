#pragma once

#include <LibFleet/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Fleet {

/// Targets that have announced in a response, to this daemon or to a peer, that they are leaving. This overrides the store, whose
/// record may follow many seconds later. Does no I/O and is not thread-safe.
class LeavingTargets {
public:
    /// Records an announcement made to this daemon. Returns whether it is new.
    bool noteOwn(std::uint64_t target);

    /// Records announcements relayed by a peer. Returns whether any is new.
    bool hear(std::vector<std::uint64_t> const& targets);

    bool contains(std::uint64_t target) const { return m_targets.contains(target); }

    /// Returns the listed targets that announced it to this daemon, to be relayed to peers.
    std::vector<std::uint64_t> own() const;

    /// Removes targets that have been unlisted for a long time; an entry may lapse and reappear with the same incarnation.
    void keepListed(std::set<std::uint64_t> const& listed, Time now);

private:
    struct Known {
        bool isOwn { false };
        std::optional<Time> unlistedSince;
    };

    std::map<std::uint64_t, Known> m_targets;
};

}
