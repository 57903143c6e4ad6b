#pragma once

#include <LibAuthority/ClaimTimes.h>
#include <LibAuthority/StoreLease.h>
#include <LibCore/EnumNames.h>
#include <LibRoles/SplitOrders.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Roles {

struct SplitSiteSettings {
    std::size_t daemons { 3 };
    std::size_t engines { 4 };
    bool isFenced { false };
    std::uint64_t seed { 1 };
};

/// Simulates daemons that plan the roles of engines in virtual time: the production rule, orders and lease, on a store and engines
/// that answer late.
class SplitSite {
public:
    using Time = SplitOrders::Time;

    enum class Disturbance : std::uint8_t {
        EngineLeaves,
        EngineDies,
        EngineComes,
        HolderDies,
        FirstDaemonStarts, ///< A daemon whose name sorts before all others.
        DaemonIsCut, ///< The one that plans is partitioned from the store for a while.
    };

    static constexpr Core::EnumNames<Disturbance, 6> disturbanceNames { {
        { Disturbance::EngineLeaves, "engine leaves" },
        { Disturbance::EngineDies, "engine dies" },
        { Disturbance::EngineComes, "engine comes" },
        { Disturbance::HolderDies, "holder dies" },
        { Disturbance::FirstDaemonStarts, "first daemon starts" },
        { Disturbance::DaemonIsCut, "daemon is cut" },
    } };

    explicit SplitSite(SplitSiteSettings const&);
    ~SplitSite();

    void disturb(Disturbance, std::size_t which);
    void run(std::chrono::milliseconds);

    /// Returns what went wrong: a role left empty, an engine moved back without cause, a role empty in the end.
    std::vector<std::string> problems() const;

    std::size_t orders() const { return m_orderCount; }

private:
    struct Engine;
    struct Daemon;
    struct Event {
        Time at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(Event const& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void after(std::chrono::milliseconds, std::function<void()>);
    std::chrono::milliseconds delay(int most = 20);
    void addEngine(TargetRole);
    void addDaemon(int name);
    Daemon* planner();
    Daemon* daemonOf(std::uint64_t id);
    Engine* engineOf(std::uint64_t key);
    std::size_t serving(TargetRole) const;
    std::vector<EngineView> views(Daemon const&) const;
    void tick(Daemon&);
    void gain(std::uint64_t daemon, Time giveUpAt);
    void read(std::uint64_t daemon, std::uint64_t engine);
    void order(std::uint64_t daemon, std::uint64_t engine, SplitStep const&);
    void carryOut(Engine&, TargetRole, Time disturbedAt);

    SplitSiteSettings m_settings;
    std::mt19937_64 m_random;
    Time m_now;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventCount { 0 };
    std::map<std::uint64_t, Engine> m_engines; ///< By key.
    std::map<int, std::unique_ptr<Daemon>> m_daemons; ///< By name: numbers, which sort like names.
    std::vector<Authority::StoreLeaseClaim> m_claims;
    std::uint64_t m_lastId { 100 };
    std::size_t m_orderCount { 0 };
    Time m_disturbedAt;
    std::vector<std::string> m_problems;
};

}
