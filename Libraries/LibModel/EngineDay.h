#pragma once

#include <LibRoles/FleetSizer.h>
#include <LibState/EngineOffer.h>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Model {

/// More work than usual for some time.
struct Burst {
    double atSeconds { 0 };
    double forSeconds { 0 };
    double factor { 1 };
};

/// All reclaimable engines of a zone are taken back, and there are no others, in it or anywhere, for some time.
struct Reclaim {
    double atSeconds { 0 };
    std::string availabilityZone;
    double scarceSeconds { 0 };
    bool isScarceEverywhere { false };
};

/// A day of a service whose engines are ordered.
struct EngineDay {
    std::string name;
    State::EngineOffer offer;
    std::uint32_t found { 0 }; ///< Lasting engines that are there at first, evenly over the zones.
    double demand { 10 }; ///< Engines that the work keeps busy, on average.
    double swing { 0.2 }; ///< Of the demand, to either side,
    double swingSeconds { 20 }; ///< and back.
    std::vector<Burst> bursts;
    std::vector<Reclaim> reclaims;
    double workSeconds { 0.2 }; ///< That an engine needs for a request.
    double patienceSeconds { 0.3 }; ///< A request that waits for longer is late.
    double lengthSeconds { 120 };
};

/// What became of a day. Shares are of the work that was asked for.
struct EngineDayFigures {
    double late { 0 };
    double lost { 0 }; ///< There were fewer engines than it needed.
    double cost { 0 }; ///< Of all engines, in seconds of a lasting one at price 1, for each second of work.
    std::uint64_t orders { 0 };

    /// A point of the day, for a picture of it.
    struct Point {
        double demand { 0 };
        double wanted { 0 };
        double ordered { 0 }; ///< Working or on their way.
        double working { 0 };
    };
    std::vector<Point> points; ///< One a second.

    /// What the day is worth: 1 for all work in time, `lateWorth` of it where it is late, less what engines cost where a second of a
    /// lasting one costs `enginePrice` of what a second of work is worth.
    double value(double enginePrice) const;
    static constexpr double lateWorth = 0.3;
};

/// Plays a day in steps of a tenth of a second: engines boot, work and are taken away, and a fluid model of their queues says what is
/// late. `sizer` learns the demand as daemons do: some seconds late, with an error that `seed` draws.
EngineDayFigures play(EngineDay const&, Roles::FleetSizer sizer, std::uint64_t seed);

/// Returns the share of work that waits for longer than it may, where `demand` engines' worth of it comes to `engines` (M/M/c, in groups
/// as large as one daemon chooses from). Precondition: `demand` < `engines`.
double lateShare(EngineDay const&, double demand, double engines);

/// The days that rules are compared on.
std::vector<EngineDay> engineDays();

/// A rule of size, by its name.
struct NamedSizeRule {
    std::string name;
    std::function<Roles::SizeRule(EngineDay const&)> create;
};

/// The product's rule and others: a fixed utilisation whatever engines cost, and the least number at which little is late.
std::vector<NamedSizeRule> sizeRules();

}
