#include <LibRoles/FleetSizer.h>
#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace Roles {

namespace {

std::uint32_t roundUp(double engines)
{
    // Rounding errors may leave a sum slightly above an integer.
    constexpr double tolerance = 1e-6;
    return static_cast<std::uint32_t>(std::ceil(std::max(0.0, engines - tolerance)));
}

std::vector<std::string> namesByPrice(EngineOffer const& offer, std::vector<ZoneEngines> const& zones)
{
    std::vector<std::string> names;
    for (ZoneEngines const& zone : zones)
        names.push_back(zone.availabilityZone);
    std::sort(names.begin(), names.end(), [&offer](std::string const& one, std::string const& other) {
        std::map<std::string, double>::const_iterator a = offer.zonePrices.find(one);
        std::map<std::string, double>::const_iterator b = offer.zonePrices.find(other);
        double priceOfOne = a == offer.zonePrices.end() ? 1 : a->second;
        double priceOfOther = b == offer.zonePrices.end() ? 1 : b->second;
        return std::pair(priceOfOne, one) < std::pair(priceOfOther, other);
    });
    return names;
}

}

SizeRule sizeByPrice(double utilisation)
{
    return [utilisation](double demand, double price) {
        constexpr double minPrice = 0.01;
        return demand * (1 + (1 / utilisation - 1) / std::sqrt(std::clamp(price, minPrice, 1.0)));
    };
}

// Inverts the size rule by bisection: returns the demand that needs this many engines.
double FleetSizer::demandFor(std::uint32_t engines, double price) const
{
    constexpr int bisectionSteps = 30;
    double low = 0;
    double high = engines;
    for (int n = 0; n < bisectionSteps; ++n) {
        double middle = (low + high) / 2;
        (m_rule(middle, price) > engines ? high : low) = middle;
    }
    return low;
}

FleetSize FleetSizer::sizeFor(EngineOffer const& offer, double demand) const
{
    FleetSize size;
    size.demand = demand;
    size.strained = roundUp(demand / m_settings.strainedUtilisation);
    size.wanted = std::max(roundUp(m_rule(demand, offer.reclaimablePrice.value_or(1))), size.strained);
    size.lasting = offer.reclaimablePrice ? std::min(size.wanted, roundUp(m_settings.lastingPart * demand / m_settings.strainedUtilisation)) : size.wanted;
    return size;
}

std::string FleetSizer::explain(EngineOffer const& offer) const
{
    if (!m_size)
        return {};
    constexpr int digits = 2;
    double price = offer.reclaimablePrice.value_or(1);
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << (m_size->isDemandKnown ? "requests keep " : "the listed engines match a demand of ") << m_size->demand << (m_size->isDemandKnown ? " engines busy" : " busy engines")
         << "; an additional engine costs " << price << " of a lasting engine, so " << m_size->wanted << " are wanted";
    if (offer.reclaimablePrice)
        text << "; " << m_size->strained << " must remain when all reclaimable engines of one availability zone are lost; " << m_size->lasting << " lasting engines carry " << m_settings.lastingPart << " of the demand";
    return text.str();
}

bool FleetSizer::isSettled(std::uint32_t listed, Time now)
{
    if (m_listedCount != listed) {
        m_listedCount = listed;
        m_listedSince = now;
    }
    return listed > 0 && now - m_listedSince >= m_settings.stabilisationTime;
}

// Returns the demand for which the listed engines are the right size at their prices.
double FleetSizer::demandMatchedBy(EngineOffer const& offer, std::vector<ZoneEngines> const& zones) const
{
    double demand = 0;
    for (ZoneEngines const& zone : zones)
        demand += demandFor(zone.lasting, 1) + demandFor(zone.reclaimable, offer.reclaimablePrice.value_or(1));
    return demand;
}

void FleetSizer::adopt(EngineOffer const& offer, double demand)
{
    if (m_size)
        return;
    m_size = sizeFor(offer, demand);
    m_size->isDemandKnown = true;
}

