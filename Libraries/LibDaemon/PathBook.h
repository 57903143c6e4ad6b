#pragma once

#include <LibDaemon/FleetSnapshot.h>
#include <LibRouting/OutlierFinder.h>
#include <LibRouting/PathTable.h>
#include <LibRouting/PathVote.h>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Daemon {

/// A daemon that may serve a request in place of this one.
struct RelayPeer {
    std::string name;
    boost::asio::ip::tcp::endpoint address; ///< Where it serves callers.
    bool isInSameZone { false };
    std::vector<Routing::PathCounts> paths; ///< As it reported; a service without an entry is one that it has not tried lately.
    bool keepsReleases { false }; ///< It goes on with a stream at the release that began it only.
};

/// What a request asks of the peer that serves it in place of this daemon.
struct RelayNeed {
    std::vector<std::string> excluded; ///< Names of peers already tried.
    bool isRetry { false }; ///< A connection for this request has failed, so that one failed target is enough to ask a peer.
    bool goesOn { false }; ///< It goes on with a stream that has begun.
};

/// Which targets this daemon can connect to, as its traffic threads find out, and which peers serve the requests of services that it
/// is cut off from. One per daemon. Thread-safe.
class PathBook {
public:
    /// Precondition: `seed` differs between daemons, so that they choose different peers.
    explicit PathBook(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Takes the listed targets.
    void setFleet(FleetSnapshot const&);

    /// Records evidence on the path to a target; evidence on a target that is not listed is ignored.
    void note(std::uint64_t targetKey, Routing::PathEvidence);

    /// Returns the counts of all services with evidence, for peers and operators.
    std::vector<Routing::PathCounts> counts() const;

    /// Whether this daemon reaches few of the targets of some service that it tried lately, so that peers are needed.
    bool isImpaired() const;

    /// Whether this daemon is cut off from any service.
    bool isCutOff() const;

    /// Whether a daemon that reported these counts is cut off from any service.
    bool isCutOff(std::vector<Routing::PathCounts> const&) const;

    /// Whether the target's service is one that this daemon is cut off from, and its last connection to the target failed.
    bool isClosed(std::uint64_t targetKey) const;

    /// Whether a connection to the target was made, or an answer of it came, lately.
    bool isReached(std::uint64_t targetKey) const;

    /// Returns the targets to probe now; see `Routing::PathTable::takeProbes`.
    std::vector<std::uint64_t> takeProbes();

    /// Replaces the peers that may serve requests.
    void setPeers(std::vector<RelayPeer>);

    /// Returns the peer to serve a request of a service, and counts the request as open there until `endRelay`; nothing if this
    /// daemon is to serve it. The part of the targets that this daemon reaches goes on serving the same part of the requests.
    std::optional<RelayPeer> beginRelay(std::string const& service, RelayNeed const&);

    /// Returns the targets that enough of the live daemons cannot reach: `Routing::PathVote`. `settle` is as there.
    std::set<std::uint64_t> decideUnreachable(std::vector<Routing::PathReport> const&, std::size_t live, std::chrono::milliseconds settle);

    /// Records that targets answered a peer.
    void notePeerAnswers(std::vector<Routing::OutcomeCounts> const&);

    /// Ends a request that `beginRelay` counted.
    void endRelay(std::string const& peer);

private:
    /// Requests open at one peer; a peer that has this many is not given more, which bounds the memory that a slow peer takes here.
    static constexpr std::size_t maxOpenPerPeer = 256;

    bool mayServe(RelayPeer const&, std::string const& service, RelayNeed const&) const;
    RelayPeer const* lessBusy(std::vector<RelayPeer const*> const&);
    void logIfChanged(std::string const& service, Routing::PathTable::Time now);

    mutable std::mutex m_mutex;
    std::atomic<bool> m_hasFailures { false }; ///< Of the table, so that a decision over many targets takes no lock for each.
    Routing::PathTable m_table;
    Routing::PathVote m_vote;
    std::map<std::uint64_t, std::string> m_services; ///< By target key.
    std::vector<RelayPeer> m_peers;
    std::map<std::string, std::size_t> m_open; ///< Relayed requests, by peer.
    std::mt19937_64 m_random;
    std::map<std::string, bool> m_cutOff; ///< Whether this daemon was cut off when its state was last logged, by service.
};

}
