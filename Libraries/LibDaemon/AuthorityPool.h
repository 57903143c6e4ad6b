#pragma once

#include <LibDaemon/AuthorityAgent.h>

namespace Daemon {

/// One engine of a pool at its lease's holder. Private to AuthorityAgent's files.
struct AuthorityAgent::Engine {
    explicit Engine(Authority::OrderSettings const& settings)
        : orders(settings)
    {
    }

    ManagedEngine managed;
    Authority::EngineOrders orders;
    std::optional<Routing::TargetRole> wantedRole; ///< Decided by the planner; absent: as it is.
    std::optional<Authority::Block> loggedBlock;
    bool isReading { false };
};

/// One pool of engines and its lease. Private to AuthorityAgent's files.
struct AuthorityAgent::Pool {
    Pool(std::string poolName, Authority::LeaseSettings const& settings, Authority::Holder const& self, std::uint64_t seed, Roles::Planner rolePlanner)
        : name(std::move(poolName))
        , keeper(settings, name, self, seed)
        , planner(rolePlanner)
    {
    }

    std::string name;
    Authority::LeaseKeeper keeper;
    Roles::Planner planner;
    Roles::MixCounts counts {};
    Authority::Time plannedAt;
    std::optional<std::uint64_t> fencing; ///< Under which the engines' machines have authority.
    std::map<std::string, Engine> engines;
    std::map<std::uint64_t, Authority::Time> askedFormer; ///< When evidence was last sought, by the former holder's number.
    Authority::KeeperPhase loggedPhase { Authority::KeeperPhase::Follower };
};

}
