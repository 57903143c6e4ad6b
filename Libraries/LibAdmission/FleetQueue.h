#pragma once

#include <LibAdmission/Demand.h>
#include <LibAdmission/PlaceShares.h>
#include <LibCore/Result.h>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Admission {

/// What a daemon knows of the fleet's queue for one service.
struct FleetQueueState {
    FleetDemand demand;
    double ownDemand { 0 }; ///< This daemon's part of it.
    double perSecond { 0 }; ///< Requests that the service's targets work off; 0: not known, so that nothing is refused.
};

/// A request before it asks for a place.
struct Newcomer {
    std::string service;
    std::string organisation;
    std::uint64_t key { 0 }; ///< The same whenever the same is asked for; 0: not known.
    TimePoint latestStart;
};

/// Why a request is refused at once, and when it may come back.
struct FleetRefusal {
    std::chrono::milliseconds retryAfter { 0 };
    double ahead { 0 }; ///< Requests of the fleet beyond the places.
    double perSecond { 0 };
};

/// Settings of `FleetQueue`.
struct FleetQueueSettings {
    std::size_t mostBookings { 512 }; ///< Refused requests whose time to come back is remembered.
    std::chrono::milliseconds lateness { 500 }; ///< How long after its time a request that comes back still goes first.
};

/// Refuses requests that the targets of a service cannot start in time, going by the demand of all daemons. What the targets work off
/// until a request's latest start is divided fairly among the organisations, so that one that floods is refused first. Those that are
/// refused are told times to come back that follow each other as places become free; others give way to them then. Performs no I/O.
/// Not thread-safe.
class FleetQueue {
public:
    /// Errors: BadInput for a limit of 0 or a negative time.
    static Core::Result<FleetQueue> create(FleetQueueSettings const&);

    /// Replaces what is known of a service's queue, and forgets requests that have not come back. Call ten times a second.
    void update(std::string const& service, FleetQueueState const&, TimePoint now);

    /// Forgets a service.
    void remove(std::string const& service);

    /// Counts a request, or refuses it (not run, as nothing has been sent). `spread` in 0 to 1 differs from request to request.
    std::optional<FleetRefusal> enter(Newcomer const&, double spread, TimePoint now);

private:
    struct Booking {
        TimePoint due;
        std::string service;
    };
    struct Service {
        FleetQueueState state;
        std::map<std::string, double> entered; ///< Since the last update, by organisation.
        double enteredSum { 0 };
        TimePoint lastDue; ///< When the last of those refused comes back.
    };

    explicit FleetQueue(FleetQueueSettings const&);
    double bookedUntil(std::string const& service, TimePoint) const;
    std::chrono::milliseconds book(Service&, Newcomer const&, double secondsToRoom, double spread, TimePoint now);

    FleetQueueSettings m_settings;
    std::map<std::string, Service> m_services;
    boost::unordered_flat_map<std::uint64_t, Booking> m_bookings; ///< By key.
};

}
