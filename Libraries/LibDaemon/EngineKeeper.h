#pragma once

#include <LibDaemon/DutyCalls.h>
#include <LibDaemon/FleetSnapshot.h>
#include <LibRoles/FleetSizer.h>
#include <LibRoles/SplitRule.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Daemon {

/// Orders engines, of services whose operators let them be ordered, in the number that `Roles::FleetSizer` wants. Use from the control
/// thread only.
class EngineKeeper {
public:
    using Time = Core::BootClock::time_point;

    struct Hooks {
        std::function<bool()> isHolder; ///< Whether this daemon has the singleton duties.
        std::function<Roles::SplitDemand(std::string const& service)> demand; ///< Of all daemons together.
    };

    /// What operators see of a service's engines.
    struct Status {
        std::string service;
        Roles::FleetSize size;
        std::string why; ///< That size.
        std::uint32_t lasting { 0 }; ///< That serve.
        std::uint32_t reclaimable { 0 };
    };

    /// Preconditions: all references outlive the object.
    EngineKeeper(boost::asio::io_context&, DutyCalls&, Roles::FleetSizerSettings const&, Hooks);

    /// Plans, and orders what is due. To be called several times a second.
    void tick(FleetSnapshot const&, Time now);

    /// Takes the demand that the present holder sizes a service's engines for, should this daemon come to have the duty.
    void hear(std::string const& service, double demand) { m_heard[service] = demand; }

    /// Returns the demands that this daemon sizes engines for, by service, for the others.
    std::map<std::string, double> demands() const;

    /// Whether the service's first size is still being brought about: roles are better given to the engines that will be there.
    bool isFirstSizing(std::string const& service, Time now) const;

    void stop() { m_isStopped = true; }

    std::vector<Status> status() const;

    /// How many orders the platform has accepted from this process.
    std::uint64_t accepted() const { return m_accepted; }

private:
    struct Service {
        Roles::FleetSizer sizer;
        std::map<std::string, Roles::ZoneEngines> zones; ///< All in which it was ever seen.
        std::optional<Roles::FleetSize> logged; ///< The last size that was logged.
        std::string why; ///< The present size.
        std::optional<Time> firstOrderAt;
        std::chrono::milliseconds bootTime { 0 };
    };

    struct Order {
        std::string service;
        Roles::EngineOrder order;
    };

    void look(FleetSnapshot const&);
    void logSize(std::string const& name, Service&, State::EngineOffer const&);
    boost::asio::awaitable<void> carryOut(std::vector<Order>);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds);

    boost::asio::io_context& m_context;
    DutyCalls& m_calls;
    Roles::FleetSizerSettings m_settings;
    Hooks m_hooks;
    std::map<std::string, Service> m_services;
    std::map<std::string, double> m_heard; ///< By service: what the last holder went by.
    std::uint64_t m_accepted { 0 };
    bool m_isWorking { false };
    bool m_isStopped { false };
};

}
