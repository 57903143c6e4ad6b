#pragma once

#include <LibFleet/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Fleet {

/// Targets that have said in their answers that they leave, to this daemon or to a peer, whatever the store lists of them: its
/// record may come many seconds later. Pure and not thread-safe.
class LeavingTargets {
public:
    /// Notes that a target has said so to this daemon itself. Returns whether that is news.
    bool noteOwn(std::uint64_t target);

    /// Notes that a peer says so of targets. Returns whether that is news of any.
    bool hear(std::vector<std::uint64_t> const& targets);

    bool contains(std::uint64_t target) const { return m_targets.contains(target); }

    /// Returns the listed ones that have said so to this daemon, for its peers.
    std::vector<std::uint64_t> own() const;

    /// Forgets those that have not been listed for long. An entry may lapse and come back with the same incarnation.
    void keepListed(std::set<std::uint64_t> const& listed, Time now);

private:
    struct Known {
        bool isOwn { false };
        std::optional<Time> unlistedSince;
    };

    std::map<std::uint64_t, Known> m_targets;
};

}
