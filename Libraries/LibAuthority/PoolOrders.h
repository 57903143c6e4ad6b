#pragma once

#include <LibAuthority/EngineOrders.h>
#include <LibAuthority/EvidenceFinder.h>
#include <LibAuthority/LeaseKeeper.h>
#include <LibAuthority/TokenBucket.h>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Authority {

/// Timing and limits of one pool.
struct PoolSettings {
    LeaseSettings lease;
    OrderSettings orders;
    Duration listLag { std::chrono::seconds(60) }; ///< Maximum staleness of the platform's list of VMs.
    std::size_t maximumConcurrentChanges { 1 }; ///< Engines that may change at the same time.
    double loadsPerMinute { 1 }; ///< This pool's share of the weight store's load budget.
};

/// An engine of the pool.
struct PoolEngine {
    std::string name;
    bool checksFencing { false }; ///< Whether it is declared to check fencing tokens.
};

/// An action for one engine.
struct EngineCommand {
    std::string engine;
    EngineAction action;
};

/// An action for the daemon to carry out: append a record to the lease stream, or act on an engine.
using PoolAction = std::variant<LeaseRecord, EngineCommand>;

/// Coordinates one pool for one daemon: the lease, the evidence about former holders and the orders to all engines. It
/// enforces the safe order between them; the daemon passes in events and must carry out the returned actions in sequence
/// and without delay. Does no I/O and is not thread-safe.
class PoolOrders {
public:
    /// Preconditions: as for `LeaseKeeper`.
    PoolOrders(PoolSettings const&, std::string pool, Holder self, std::uint64_t seed, Time now);

    /// Takes the pool's lease from the fold (null if there never was one) after each record of the stream that was read
    /// at `now`, and once at startup.
    void observeLease(Lease const*, Time now);

    /// As `LeaseKeeper::setCandidate` and `release`.
    void setCandidate(bool isCandidate, std::uint32_t rank) { m_keeper.setCandidate(isCandidate, rank); }
    void release() { m_keeper.release(); }

    /// Sets the engines of the pool according to the platform's list. The state of all others is discarded.
    void setEngines(std::vector<PoolEngine> const&);

    /// Sets the desired state of an engine. This and the methods below ignore unknown engines.
    void setDesiredState(std::string const& engine, DesiredEngineState const&);

    /// Sets the daemons that may route to the pool's engines.
    void setRouters(std::vector<Router> const&);

    /// Sets this pool's share of the weight store's load budget.
    void setLoadsPerMinute(double perMinute, Time now) { m_loadBudget.setRate(perMinute, now); }

    /// As the methods of `EngineOrders`.
    void observeEngine(std::string const& engine, EngineState const&, Time now);
    void observeUnreachable(std::string const& engine, Time now);
    void recordOrderOutcome(std::string const& engine, std::string const& orderId, OrderOutcome, Time now);
    void acknowledgeClose(std::string const& engine, Router const&, std::uint64_t round, Time now);

    /// As the methods of `EvidenceFinder`.
    void observeAnswer(std::string const& address, std::string const& incarnation, Time openedAt) { m_evidence.observeAnswer(address, incarnation, openedAt); }
    void observeList(std::set<std::string> const& vmNames, Time readAt) { m_evidence.observeList(vmNames, readAt); }

    /// Returns the actions that are due at `now`.
    std::vector<PoolAction> poll(Time now);

    /// Returns whether to probe the former holders' addresses: this daemon holds the lease and some of them are unsettled.
    bool needsEvidence() const { return m_keeper.fencing() && m_lease && !m_lease->unsettled.empty(); }

    LeaseKeeper const& keeper() const { return m_keeper; }
    std::optional<Lease> const& lease() const { return m_lease; }

    /// Returns the orders to an engine, or null if it is unknown.
    EngineOrders const* find(std::string const& engine) const;

private:
    struct Entry {
        bool checksFencing { false };
        EngineOrders orders;
    };

    void applyAuthority(Entry&);
    void pollEvidence(Time now, std::vector<PoolAction>& actions);
    void pollEngines(Time now, std::vector<PoolAction>& actions);
    EngineOrders* findMutable(std::string const& engine);

    PoolSettings m_settings;
    std::string m_pool;
    LeaseKeeper m_keeper;
    EvidenceFinder m_evidence;
    TokenBucket m_loadBudget;
    std::optional<Lease> m_lease;
    std::vector<Router> m_routers;
    std::map<std::string, Entry> m_engines;
    std::optional<Time> m_lastSettlement;
};

}
