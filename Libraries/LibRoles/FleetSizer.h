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

/// How an engine is provisioned. Lasting (on-demand) engines run until they are scaled down. Reclaimable (spot) engines cost
/// less, but the platform may reclaim all of those in an availability zone with a few seconds' notice.
enum class EngineKind : std::uint8_t { Lasting,
    Reclaimable };

/// Returns how many engines a demand needs if an additional one costs `price` times as much as a lasting one. Must increase
/// with the demand.
using SizeRule = std::function<double(double demand, double price)>;

/// Returns a rule that targets `utilisation` at the full price and scales the headroom of cheaper engines by the inverse square
/// root of the price: there the cost of one more engine equals that of the waiting time it saves. Thread-safe.
SizeRule sizeByPrice(double utilisation);

/// Targets and delays for scaling the engines of a service.
struct FleetSizerSettings {
    double utilisation { 0.45 }; ///< Target utilisation at the full price, see `sizeByPrice`.
    /// Maximum utilisation of the remaining engines after all reclaimable ones in an availability zone are lost.
    double strainedUtilisation { 0.8 };
    /// Share of the demand that lasting engines must be able to serve alone at `strainedUtilisation`.
    double lastingPart { 0.15 };
    /// The service is scaled down only after this share of its engines has been surplus for `patience`.
    double minSurplusShare { 0.2 };
    std::chrono::milliseconds patience { 15'000 };
    /// It is scaled up after this share has been missing for `shortagePatience`: the first requests give an unreliable rate.
    double minShortageShare { 0.35 };
    std::chrono::milliseconds shortagePatience { 2'000 };
    /// The number of listed engines must be stable for this long before the first order, since engines register one by one.
    std::chrono::milliseconds stabilisationTime { 600 };
    /// An order is repeated if the list still shows another count this long after the boot time has passed.
    std::chrono::milliseconds listLag { 3'000 };
    /// Delay before the platform is asked again after it had no capacity.
    std::chrono::milliseconds scarcityRetryDelay { 2'000 };

    bool operator==(FleetSizerSettings const&) const = default;
};

/// Number of engines in one availability zone that serve and are not shutting down.
struct ZoneEngines {
    std::string availabilityZone;
    std::uint32_t lasting { 0 };
    std::uint32_t reclaimable { 0 };
};

/// The desired number of engines of one kind in an availability zone.
struct EngineOrder {
    std::string availabilityZone;
    EngineKind kind { EngineKind::Lasting };
    std::uint32_t count { 0 };

    bool operator==(EngineOrder const&) const = default;
};

/// The desired number of engines of a service, with the figures that it follows from.
struct FleetSize {
    double demand { 0 }; ///< Engines kept busy by requests; estimated from the listed engines while unknown.
    bool isDemandKnown { false };
    std::uint32_t wanted { 0 }; ///< Engines of both kinds.
    std::uint32_t lasting { 0 }; ///< Lasting engines among these.
    std::uint32_t strained { 0 }; ///< Engines that must remain after the loss of an availability zone's reclaimable ones.

    bool operator==(FleetSize const&) const = default;
};

/// Computes how many engines of each kind a service needs in each availability zone, from its demand, the engines that can be
/// lost at once, and prices. The current state is the list of engines, not the orders sent. Performs no I/O; not thread-safe.
class FleetSizer {
public:
    using Time = Core::BootClock::time_point;

    explicit FleetSizer(FleetSizerSettings const& settings = {})
        : FleetSizer(settings, sizeByPrice(settings.utilisation))
    {
    }

    /// Uses a custom rule instead of `sizeByPrice`.
    FleetSizer(FleetSizerSettings const& settings, SizeRule rule)
        : m_settings(settings)
        , m_rule(std::move(rule))
    {
    }

    /// Returns the orders to send now. `demand`: the number of engines that the load keeps fully busy; nothing while unknown.
    std::vector<EngineOrder> plan(EngineOffer const&, std::vector<ZoneEngines> const&, std::optional<double> demand, Time now);

    /// Starts from the size that another daemon used instead of estimating one from the listed engines. Has no effect after the
    /// first plan.
    void adopt(EngineOffer const&, double demand);

    /// Records that the platform accepted an order.
    void recordOrder(EngineOrder const&, Time now);

    /// Records that the platform had no capacity for an order.
    void recordScarcity(EngineOrder const&, Time now);

    /// Returns the size for a demand.
    FleetSize sizeFor(EngineOffer const&, double demand) const;

    /// Describes in one sentence the demand, price and possible loss behind the size; empty before the first plan.
    std::string explain(EngineOffer const&) const;

    /// Returns the size used by the last plan; nothing before the first.
    std::optional<FleetSize> const& size() const { return m_size; }

private:
    using Pool = std::pair<std::string, EngineKind>; ///< The engines of one kind in an availability zone.

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
    std::optional<Time> m_outOfToleranceSince; ///< When the size became too small or too large for the demand.
    bool m_isShort { false }; ///< Whether it is too small rather than too large.
    std::optional<std::uint32_t> m_listedCount; ///< Number of engines listed, tracked until the first plan.
    Time m_listedSince; ///< When that number last changed.
    std::map<Pool, LastOrder> m_lastOrders;
    std::map<Pool, Time> m_scarceUntil;
};

}
