#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace Routing {

/// Assigns shared parts of prompts to targets without coordination between daemons, by rendezvous hashing over the
/// current targets. When a target is added or removed, only the parts assigned to it move.

/// Returns the weight of a target for a part: the target with the greatest weight is the part's home. Thread-safe.
std::uint64_t homeWeight(std::uint64_t part, std::uint64_t target);

/// Indices into the targets; equal to the number of targets where there is no such home.
struct Homes {
    std::size_t first { 0 };
    std::size_t second { 0 }; ///< Used when the first home is too busy; the same at all daemons.
};

/// Returns the homes of a part among the targets. Thread-safe.
Homes homesOf(std::uint64_t part, std::span<std::uint64_t const> targets);

}
