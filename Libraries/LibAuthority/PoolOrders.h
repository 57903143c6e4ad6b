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

/// Times and bounds of one pool.
struct PoolSettings {
    LeaseSettings lease;
    OrderSettings orders;
    Duration listLag { std::chrono::seconds(60) }; ///< How far the platform's list of VMs may be behind.
    std::size_t changesAtOnce { 1 }; ///< Engines that may be changing at the same time.
    double loadsPerMinute { 1 }; ///< This pool's share of the weight store's budget.
};

/// An engine of the pool.
struct PoolEngine {
    std::string name;
    bool checksFencing { false }; ///< Only if it is said to check.
};

/// An action for one engine.
struct EngineCommand {
    std::string engine;
    EngineAction action;
};

/// What the daemon has to do: append a record to the lease stream, or act on an engine.
using PoolAction = std::variant<LeaseRecord, EngineCommand>;

/// One daemon's part in one pool: its lease, the evidence about former holders, and the orders to all engines. It
/// joins the pieces in the one safe way; the daemon brings events and carries out actions, in their
/// order and at once. Pure and not thread-safe.
class PoolOrders {
public:
    /// Precondition: as `LeaseKeeper`.
    PoolOrders(PoolSettings const&, std::string pool, Holder self, std::uint64_t seed, Time now);

    /// Takes the pool's lease as the fold has it (null: there never was one) after each record of the stream that was
    /// read at `now`, and once at the start.
    void observeLease(Lease const*, Time now);

    /// As `LeaseKeeper::setCandidate` and `release`.
    void setCandidate(bool isCandidate, std::uint32_t rank) { m_keeper.setCandidate(isCandidate, rank); }
    void release() { m_keeper.release(); }

    /// Sets the engines of the pool, by the platform's list. What is known of the others is dropped.
    void setEngines(std::vector<PoolEngine> const&);

    /// Sets what an engine is wanted to be. Unknown engines are ignored, here and below.
    void setWish(std::string const& engine, EngineWish const&);

    /// Sets the daemons that may route to the pool's engines.
    void setRouters(std::vector<Router> const&);

    /// Sets this pool's share of the budget at the weight store.
    void setLoadsPerMinute(double perMinute, Time now) { m_weights.setRate(perMinute, now); }

    /// As the methods of `EngineOrders`.
    void observeEngine(std::string const& engine, EngineState const&, Time now);
    void observeUnreachable(std::string const& engine, Time now);
    void answerOrder(std::string const& engine, std::string const& orderId, OrderAnswer, Time now);
    void acknowledgeClose(std::string const& engine, Router const&, std::uint64_t round, Time now);

    /// As the methods of `EvidenceFinder`.
    void observeAnswer(std::string const& address, std::string const& incarnation, Time openedAt) { m_evidence.observeAnswer(address, incarnation, openedAt); }
    void observeList(std::set<std::string> const& vmNames, Time readAt) { m_evidence.observeList(vmNames, readAt); }

    /// Returns what is due at `now`.
    std::vector<PoolAction> poll(Time now);

    /// Returns when to look at the former holders' addresses: while some are unsettled and this daemon holds the lease.
    bool needsEvidence() const { return m_keeper.fencing() && m_lease && !m_lease->unsettled.empty(); }

    LeaseKeeper const& keeper() const { return m_keeper; }
    std::optional<Lease> const& lease() const { return m_lease; }

    /// Returns the orders to an engine, or null.
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
    TokenBucket m_weights;
    std::optional<Lease> m_lease;
    std::vector<Router> m_routers;
    std::map<std::string, Entry> m_engines;
    std::optional<Time> m_lastSettlement;
};

}