// The size follows the demand once it has been out of tolerance for some time. Until then the listed engines are kept, since
// operators or the previous lease holder chose them; a new holder may know only part of the demand.
void FleetSizer::updateSize(EngineOffer const& offer, std::vector<ZoneEngines> const& zones, std::optional<double> demand, Time now)
{
    if (!m_size) {
        m_size = sizeFor(offer, std::max(demand.value_or(0), demandMatchedBy(offer, zones)));
        m_size->isDemandKnown = demand.has_value();
        return;
    }
    if (!demand)
        return;
    FleetSize next = sizeFor(offer, *demand);
    next.isDemandKnown = true;
    double relative = static_cast<double>(next.wanted) / std::max<std::uint32_t>(1, m_size->wanted);
    bool isShort = relative > 1 + m_settings.minShortageShare;
    bool isOutOfTolerance = isShort || relative < 1 - m_settings.minSurplusShare;
    if (!isOutOfTolerance) {
        m_outOfToleranceSince.reset();
        return;
    }
    if (!m_outOfToleranceSince || m_isShort != isShort)
        m_outOfToleranceSince = now;
    m_isShort = isShort;
    if (now - *m_outOfToleranceSince < (isShort ? m_settings.shortagePatience : m_settings.patience))
        return;
    m_size = next;
    m_outOfToleranceSince.reset();
}

bool FleetSizer::isScarce(Pool const& pool, Time now) const
{
    std::map<Pool, Time>::const_iterator it = m_scarceUntil.find(pool);
    return it != m_scarceUntil.end() && now < it->second;
}

// Returns whether more engines of a kind are wanted in a zone and may still start.
bool FleetSizer::isPending(EngineOffer const& offer, Pool const& pool, std::uint32_t wanted, std::uint32_t current, Time now) const
{
    if (wanted <= current || isScarce(pool, now))
        return false;
    std::map<Pool, LastOrder>::const_iterator it = m_lastOrders.find(pool);
    return it == m_lastOrders.end() || it->second.count != wanted || now - it->second.at < offer.bootTime + m_settings.listLag;
}

// Spreads evenly to minimise the loss with any one availability zone; the remainder goes to the cheapest zones.
FleetSizer::Counts FleetSizer::spreadReclaimable(EngineOffer const& offer, std::vector<std::string> const& names) const
{
    Counts counts;
    std::uint32_t reclaimable = m_size->wanted - m_size->lasting;
    std::size_t size = names.size();
    for (std::size_t n = 0; n < size; ++n) {
        std::uint32_t share = static_cast<std::uint32_t>(reclaimable / size + (n < reclaimable % size ? 1 : 0));
        counts[names[n]] = std::min(share, offer.mostPerZone);
    }
    return counts;
}

// Keeps lasting engines in their zones where possible, since moving one to a cheaper zone loses its cache.
FleetSizer::Counts FleetSizer::spreadLasting(EngineOffer const& offer, std::vector<ZoneEngines> const& zones, std::vector<std::string> const& names, Counts const& reclaimable, std::uint32_t total) const
{
    Counts counts;
    Counts currentReclaimable;
    std::uint32_t sum = 0;
    for (ZoneEngines const& zone : zones) {
        currentReclaimable[zone.availabilityZone] = zone.reclaimable;
        counts[zone.availabilityZone] = zone.lasting;
        sum += zone.lasting;
    }
    for (std::vector<std::string>::const_reverse_iterator it = names.rbegin(); it != names.rend(); ++it) {
        std::uint32_t removed = std::min(counts[*it], sum - std::min(sum, total));
        counts[*it] -= removed;
        sum -= removed;
    }
    for (std::string const& name : names) {
        // Serving reclaimable engines keep their places under the zone's limit.
        std::uint32_t used = currentReclaimable[name] + counts[name];
        std::uint32_t added = std::min(total - std::min(total, sum), offer.mostPerZone - std::min(offer.mostPerZone, used));
        counts[name] += added;
        sum += added;
        counts[name] = std::max(counts[name], offer.leastPerZone - std::min(offer.leastPerZone, reclaimable.at(name)));
    }
    return counts;
}

