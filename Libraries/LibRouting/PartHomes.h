#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace Routing {

/// How often requests of one daemon have asked for a shared part of prompts since its last report.
struct PartUse {
    std::uint64_t part { 0 }; ///< As in `RequestShape::prefixHash`.
    std::uint32_t uses { 0 };

    bool operator==(PartUse const&) const = default;
};

/// A target that may be the home of shared parts.
struct HomeTarget {
    std::uint64_t key { 0 };
    double speed { 1 }; ///< Prompts per second relative to the others; a faster target is home to more parts.
};

/// Counts over all daemons how often shared parts of prompts are asked for, and decides how many homes each one needs: as many as keep
/// its prompts from waiting for each other. Performs no I/O. Not thread-safe.
class PartHomes {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Counts a request of this daemon.
    void note(std::uint64_t part, Time now);

    /// Returns the uses counted since the last call, to be sent to the peers: at most `limit` parts, those with most uses first.
    std::vector<PartUse> takeUnreported(std::size_t limit);

    /// Adds the uses that a peer has counted.
    void merge(std::vector<PartUse> const&, Time now);

    /// Returns how many homes a part needs where one of its prompts keeps a target busy for `promptSeconds`; 1 at least.
    /// Daemons may differ by one home for a moment, which costs a computation of the part.
    std::size_t homesNeeded(std::uint64_t part, double promptSeconds, Time now) const;
};

/// Returns the indices of a part's homes among the targets, the preferred one first, by weighted rendezvous hashing: the same at all
/// daemons that know the same targets and speeds, and when a speed changes a little, few parts move. Thread-safe.
/// Precondition: speeds are positive and finite.
std::vector<std::size_t> weightedHomesOf(std::uint64_t part, std::span<HomeTarget const> targets, std::size_t count);

}
