#pragma once

#include <LibRouting/PathTable.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Routing {

/// What one daemon reports of its paths to targets.
struct PathReport {
    std::vector<std::uint64_t> unreachable; ///< Keys of targets that it recently failed to reach.
    std::vector<PathCounts> counts; ///< Of the services that it has tried; no entry is no evidence.
};

/// Decides which targets no daemon should send to. A daemon that is cut off from a service says nothing of the service's targets,
/// because the fault may be in its own path, unless all that report are cut off from it. Performs no I/O. Not thread-safe.
class PathVote {
public:
    using Time = PathTable::Time;

    /// Votes needed against a target: the daemons that are not cut off divided by this, but at least `minVotes`.
    static constexpr std::size_t voteDivisor = 3;
    static constexpr std::size_t minVotes = 2;

    /// Records that a target answered some daemon, which outweighs votes that were cast before.
    void noteAnswered(std::uint64_t target, Time now);

    /// Returns the targets that enough daemons report as unreachable. `reports` are those of live daemons, this one included;
    /// `live` is the number of live daemons; `settle` is how long after the first vote answers to earlier requests may still be
    /// reported.
    std::set<std::uint64_t> decide(std::vector<PathReport> const& reports, std::size_t live, PathTable const&, std::map<std::uint64_t, std::string> const& services, std::chrono::milliseconds settle, Time now);

private:
    struct Votes {
        Time firstAt; ///< When the first of the votes that still stand was cast.
        Time answeredAt; ///< When a target with votes last answered some daemon.
    };

    std::map<std::uint64_t, Votes> m_votes; ///< By target key.
};

}