// Enough engines must remain after a loss, and no lasting engine is stopped before its replacements serve.
std::uint32_t FleetSizer::lastingNeeded(EngineOffer const& offer, std::vector<ZoneEngines> const& zones, Counts const& reclaimable, Time now) const
{
    std::uint32_t lasting = 0;
    std::uint32_t serving = 0;
    bool isAnyPending = false;
    for (ZoneEngines const& zone : zones) {
        lasting += zone.lasting;
        serving += zone.reclaimable;
        isAnyPending = isAnyPending || isPending(offer, { zone.availabilityZone, EngineKind::Reclaimable }, reclaimable.at(zone.availabilityZone), zone.reclaimable, now);
    }
    std::uint32_t needed = std::max(m_size->lasting, m_size->strained - std::min(m_size->strained, serving));
    // Before the first requests, the minimum that could serve the assumed demand is enough.
    std::uint32_t interim = m_size->isDemandKnown ? m_size->wanted : m_size->strained;
    if (isAnyPending)
        needed = std::max(needed, std::min(lasting, interim - std::min(interim, serving)));
    return needed;
}

std::vector<EngineOrder> FleetSizer::plan(EngineOffer const& offer, std::vector<ZoneEngines> const& zones, std::optional<double> demand, Time now)
{
    std::uint32_t listed = std::accumulate(zones.begin(), zones.end(), 0U, [](std::uint32_t sum, ZoneEngines const& it) { return sum + it.lasting + it.reclaimable; });
    if (!m_size && !isSettled(listed, now))
        return {};
    updateSize(offer, zones, demand, now);
    std::vector<std::string> names = namesByPrice(offer, zones);
    Counts reclaimable = spreadReclaimable(offer, names);
    Counts lasting = spreadLasting(offer, zones, names, reclaimable, lastingNeeded(offer, zones, reclaimable, now));
    std::vector<EngineOrder> orders;
    // Lasting engines first, since the limit of a zone applies to both kinds together.
    for (ZoneEngines const& zone : zones)
        addOrder(orders, offer, { zone.availabilityZone, EngineKind::Lasting, lasting[zone.availabilityZone] }, zone.lasting, now);
    for (ZoneEngines const& zone : zones) {
        std::uint32_t room = offer.mostPerZone - std::min(offer.mostPerZone, lasting[zone.availabilityZone]);
        if (offer.reclaimablePrice)
            addOrder(orders, offer, { zone.availabilityZone, EngineKind::Reclaimable, std::min(reclaimable[zone.availabilityZone], room) }, zone.reclaimable, now);
    }
    return orders;
}

void FleetSizer::addOrder(std::vector<EngineOrder>& orders, EngineOffer const& offer, EngineOrder const& order, std::uint32_t current, Time now) const
{
    Pool pool { order.availabilityZone, order.kind };
    std::map<Pool, LastOrder>::const_iterator last = m_lastOrders.find(pool);
    bool isInFlight = last != m_lastOrders.end() && last->second.count == order.count && now - last->second.at < offer.bootTime + m_settings.listLag;
    if (order.count != current && !isInFlight && !isScarce(pool, now))
        orders.push_back(order);
}

void FleetSizer::recordOrder(EngineOrder const& order, Time now)
{
    m_lastOrders[{ order.availabilityZone, order.kind }] = { order.count, now };
}

void FleetSizer::recordScarcity(EngineOrder const& order, Time now)
{
    m_scarceUntil[{ order.availabilityZone, order.kind }] = now + m_settings.scarcityRetryDelay;
}

}
