#pragma once

#include <LibCore/BootClock.h>
#include <LibState/EngineOffer.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Roles {

using State::EngineOffer;

/// Which engines are ordered: lasting ones stay until they are ordered away, reclaimable ones cost less, and the platform may take
/// all of an availability zone back with a few seconds' notice.
enum class EngineKind : std::uint8_t { Lasting,
    Reclaimable };

/// Says how many engines a demand needs, where one more costs `price` of a lasting one. It grows with the demand.
using SizeRule = std::function<double(double demand, double price)>;

/// Returns the rule that keeps engines at the full price busy for `utilisation` of their time, and leaves more room the cheaper they
/// are: by one over the root of the price, where the cost of one engine more and of the wait that it saves are level. Thread-safe.
SizeRule sizeByPrice(double utilisation);

/// How many engines a service is to have.
struct FleetSizerSettings {
    double utilisation { 0.45 }; ///< As `sizeByPrice` has it.
    /// What is left when all reclaimable engines of one availability zone are gone is to be busy for this part at most.
    double strainedUtilisation { 0.8 };
    /// Lasting engines alone are to carry this part of the demand, so strained.
    double lastingPart { 0.15 };
    /// Fewer engines are ordered only where this part of them is too many, and has been for `patience`.
    double minSurplusShare { 0.2 };
    std::chrono::milliseconds patience { 15'000 };
    /// More are ordered where this part is missing, once that has been so for `alertTime`: the first requests say little of a rate.
    double minShortageShare { 0.35 };
    std::chrono::milliseconds shortagePatience { 2'000 };
    /// Before the first order the list of engines must have stayed the same for this long: they list themselves one by one.
    std::chrono::milliseconds stabilisationTime { 600 };
    /// An order is sent again where the list still shows another number so long after new engines should serve.
    std::chrono::milliseconds listLag { 3'000 };
    /// Where none were to be had it is asked again after this.
    std::chrono::milliseconds scarcityRetryDelay { 2'000 };

    bool operator==(FleetSizerSettings const&) const = default;
};

/// The engines of one availability zone that serve and are not about to leave.
struct ZoneEngines {
    std::string availabilityZone;
    std::uint32_t lasting { 0 };
    std::uint32_t reclaimable { 0 };
};

/// A number of engines to order.
struct EngineOrder {
    std::string availabilityZone;
    EngineKind kind { EngineKind::Lasting };
    std::uint32_t count { 0 };

    bool operator==(EngineOrder const&) const = default;
};

/// How many engines of a kind there should be in all, and why.
struct FleetSize {
    double demand { 0 }; ///< Engines that requests keep busy; guessed from the engines found where it is not known.
    bool isDemandKnown { false };
    std::uint32_t wanted { 0 }; ///< Engines of both kinds.
    std::uint32_t lasting { 0 }; ///< Of those.
    std::uint32_t strained { 0 }; ///< What must be left after a loss.

    bool operator==(FleetSize const&) const = default;
};

/// Says how many engines of which kind a service needs in each availability zone, from the demand on it, what can be lost at once,
/// and prices. What stands is what the list of engines shows, not what was ordered. Pure and not thread-safe.
class FleetSizer {
public:
    using Time = Core::BootClock::time_point;

    explicit FleetSizer(FleetSizerSettings const& settings = {})
        : FleetSizer(settings, sizeByPrice(settings.utilisation))
    {
    }

    /// Goes by another rule than `sizeByPrice`.
    FleetSizer(FleetSizerSettings const& settings, SizeRule rule)
        : m_settings(settings)
        , m_rule(std::move(rule))
    {
    }

    /// Returns the orders to give now. `demand`: engines that would be kept busy without a moment's pause; nothing while unknown.
    std::vector<EngineOrder> plan(EngineOffer const&, std::vector<ZoneEngines> const&, std::optional<double> demand, Time now);

    /// Begins with the size that another daemon went by, in place of one guessed from the engines found. After the first plan this
    /// changes nothing.
    void adopt(EngineOffer const&, double demand);

    /// Notes that an order was accepted.
    void recordOrder(EngineOrder const&, Time now);

    /// Notes that none of the kind were to be had in the zone.
    void recordScarcity(EngineOrder const&, Time now);

    /// Returns the size for a demand.
    FleetSize sizeFor(EngineOffer const&, double demand) const;

    /// Returns one sentence that says which demand, price and loss made the size so; empty before the first plan.
    std::string explain(EngineOffer const&) const;

    /// Returns the size that the last plan went by; nothing before the first.
    std::optional<FleetSize> const& size() const { return m_size; }

private:
    using Pool = std::pair<std::string, EngineKind>; ///< An availability zone's engines of one kind.

    struct LastOrder {
        std::uint32_t count { 0 };
        Time at;
    };

    using Counts = std::map<std::string, std::uint32_t>; ///< By availability zone.

    double demandFor(std::uint32_t engines, double price) const;
    double demandMatchedBy(EngineOffer const&, std::vector<ZoneEngines> const&) const;
    void updateSize(EngineOffer const&, std::vector<ZoneEngines> const&, std::optional<double> demand, Time now);
    bool isSettled(std::uint32_t listed, Time now);
    Counts spreadReclaimable(EngineOffer const&, std::vector<std::string> const& names) const;
    Counts spreadLasting(EngineOffer const&, std::vector<ZoneEngines> const&, std::vector<std::string> const& names, Counts const& reclaimable, std::uint32_t total) const;
    std::uint32_t lastingNeeded(EngineOffer const&, std::vector<ZoneEngines> const&, Counts const& reclaimable, Time now) const;
    void addOrder(std::vector<EngineOrder>&, EngineOffer const&, EngineOrder const&, std::uint32_t current, Time now) const;
    bool isScarce(Pool const&, Time now) const;
    bool isPending(EngineOffer const&, Pool const&, std::uint32_t wanted, std::uint32_t current, Time now) const;

    FleetSizerSettings m_settings;
    SizeRule m_rule;
    std::optional<FleetSize> m_size;
    std::optional<Time> m_outOfToleranceSince; ///< Since when the size has been too small or too large for the demand.
    bool m_isShort { false }; ///< Of the two, too small.
    std::optional<std::uint32_t> m_listedCount; ///< Engines listed before the first plan,
    Time m_listedSince; ///< and since when as many.
    std::map<Pool, LastOrder> m_lastOrders;
    std::map<Pool, Time> m_scarceUntil;
};

}
