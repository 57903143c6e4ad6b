#pragma once

#include <LibDaemon/FleetSnapshot.h>
#include <LibRouting/OutlierFinder.h>
#include <LibRouting/PathTable.h>
#include <LibRouting/PathVote.h>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Daemon {

/// Which targets this daemon can connect to, as its traffic threads find out. One per daemon. Thread-safe.
class PathBook {
public:
    /// Takes the listed targets.
    void setFleet(FleetSnapshot const&);

    /// Records evidence on the path to a target; evidence on a target that is not listed is ignored.
    void note(std::uint64_t targetKey, Routing::PathEvidence);

    /// Returns the counts of all services with evidence, for peers and operators.
    std::vector<Routing::PathCounts> counts() const;

    /// Returns the targets that enough of the live daemons cannot reach: `Routing::PathVote`. `settle` is as there.
    std::set<std::uint64_t> decideUnreachable(std::vector<Routing::PathReport> const&, std::size_t live, std::chrono::milliseconds settle);

    /// Records that targets answered a peer.
    void notePeerAnswers(std::vector<Routing::OutcomeCounts> const&);

private:
    void logIfChanged(std::string const& service, Routing::PathTable::Time now);

    mutable std::mutex m_mutex;
    Routing::PathTable m_table;
    Routing::PathVote m_vote;
    std::map<std::uint64_t, std::string> m_services; ///< By target key.
    std::map<std::string, bool> m_cutOff; ///< Whether this daemon was cut off when its state was last logged, by service.
};

}
