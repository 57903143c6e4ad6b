#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace Routing {

/// Which target holds a shared part of prompts, without a word between daemons: rendezvous hashing over the targets
/// of the moment. When a target comes or goes, only the parts that it holds or will hold move.

/// The weight of a target for a part: the greatest has the part's home. Thread-safe.
std::uint64_t homeWeight(std::uint64_t part, std::uint64_t target);

/// Positions among targets; their number where there is no such home.
struct Homes {
    std::size_t first { 0 };
    std::size_t second { 0 }; ///< Where the part goes when its home is too busy, the same for all daemons.
};

/// Returns the homes of a part among the targets. Thread-safe.
Homes homesOf(std::uint64_t part, std::span<std::uint64_t const> targets);

}
