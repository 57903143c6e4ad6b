#pragma once

#include <LibCore/Result.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Admission {

/// How many places of a service's targets the requests of one organisation would occupy now: in flight and waiting.
struct OrganisationDemand {
    std::string organisation;
    double places { 0 };

    bool operator==(OrganisationDemand const&) const = default;
};

/// One daemon's demand on the places of one service, as it tells its peers. The organisations that ask for least may be summed up
/// under an empty name.
struct PlaceDemand {
    std::string service;
    std::vector<OrganisationDemand> organisations;

    bool operator==(PlaceDemand const&) const = default;
};

/// A target and how many requests it runs at once.
struct TargetPlaces {
    std::uint64_t target { 0 };
    std::uint32_t places { 0 };
};

/// How many requests one daemon may have open at targets whose places are scarce.
struct PlaceAllotment {
    std::map<std::uint64_t, std::uint32_t> places; ///< By target; a target without an entry has none for this daemon.
    std::map<std::string, double> organisations; ///< Of `places` in total, for each organisation with demand here.
};

/// The demand of all daemons on the places of one service.
struct FleetDemand {
    std::map<std::string, double> byOrganisation; ///< Organisations that daemons have summed up are under an empty name.
    double sum { 0 };
    std::uint32_t places { 0 };
    std::size_t daemons { 0 }; ///< With demand.
};

/// Divides places among organisations: each gets what it asks for, or the same as the others that ask for more (max-min fairness).
/// Small organisations that are summed up under an empty name get what they ask for. Thread-safe.
std::map<std::string, double> divideFairly(std::map<std::string, double> const& demands, double places);

/// Settings of `PlaceShares`.
struct PlaceShareSettings {
    /// Requests that may wait at a target for each of its places, so that it has work during the way there and back, and while a
    /// place belongs to a daemon that needs it no more.
    double queuePerPlace { 1.0 };
    /// Shares apply once the demand of all daemons exceeds this part of the places. Below, a request that goes to a target at once
    /// waits there for less time than one whose daemon has no place just then.
    double scarceAt { 3.0 };
    /// Shares apply only while the daemons with demand have so many places on average, queues included: with smaller parts, places
    /// stay empty that others wait for.
    double leastMeanPart { 1.0 };
    /// Shares apply only if they give organisations that ask for little at least this part of the places more than the targets'
    /// own order would, which serves each by how much it sends.
    double leastMoved { 0.1 };
    /// How long a place belongs to the same daemon, if the demands stay the same.
    std::chrono::milliseconds turn { 200 };
};

/// Divides the places of scarce targets among daemons by the demand that they tell each other, and among organisations. All daemons
/// compute the same division from the same demands, so that no place is given twice while their views agree; no message but the
/// demand is needed. While a service's places suffice for all demand, or a division would help nobody, there is none. Performs no I/O.
/// Not thread-safe.
class PlaceShares {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Errors: BadInput for a setting that is negative or not finite, or a `turn` of 0.
    /// Precondition: `self` is this daemon's name as its peers know it.
    static Core::Result<PlaceShares> create(PlaceShareSettings const&, std::string self);

    /// Replaces the open targets of a service and their places. A service without targets is forgotten.
    void setTargets(std::string const& service, std::vector<TargetPlaces>);

    /// Replaces this daemon's own demand.
    void setOwn(std::vector<PlaceDemand>, Time now);

    /// Replaces a peer's demand. It expires after `lifetime`, which must exceed the interval between two reports of a peer.
    void setPeer(std::string const& peer, std::vector<PlaceDemand>, Time now, std::chrono::milliseconds lifetime);

    /// Returns what this daemon may have open at the targets of a service during the turn of `wallClock`; nothing while the places
    /// are not divided. `wallClock` is the time since 1970; a daemon whose clock differs from the others' has no more places than its
    /// part, but they may be others' too.
    std::optional<PlaceAllotment> allotment(std::string const& service, Time now, std::chrono::milliseconds wallClock) const;

    /// Returns the demand of all daemons over the places of a service's targets; 0 while it has no targets.
    double scarcity(std::string const& service, Time now) const;

    /// Returns the demand of all daemons on the places of a service's targets by organisation; empty while it has no targets.
    FleetDemand demand(std::string const& service, Time now) const;

private:
    struct Report {
        std::vector<PlaceDemand> demands;
        Time until;
    };

    PlaceShares(PlaceShareSettings const&, std::string self);

    PlaceShareSettings m_settings;
    std::string m_self;
    std::map<std::string, std::vector<TargetPlaces>> m_targets; ///< By service.
    std::map<std::string, Report> m_reports; ///< By daemon, this one included.
};

}
