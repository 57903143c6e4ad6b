#pragma once

#include <LibDaemon/FleetSnapshot.h>
#include <LibDaemon/StoreLeases.h>
#include <LibFleet/StoreReplica.h>
#include <LibPlatform/EngineControl.h>
#include <LibRoles/SplitOrders.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Daemon {

/// Keeps the engines of each service at the split of roles that `Roles::SplitRule` wants. One daemon orders at a time:
/// its claim in the store gives the fencing number, and each order names the engine's incarnation and the number of
/// orders that the engine had accepted when its state was read. Use from the control thread only.
class RoleKeeper {
public:
    struct Hooks {
        std::function<bool()> isPlanner; ///< Whether this daemon is the one that should plan.
        std::function<void()> onChange; ///< Called when the targets under change are others than before.
        std::function<void()> onPlan; ///< Called before targets are ordered to change: peers are to send them no more work.
        std::function<Roles::SplitDemand(std::string const& service)> demand; ///< Of all daemons together.
        std::function<double(std::uint64_t target, Routing::TargetRole)> slowness; ///< Of a target in a role, next to the others.
        std::function<bool(std::string const& service)> isBeingSized; ///< Engines come and go before the first requests.
        std::function<void(std::uint64_t target)> onLeaving; ///< Called when a target says that it will end.
        std::function<void()> onReady; ///< Called when `poll` has more to do: a lease was gained, or engines have answered.
    };

    /// Preconditions: all references outlive the object.
    RoleKeeper(boost::asio::io_context&, StoreLeases&, Platform::EngineControl&, Roles::SplitSettings const&, Hooks);

    /// Plans, and carries out what is due. To be called several times a second. `unreachable` are keys of targets that
    /// count as lost.
    void poll(FleetSnapshot const&, std::set<std::uint64_t> const& unreachable);

    /// Ends all plans; orders that were sent stay sent.
    void stop() { m_isStopped = true; }

    /// The new roles of the targets that this daemon has ordered to change and that have not been seen in them, by key.
    std::map<std::uint64_t, Routing::TargetRole> changing() const;

    /// The role that this daemon has ordered the target of that key to change to; nothing: none.
    std::optional<Routing::TargetRole> nextRole(std::uint64_t key) const;

    /// How many role changes engines have accepted from this process.
    std::uint64_t accepted() const { return m_accepted; }

private:
    using Time = Core::BootClock::time_point;

    /// The engine that an order is for.
    struct Engine {
        std::string service;
        std::string name;
        std::uint64_t key { 0 };
        std::uint64_t bornAtMs { 0 }; ///< Of the incarnation that is meant; 0: not told.
        boost::asio::ip::tcp::endpoint endpoint;
    };

    struct Service {
        Roles::SplitOrders orders;
        bool isGaining { false }; ///< Its lease.
    };

    Service& serviceOf(std::string const& name);
    std::vector<Roles::EngineView> viewsOf(FleetSnapshot const&, std::vector<std::uint32_t> const& positions, std::set<std::uint64_t> const& unreachable, Time now);
    void plan(FleetSnapshot const&, std::string const& name, std::vector<Roles::EngineView> const&, Time now);
    boost::asio::awaitable<void> gainLease(std::string service);
    boost::asio::awaitable<void> readState(Engine);
    boost::asio::awaitable<void> sendOrder(Engine, Roles::SplitStep);
    Roles::EngineReadiness judge(Engine const&, Core::Result<Platform::EngineState> const&) const;
    static void logBlocked(std::string const& service, std::string const& engine, std::string_view why);
    bool isFresh(std::uint64_t key, Time now);

    boost::asio::io_context& m_context;
    StoreLeases& m_leases;
    Platform::EngineControl& m_engines;
    Roles::SplitSettings m_splitSettings;
    Hooks m_hooks;
    std::map<std::string, Service> m_services;
    std::map<std::uint64_t, Time> m_firstSeen; ///< By target's key.
    Time m_firstLook;
    Time m_nextLook; ///< Of a daemon that does not plan.
    std::uint64_t m_accepted { 0 };
    bool m_isStopped { false };
};

}
