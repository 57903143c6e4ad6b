#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace Routing {

/// Which target holds a shared part of prompts, without a word between daemons: rendezvous hashing over the targets
/// of the moment. When a target comes or goes, only the parts that it holds or will hold move.

/// The weight of a target for a part: the greatest has the part's home. Thread-safe.
std::uint64_t homeWeight(std::uint64_t part, std::uint64_t target);

/// Returns the position of the part's home among the targets, or `targets.size()` when there are none. Thread-safe.
std::size_t homeOf(std::uint64_t part, std::span<std::uint64_t const> targets);

}
