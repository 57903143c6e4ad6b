#pragma once

#include <LibAuthority/ClosedEngines.h>
#include <LibAuthority/EngineOrders.h>
#include <LibAuthority/LeaseKeeper.h>
#include <LibAuthority/TokenBucket.h>
#include <LibDaemon/ControlMessages.h>
#include <LibDaemon/LeaseFollower.h>
#include <LibPeer/Clients.h>
#include <LibPlatform/EngineControl.h>
#include <LibPlatform/VmList.h>
#include <LibRoles/Planner.h>
#include <LibState/Explanation.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Daemon {

/// An engine of a pool, as the control plane knows it now.
struct ManagedEngine {
    std::uint32_t id { 0 };
    std::string name;
    boost::asio::ip::tcp::endpoint endpoint;
    State::GroupDecision decision; ///< What operators' groups allow and want.
    bool isDrained { false }; ///< By an operator's label, or leaving: never planned for.
    bool checksFencing { false }; ///< The engine, or an operator's label, says so.
    std::optional<Platform::EngineState> state;
};

/// Another daemon, as the control plane knows it now.
struct KnownDaemon {
    std::string name;
    boost::asio::ip::tcp::endpoint peerAddress;
    std::string incarnation; ///< As last heard; empty when never.
    bool takesWork { false };
};

/// One pool's part of the status that operators see.
struct LeaseStatus {
    std::string pool;
    std::string holder;
    std::uint64_t fencing { 0 };
    std::string phase; ///< Of this daemon's keeper.
};

/// Something that cannot be done now, and why.
struct BlockedStatus {
    std::string what;
    std::string why;
};

/// This daemon's part in the leases of all pools: it claims, renews and releases them, and as holder plans roles and
/// gives orders. Everything is decided by LibAuthority and LibRoles; this is their shell. Use from the control
/// thread only.
class AuthorityAgent {
public:
    struct Hooks {
        std::function<void(std::function<void()> onApplied)> closeHere; ///< Publishes what is closed to the traffic threads, then calls back.
    };

    /// Preconditions: all references outlive the object.
    AuthorityAgent(boost::asio::io_context&, Platform::LogService&, Platform::EngineControl&, Peer::Clients&, Authority::Holder self, std::chrono::milliseconds retryDelay, Roles::Settings const&, Hooks);
    ~AuthorityAgent();

    /// Starts to follow the lease stream. Precondition: called once.
    void start();

    /// Releases all leases; `onDone` is called when none is held any more or a few seconds have passed.
    void release(std::function<void()> onDone);

    void stop();

    /// Takes over what the control plane knows.
    void setFleet(std::map<std::string, std::vector<ManagedEngine>> enginesByPool, std::vector<KnownDaemon> daemons, std::set<std::string> listedVms);

    /// Takes a read of an engine's state that was begun at `readAt`.
    void observeEngine(std::string const& pool, std::string const& engine, Platform::EngineState const&, Authority::Time readAt);

    /// Takes a report of the mix for a pool that this daemon holds.
    void takeMix(MixReport const&);

    /// Closes or opens an engine at this daemon; `reply` is called once that has reached the traffic threads.
    void handleClose(CloseRequest const&, std::function<void(CloseReply)> reply);

    /// Returns whether this daemon sends no new requests to an engine because its lease holder asked for it.
    bool isClosed(std::string const& engine) const;

    /// Returns where reports of a pool's mix go: the holder's peer address, or nothing.
    std::optional<boost::asio::ip::tcp::endpoint> holderAddress(std::string const& pool) const;

    LeaseFollower& leases() { return m_leases; }
    Authority::Holder const& self() const { return m_self; }
    std::vector<LeaseStatus> leaseStatus() const;
    std::vector<BlockedStatus> blocked() const;
    std::uint64_t roleChanges() const { return m_roleChanges; }

private:
    struct Pool;
    struct Engine;

    void poll();
    void pollPool(Pool&);
    void pollLease(Pool&);
    void pollEngine(Pool&, Engine&);
    void plan(Pool&);
    void updateAuthority(Pool&);
    void applyWish(Pool&, Engine&);
    void perform(Pool&, Engine&, Authority::EngineAction const&);
    void gatherEvidence(Pool&);
    void settle(Pool&, Authority::FormerHolder const&, Authority::Evidence);
    void noteBlock(Pool const&, Engine&);
    std::uint32_t rankOf(std::string const& pool) const;
    Engine* findEngine(std::string const& pool, std::string const& name);
    std::vector<Authority::Router> routers() const;

    boost::asio::awaitable<void> writeOrder(std::string pool, std::string engine, Authority::EngineAction, boost::asio::ip::tcp::endpoint);
    boost::asio::awaitable<void> readState(std::string pool, std::string engine, boost::asio::ip::tcp::endpoint);
    boost::asio::awaitable<void> askToClose(std::string pool, std::string engine, KnownDaemon, CloseRequest);
    boost::asio::awaitable<void> askIdentity(std::string pool, Authority::FormerHolder);

    boost::asio::io_context& m_context;
    Platform::EngineControl& m_engineControl;
    Peer::Clients& m_peers;
    Authority::Holder m_self;
    Roles::Settings m_roleSettings;
    Hooks m_hooks;
    LeaseFollower m_leases;
    boost::asio::steady_timer m_timer;
    std::map<std::string, std::unique_ptr<Pool>> m_pools;
    std::vector<KnownDaemon> m_daemons;
    std::set<std::string> m_listedVms;
    std::map<std::string, Authority::Time> m_missingSince; ///< VMs that left the list, since when.
    Authority::ClosedEngines m_closed;
    Authority::TokenBucket m_weights;
    std::function<void()> m_onReleased;
    Authority::Time m_releaseLimit;
    std::uint64_t m_roleChanges { 0 };
    bool m_isReleasing { false };
    bool m_isStopped { false };
};

}
