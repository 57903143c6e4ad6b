#pragma once

#include <LibAuthority/StoreLease.h>
#include <LibDaemon/FleetSnapshot.h>
#include <LibFleet/StoreReplica.h>
#include <LibPlatform/EngineControl.h>
#include <LibPlatform/KeyedStore.h>
#include <LibRoles/SplitRule.h>
#include <LibRouting/DemandMeter.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
        std::function<Routing::EngineDemand(std::string const& service)> demand; ///< Of all daemons together.
        std::function<double(std::uint64_t target, Routing::TargetRole)> slowness; ///< Of a target in a role, next to the others.
        std::function<void(std::uint64_t target)> onLeaving; ///< Called when a target says that it will end.
    };

    /// Preconditions: all references outlive the object.
    RoleKeeper(boost::asio::io_context&, Platform::KeyedStore&, Platform::EngineControl&, Authority::StoreLeaseHolder self, Authority::StoreLeaseSettings const&, Roles::SplitSettings const&, Hooks);

    /// Plans, and carries out what is due. To be called several times a second. `unreachable` are keys of targets that
    /// count as lost.
    void poll(FleetSnapshot const&, std::set<std::uint64_t> const& unreachable);

    /// Ends all plans; orders that were sent stay sent.
    void stop() { m_isStopped = true; }

    /// Keys of the targets that this daemon has ordered to change and that have not been seen in their new role.
    std::vector<std::uint64_t> changing() const;

    /// Whether this daemon has ordered the target of that key to change.
    bool isChanging(std::uint64_t key) const;

    /// Whether this daemon could not get a lease lately, so that another should plan.
    bool cannotPlan() const { return Core::BootClock::now() < m_cannotPlanUntil; }

    /// Whether this daemon may give orders to any engine now.
    bool mayOrder() const;

    /// How many role changes engines have accepted from this process.
    std::uint64_t accepted() const { return m_accepted; }

private:
    using Time = Core::BootClock::time_point;

    /// An order to one engine, from its plan until the engine is seen in its new role.
    struct Order {
        std::string service;
        std::uint64_t key { 0 };
        std::uint64_t bornAtMs { 0 }; ///< Of the incarnation that is meant; 0: not told.
        boost::asio::ip::tcp::endpoint endpoint;
        Routing::TargetRole role { Routing::TargetRole::Prefill };
        Time until; ///< After this time it is given up.
    };

    /// The lease of one service's engines and the plan for them.
    struct Group {
        Group(Authority::StoreLeaseSettings const& settings, Authority::StoreLeaseHolder const& self, Roles::SplitSettings const& split)
            : lease(settings, self)
            , rule(split)
        {
        }

        Authority::StoreLease lease;
        Roles::SplitRule rule;
        bool isClaiming { false };
    };

    Group& groupOf(std::string const& service);
    Roles::SplitDemand demandOf(FleetSnapshot const&, std::string const& service) const;
    void settle(FleetSnapshot const&, Time now);
    void plan(FleetSnapshot const&, std::string const& service, std::vector<std::uint32_t> const& positions, std::set<std::uint64_t> const& unreachable, Time now);
    boost::asio::awaitable<void> carryOut(std::string target, Order);
    boost::asio::awaitable<bool> gainLease(std::string service);
    boost::asio::awaitable<void> claim(std::string service);
    boost::asio::awaitable<Core::Result<void>> readClaim(std::string service);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds);
    void giveUp(std::string const& target, std::string_view why);

    boost::asio::io_context& m_context;
    Platform::KeyedStore& m_store;
    Platform::EngineControl& m_engines;
    Authority::StoreLeaseHolder m_self;
    Authority::StoreLeaseSettings m_leaseSettings;
    Roles::SplitSettings m_splitSettings;
    Hooks m_hooks;
    std::map<std::string, std::unique_ptr<Group>> m_groups; ///< By service.
    std::map<std::string, Order> m_orders; ///< By target.
    Time m_cannotPlanUntil;
    Time m_nextLook; ///< Of a daemon that does not plan.
    std::uint64_t m_accepted { 0 };
    bool m_isStopped { false };
};

}
