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

/// Settings of `PlaceShares`.
struct PlaceShareSettings {
    /// Requests that may wait at a target for each of its places, so that it has work during the way there and back.
    double queuePerPlace { 0.5 };
    /// Shares apply once the demand of all daemons exceeds this part of the places.
    double scarceAt { 1.0 };
    /// How long a place belongs to the same daemon, if the demands stay the same.
    std::chrono::milliseconds turn { 200 };
};

/// Divides the places of scarce targets among daemons by the demand that they tell each other, and among organisations. All daemons
/// compute the same division from the same demands, so that no place is given twice while their views agree; no message but the
/// demand is needed. While a service's places suffice for all demand there is no division at all. Performs no I/O. Not thread-safe.
class PlaceShares {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Errors: BadInput for a `queuePerPlace` or `scarceAt` that is negative or not finite, or a `turn` of 0.
    /// Precondition: `self` is this daemon's name as its peers know it.
    static Core::Result<PlaceShares> create(PlaceShareSettings const&, std::string self);

    /// Replaces the open targets of a service and their places. A service without targets is forgotten.
    void setTargets(std::string const& service, std::vector<TargetPlaces>);

    /// Replaces this daemon's own demand.
    void setOwn(std::vector<PlaceDemand>, Time now);

    /// Replaces a peer's demand. It expires after `lifetime`, which must exceed the interval between two reports of a peer.
    void setPeer(std::string const& peer, std::vector<PlaceDemand>, Time now, std::chrono::milliseconds lifetime);

    /// Returns what this daemon may have open at the targets of a service during the turn of `wallClock`; nothing while the places
    /// are not scarce. Precondition: `wallClock` is the fleet's agreed time since 1970, so that daemons change turns together.
    std::optional<PlaceAllotment> allotment(std::string const& service, Time now, std::chrono::milliseconds wallClock) const;

    /// Returns the demand of all daemons over the places of a service's targets; 0 while it has no targets.
    double scarcity(std::string const& service, Time now) const;

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
